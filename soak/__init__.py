"""Randomized runs of the real programs under faults from outside."""
