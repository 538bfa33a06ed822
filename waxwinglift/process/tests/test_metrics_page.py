"""Tests the page from which operators read the metrics of a process."""

import asyncio

import pytest

from waxwinglift.process import Address
from waxwinglift.process._http_page import serving_page
from waxwinglift.process._metrics_page import CombinedMetrics
from waxwinglift.process._metrics_page import PageMetrics
from waxwinglift.process._observability import open_metrics
from waxwinglift.process._settings import ObservabilitySettings
from waxwinglift.process.tests.test_descriptors import count_descriptors


async def _fetch(address, request):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(request)
    answer = await reader.read()
    writer.close()
    return answer


def _serve(metrics, request):
    async def work():
        listen = Address("127.0.0.1", 0)
        async with serving_page(listen, metrics.make_page) as server:
            return await _fetch(server.sockets[0].getsockname()[:2], request)

    return asyncio.run(work())


@pytest.mark.parametrize(
    "line",
    [
        "waxwinglift_entry_served_primary_total 3.0",
        'waxwinglift_entry_request_rank0_ms_bucket{le="50.0"} 1.0',
        'waxwinglift_entry_request_rank0_ms_bucket{le="100.0"} 2.0',
        "waxwinglift_entry_request_rank0_ms_count 2.0",
    ],
)
def test_page_shows_counters_and_histograms(line):
    """The page has the counts of events and the durations."""
    metrics = PageMetrics("waxwinglift")
    metrics.incr("entry.served.primary")
    metrics.incr("entry.served.primary", 2)
    metrics.timing("entry.request.rank0", 40.0)
    metrics.timing("entry.request.rank0", 90.0)
    answer = _serve(metrics, b"GET /metrics HTTP/1.1\r\n\r\n")
    assert answer.startswith(b"HTTP/1.0 200 OK")
    assert line in answer.decode().splitlines()


@pytest.mark.parametrize("request_", [b"POST / HTTP/1.1\r\n\r\n", b"\r\n"])
def test_other_requests_are_refused(request_):
    """Requests other than GET are refused."""
    answer = _serve(PageMetrics("waxwinglift"), request_)
    assert answer.startswith(b"HTTP/1.0 405")


def test_failed_page_ends_the_connection():
    """A client must not wait for a page that could not be made."""

    def fail():
        raise ValueError("no page")

    async def work():
        async with (
            asyncio.timeout(1),
            serving_page(Address("127.0.0.1", 0), fail) as server,
        ):
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: errors.append(context["exception"])
            )
            address = server.sockets[0].getsockname()[:2]
            return await _fetch(address, b"GET / HTTP/1.1\r\n\r\n")

    errors = []
    assert asyncio.run(work()) == b""
    assert [str(error) for error in errors] == ["no page"]


@pytest.mark.parametrize(
    "settings, kind",
    [
        ({"metrics_listen": "127.0.0.1:9464"}, PageMetrics),
        (
            {"metrics_listen": "127.0.0.1:9464", "statsd": "127.0.0.1:8125"},
            CombinedMetrics,
        ),
    ],
)
def test_settings_select_the_metrics_backends(settings, kind):
    """If both backends are configured, both receive the metrics."""
    with open_metrics(ObservabilitySettings(**settings)) as metrics:
        assert isinstance(metrics, kind)
        metrics.incr("entry.session")
        assert b"entry_session_total 1.0" in metrics.make_page().body


def test_statsd_socket_is_closed():
    """The process closes the socket itself, not the collector."""
    settings = ObservabilitySettings(statsd="127.0.0.1:8125")
    before_count = count_descriptors()
    with open_metrics(settings) as metrics:
        metrics.incr("entry.session")
        assert count_descriptors() > before_count
    assert count_descriptors() == before_count
