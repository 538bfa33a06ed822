"""Rig, load tool and report commands."""

from waxwinglift_bench.process._measure import measure
from waxwinglift_bench.process._slopes import slopes

__all__ = ["measure", "slopes"]
