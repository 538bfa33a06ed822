"""Objects with the lifetime of one statement at the stand-in server."""

from waxwinglift_standin.request import _commands
from waxwinglift_standin.request import _functions
from waxwinglift_standin.request._executor import Executor
from waxwinglift_standin.request._registries import fault
from waxwinglift_standin.request._registries import prepare_fault

# Importing these modules registers their commands and functions.
_REGISTERING_MODULES = (_commands, _functions)

__all__ = [
    "Executor",
    "fault",
    "prepare_fault",
]
