"""Fault tables over terms and configuration versions."""
