"""Unit and process tests."""
