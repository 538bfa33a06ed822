"""Measuring rig, load tool and fault tables."""
