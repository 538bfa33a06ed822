"""Settings that change while a process runs."""

import logging

import mode

from waxwinglift.platform import _settings

logger = logging.getLogger(__name__)

# Time between two looks at the settings file, which may change unannounced.
_RELOAD_INTERVAL_S = 1.0


class SettingsReloader(mode.Service):
    """Takes the seeds of a settings file that changes, signalled or not.

    Other settings need a restart.

    Parameters
    ----------
    path : Path
    set_seeds : callable
        Called with the addresses of the control seeds after each change.
    """

    def __init__(self, path, set_seeds):
        super().__init__()
        self._path = path
        self._set_seeds = set_seeds
        self._seeds = None

    def reload(self):
        """Read the file again; one that is not valid changes nothing."""
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
