"""Logs, metrics and traces of a process."""

import contextlib
import json
import logging
import sys

import mode
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry.sdk.trace import TracerProvider
from pythonjsonlogger import json as json_logger
import statsd

from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process._http_page import serving_page
from waxwinglift.process._log_output import OutputHandler
from waxwinglift.process._metrics_page import MetricsGroup
from waxwinglift.process._metrics_page import PageMetrics

LOG_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


class StatsdMetrics:
    """Sends metrics to a statsd server by UDP."""

    def __init__(self, settings):
        self._client = statsd.StatsClient(
            host=settings.statsd.host,
            port=settings.statsd.port,
            prefix=settings.statsd_prefix,
        )

    def incr(self, name, count=1):
        """Count ``count`` events."""
        self._client.incr(name, count)

    def timing(self, name, value_ms):
        """Record a duration in milliseconds."""
        self._client.timing(name, value_ms)


def make_metrics(settings):
    """Return the metrics that the settings ask for."""
    receivers = []
    if settings.statsd is not None:
        receivers.append(StatsdMetrics(settings))
    if settings.metrics_listen is not None:
        receivers.append(PageMetrics(settings.statsd_prefix))
    if len(receivers) == 1:
        return receivers[0]
    return MetricsGroup(*receivers) if receivers else NoMetrics()


@contextlib.asynccontextmanager
async def serving_metrics(settings, metrics):
    """Serve the page of the metrics, if the settings name an address."""
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
        # Standard output is no file, as under a test runner.
        return logging.StreamHandler(sys.stdout)


def configure_logging(settings, process_name):
    """Write JSON log lines to standard output, without ever waiting."""
    handler = _make_handler()
    formatter = json_logger.JsonFormatter(
        LOG_FIELDS, static_fields={"process_name": process_name}
    )
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log_level.upper())
    # These libraries log each connection; state changes are ours to log.
    for name in ("mode", "hpack", "h2", "grpclib"):
        logging.getLogger(name).setLevel(logging.WARNING)
    # It warns of each write to a connection that has just ended.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    mode.Service.mundane_level = "debug"


class _FileSpanExporter(export.SpanExporter):
    """Appends each span to a file as one JSON line."""

    def __init__(self, file):
        self._file = file

    def export(self, spans):
        """Write the spans; called once per finished span."""
        for span in spans:
            self._file.write(json.dumps(_describe_span(span)) + "\n")
        self._file.flush()
        return export.SpanExportResult.SUCCESS

    def shutdown(self):
        """Do nothing; the file is closed by `open_tracer`."""


def _describe_span(span):
    parent = span.parent
    return {
        "trace_id": f"{span.context.trace_id:032x}",
        "span_id": f"{span.context.span_id:016x}",
        "parent_id": f"{parent.span_id:016x}" if parent else None,
        "name": span.name,
        "service": span.resource.attributes.get("service.name"),
        "start_ns": span.start_time,
        "duration_us": (span.end_time - span.start_time) // 1000,
        "attributes": dict(span.attributes or {}),
    }


@contextlib.contextmanager
def open_tracer(settings, process_name):
    """Yield a tracer; spans go to ``settings.trace_file`` when it is set.

    The exporter runs in the event loop's thread, so that a process keeps to
    one thread.
    """
    if settings.trace_file is None:
        yield trace.NoOpTracer()
        return
    sampler = sampling.ParentBased(
        sampling.TraceIdRatioBased(settings.trace_sample_ratio)
    )
    resource = Resource.create({"service.name": process_name})
    provider = TracerProvider(
        sampler=sampler, resource=resource, shutdown_on_exit=False
    )
    with settings.trace_file.open("a", encoding="utf-8") as file:
        exporter = _FileSpanExporter(file)
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        yield provider.get_tracer("waxwinglift")
        provider.shutdown()
