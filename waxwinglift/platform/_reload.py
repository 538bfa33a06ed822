"""Reload of settings while a process runs."""

import logging

import mode

from waxwinglift.platform import _settings

logger = logging.getLogger(__name__)

# Interval of checks of the settings file, which may change without a signal.
_RELOAD_INTERVAL_S = 1.0


class SettingsReloader(mode.Service):
    """Reloads the seeds of a settings file, on a signal or at intervals.

    Changes of other settings need a restart.

    Parameters
    ----------
    path : Path
        Settings file.
    set_seeds : callable
        Called with the addresses of the control seeds after the first load
        and after each change.
    """

    def __init__(self, path, set_seeds):
        super().__init__()
        self._path = path
        self._set_seeds = set_seeds
        self._seeds = None

    def reload(self):
        """Reload the file; an invalid file changes nothing."""
        loaded = _settings.load_platform_settings(self._path)
        if loaded.is_err():
            logger.warning("settings not reloaded: %s", loaded.err_value)
            return
        seeds = loaded.ok_value.control_seeds
        if seeds == self._seeds:
            return
        if self._seeds is not None:
            logger.info("settings reloaded: seeds are %s", _join(seeds))
        self._seeds = seeds
        self._set_seeds(seeds)

    @mode.Service.task
    async def _watch(self):
        while not self.should_stop:
            self.reload()
            await self.sleep(_RELOAD_INTERVAL_S)


def _join(addresses):
    return ", ".join(str(address) for address in addresses)
