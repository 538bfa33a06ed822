"""Adapter to the users' platform: its names, formats and calls.

This package makes no decisions, and the platform's names are used in no other
package.
"""
