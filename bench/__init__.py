"""Benchmarks of the load policy on a virtual clock."""
