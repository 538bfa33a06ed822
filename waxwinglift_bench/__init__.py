"""Simulations, load generator and fault tables."""
