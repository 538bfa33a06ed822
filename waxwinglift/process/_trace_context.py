"""W3C trace context that is passed between processes."""

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

_propagator = tracecontext.TraceContextTextMapPropagator()


def current_traceparent():
    """Return the current span's traceparent, empty if not recorded."""
    if not trace.get_current_span().is_recording():
        return ""
    carrier = {}
    _propagator.inject(carrier)
    return carrier.get("traceparent", "")


def extract_context(traceparent):
    """Return the context of a message's traceparent, None if empty."""
    if not traceparent:
        return None
    return _propagator.extract({"traceparent": traceparent})
