"""Objects that live as long as the process: settings, server, command."""

from waxwinglift_standin.process._command import main
from waxwinglift_standin.process._server import running_group
from waxwinglift_standin.process._server import running_server
from waxwinglift_standin.process._server import StandinServer
from waxwinglift_standin.process._settings import AddressSettings
from waxwinglift_standin.process._settings import load_settings
from waxwinglift_standin.process._settings import StandinSettings

__all__ = [
    "AddressSettings",
    "StandinServer",
    "StandinSettings",
    "load_settings",
    "main",
    "running_group",
    "running_server",
]
