"""The users' platform: its names, formats and calls, and no decisions.

Nothing outside this package knows a header, table, path or field name of
the platform. Each is decoded here once, into types of the product.
"""
