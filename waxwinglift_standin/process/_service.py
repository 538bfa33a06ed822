"""Service that runs in the server's own process."""

import asyncio
import logging
import signal

import mode
from waxwinglift_standin.process._announcer import Announcer
from waxwinglift_standin.process._server import running_server

_LOG = logging.getLogger(__name__)


class StandinService(mode.Service):
    """Runs a server and announces it to control.

    Parameters
    ----------
    settings : StandinSettings
        Settings of the server.
    """

    def __init__(self, settings, **kwargs):
        super().__init__(**kwargs)
        self.settings = settings
        self.server = None
        self.announcer = None

    async def on_start(self):
        """Start the server."""
        context = running_server(self.settings)
        self.server = await self.add_async_context(context)
        self.announcer = Announcer(self.server)
        _LOG.info("listening", extra={"address": str(self.server.address)})

    @mode.Service.task
    async def _announce(self):
        await self.announcer.run()

    async def leave(self):
        """Announce that the server is leaving; return when it may stop."""
        if not self.settings.control_addresses:
            return
        _LOG.info("announcing that the server is leaving")
        self.announcer.is_leaving = True
        await self.announcer.announce()
        await asyncio.sleep(self.settings.leaving_ms / 1000)


async def serve(settings):
    """Run a server until SIGTERM or SIGINT.

    On SIGTERM the server first announces that it is leaving; on SIGINT it
    stops immediately.
    """
    loop = asyncio.get_running_loop()
    terminated, interrupted = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    loop.add_signal_handler(signal.SIGINT, interrupted.set)

    async def leave():
        await terminated.wait()
        await service.leave()

    service = StandinService(settings)
    async with service:
        waits = [asyncio.create_task(leave())]
        waits.append(asyncio.create_task(interrupted.wait()))
        waits.append(asyncio.create_task(service.wait_until_stopped()))
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for task in waits:
            task.cancel()
