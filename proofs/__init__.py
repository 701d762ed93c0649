"""Checks of the promises against a naive variant and the product."""
