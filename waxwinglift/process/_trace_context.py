"""W3C trace context between processes."""

from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

_propagator = tracecontext.TraceContextTextMapPropagator()


def current_traceparent():
    """Return the context of the current span, empty when none records."""
    if not trace.get_current_span().is_recording():
        return ""
    carrier = {}
    _propagator.inject(carrier)
    return carrier.get("traceparent", "")


def extract_context(traceparent):
    """Return the context that a message carried, None without one."""
    if not traceparent:
        return None
    return _propagator.extract({"traceparent": traceparent})
