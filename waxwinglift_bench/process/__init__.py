"""Rig, load tool and report commands."""
