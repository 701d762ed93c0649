"""Minimal substitutes for the platform and the upstreams, for tests."""
