"""Adapters for the users' platform: its names, formats and calls.

No other package uses names of the platform's headers, tables, paths or
fields. They are decoded here into the types of the other packages. Decisions
are made elsewhere.
"""
