"""Adapter to the users' platform: names, formats and calls.

Nothing here decides; nothing outside of this folder knows the platform's
names.
"""
