"""Control daemon with the platform's HTTP interface."""

import mode

from waxwinglift.platform import _control_http
from waxwinglift.platform import _http
from waxwinglift.platform._reload import SettingsReloader
from waxwinglift.process._control import ControlService


class PlatformControl(mode.Service):
    """A control daemon with the platform's HTTP interface."""

    def __init__(self, platform, settings, path, metrics, tracer):
        super().__init__()
        self.platform = platform
        self.control = ControlService(settings, metrics, tracer)
        self._reloader = SettingsReloader(path, self.control.set_seeds)

    def reload(self):
        """Reload the settings."""
        self._reloader.reload()

    async def on_start(self):
        """Start the daemon, then listen for operators and servers."""
        await self.add_runtime_dependency(self.control)
        api = _control_http.ControlApi(self.control, self.platform.regions)
        await self.add_async_context(
            _http.serving_http(
                self.platform.listen.control,
                api.handle,
                self.control.settings.http_limits,
                self.control.metrics,
                api.body_limit_bytes,
            )
        )
        await self.add_runtime_dependency(self._reloader)
