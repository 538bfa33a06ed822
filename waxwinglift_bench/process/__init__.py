"""Simulations, load generator and their commands."""

from waxwinglift_bench.process._load_command import load
from waxwinglift_bench.process._measure import measure
from waxwinglift_bench.process._outage_command import outage
from waxwinglift_bench.process._overload_command import overload
from waxwinglift_bench.process._slopes_command import slopes

__all__ = ["load", "measure", "outage", "overload", "slopes"]
