"""Logs, metrics and traces of a process."""

import contextlib
import importlib
import logging
import sys

import mode
from opentelemetry import trace
from pythonjsonlogger import json as json_logger

from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._http_page import serving_page
from waxwinglift.process._log_output import OutputHandler
from waxwinglift.process._metrics_page import CombinedMetrics
from waxwinglift.process._metrics_page import PageMetrics

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


@contextlib.contextmanager
def open_metrics(settings):
    """Yield the metrics backend that the settings select."""
    backends = []
    with contextlib.ExitStack() as stack:
        if settings.statsd is not None:
            module = importlib.import_module("waxwinglift.process._statsd")
            statsd = contextlib.closing(module.StatsdMetrics(settings))
            backends.append(stack.enter_context(statsd))
        if settings.metrics_listen is not None:
            backends.append(PageMetrics(settings.statsd_prefix))
        if len(backends) == 1:
            yield backends[0]
        else:
            yield CombinedMetrics(*backends) if backends else NoMetrics()


@contextlib.asynccontextmanager
async def serving_metrics(settings, metrics):
    """Serve the metrics page if the settings have an address for it."""
    if settings.metrics_listen is None:
        yield None
        return
    async with serving_page(
        settings.metrics_listen, metrics.make_page
    ) as server:
        yield server


def _make_handler():
    try:
        return OutputHandler(sys.stdout.fileno())
    except OSError:
        # Standard output is not a file, for example in a test runner.
        return logging.StreamHandler(sys.stdout)


def configure_logging(settings, process_name):
    """Write JSON log lines to standard output without blocking."""
    handler = _make_handler()
    formatter = json_logger.JsonFormatter(
        LOG_FIELDS, static_fields={"process_name": process_name}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log_level.upper())
    # These libraries log each connection; the daemons log state changes.
    for name in ("mode", "hpack", "h2", "grpclib"):
        logging.getLogger(name).setLevel(logging.WARNING)
    # asyncio warns about each write to a connection that has just closed.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    mode.Service.mundane_level = "debug"


@contextlib.contextmanager
def open_tracer(settings, process_name):
    """Yield a tracer; spans go to ``settings.trace_file`` when it is set.

    The library that records spans is imported only when needed, since the
    import slows down the start.
    """
    if settings.trace_file is None:
        yield trace.NoOpTracer()
        return
    trace_file = importlib.import_module("waxwinglift.process._trace_file")
    with trace_file.recording_spans(settings, process_name) as tracer:
        yield tracer
