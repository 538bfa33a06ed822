"""Runs a service until it stops or receives a signal to stop."""

import asyncio
import contextlib
import enum
import logging
import signal

logger = logging.getLogger(__name__)


class ExitCode(enum.IntEnum):
    """Exit codes of the daemons."""

    OK = 0
    FAILED = 1
    BAD_SETTINGS = 2


@contextlib.contextmanager
def _signals_handled(loop, on_stop, on_reload):
    handlers = {
        signal.SIGTERM: on_stop,
        signal.SIGINT: on_stop,
        signal.SIGHUP: on_reload,
    }
    for number, handler in handlers.items():
        loop.add_signal_handler(number, handler)
    try:
        yield
    finally:
        for number in handlers:
            loop.remove_signal_handler(number)


def _ignore_reload():
    logger.info("reload is not supported; restart to apply changed settings")


async def _run(service):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    reload = getattr(service, "reload", _ignore_reload)
    with _signals_handled(loop, stop_requested.set, reload):
        await service.start()
        requested = asyncio.ensure_future(stop_requested.wait())
        stopped = asyncio.ensure_future(service.wait_until_stopped())
        await asyncio.wait(
            {requested, stopped}, return_when=asyncio.FIRST_COMPLETED
        )
        requested.cancel()
        stopped.cancel()
        if stop_requested.is_set():
            logger.info("shutdown requested")
        await service.stop()
    if service.crash_reason is not None:
        logger.error("stopped: %s", service.crash_reason)
        return ExitCode.FAILED
    return ExitCode.OK


def run_service(make_service):
    """Run the service that ``make_service`` builds and return an exit code.

    Parameters
    ----------
    make_service : callable
        Called without arguments inside the event loop; returns a
        `mode.Service`.
    """

    async def main():
        return await _run(make_service())

    return asyncio.run(main())
