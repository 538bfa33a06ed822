"""Proxy that reloads its seeds from the platform's settings."""

import mode

from waxwinglift.platform._reload import SettingsReloader
from waxwinglift.process._proxy import ProxyService


class PlatformProxy(mode.Service):
    """A proxy that reloads its seeds from the platform's settings file."""

    def __init__(self, settings, path, metrics, tracer):
        super().__init__()
        self.proxy = ProxyService(settings, metrics, tracer)
        self._reloader = SettingsReloader(
            path, self.proxy.link.set_control_addresses
        )

    def reload(self):
        """Reload the settings."""
        self._reloader.reload()

    async def on_start(self):
        """Start the proxy."""
        await self.add_runtime_dependency(self.proxy)
        await self.add_runtime_dependency(self._reloader)
