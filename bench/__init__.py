"""Benchmarks of the load policy, most of them on a virtual clock."""
