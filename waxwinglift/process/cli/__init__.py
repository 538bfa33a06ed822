"""Commands of the daemons and of the operator."""

from waxwinglift.process.cli._daemons import control
from waxwinglift.process.cli._daemons import proxy
from waxwinglift.process.cli._operator import operator

__all__ = ["control", "operator", "proxy"]
