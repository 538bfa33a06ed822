"""Export of spans to a file, as JSON lines."""

import contextlib
import json

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry.sdk.trace import TracerProvider


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
        """Do nothing; the file is closed by `recording_spans`."""


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
def recording_spans(settings, process_name):
    """Yield a tracer whose spans go to ``settings.trace_file``.

    The exporter runs in the thread of the event loop, so that the process
    has only one thread.
    """
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
