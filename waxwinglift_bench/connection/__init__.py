"""Benchmarks of single caller connections."""
