"""Checks each promise of the design for the product and a naive variant."""
