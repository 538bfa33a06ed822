"""Simulated requests and their statistics."""
