"""Cost of control as a linear function of daemons and databases.

Each measurement runs at several sizes and fits a line, from which the cost at
the target size is calculated.  Processor times vary between runs; sizes in
bytes do not.
"""

import dataclasses
import random
import time
import tracemalloc
from collections.abc import Callable

from waxwinglift.process import DaemonId
from waxwinglift.process.rpc import control_pb2
from waxwinglift.process.rpc._convert import renewal_to_wire
from waxwinglift.version import _control_core_messages as messages
from waxwinglift.version import LogIndex
from waxwinglift.version._apply import apply_entry
from waxwinglift.version._control_core import ControlCore
from waxwinglift.version._control_settings import ControlCoreSettings
from waxwinglift.version._entry_codec import decode_entry
from waxwinglift.version._entry_codec import decode_fleet
from waxwinglift.version._entry_codec import encode_entry
from waxwinglift.version._entry_codec import encode_fleet
from waxwinglift.version._renewals import DownEndpoint
from waxwinglift.version._renewals import Renewal
from waxwinglift_bench.process import _slopes_fleet

MEASUREMENTS = {}
REPEATS_COUNT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class FittedLine:
    """Fitted line ``fixed + per_unit * size``."""

    name: str
    unit: str
    size_unit: str
    fixed: float
    per_unit: float

    def value_at(self, size):
        """Return the value of the line at ``size``."""
        return self.fixed + self.per_unit * size


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """A function that measures a cost at a given size.

    ``pick`` selects one of the repeated results: the minimum for processor
    time, which other load can only increase, and the maximum for memory, which
    reuse of freed memory can only reduce.
    """

    function: Callable[[int], float]
    unit: str
    size_unit: str
    sizes: tuple[int, ...]
    pick: Callable


def measurement(name, unit, size_unit, sizes, pick=min):
    """Register a function that takes a size and returns a cost in ``unit``."""

    def register(function):
        MEASUREMENTS[name] = Measurement(
            function, unit, size_unit, sizes, pick
        )
        return function

    return register


def fit_line(points):
    """Fit (x, y) points by least squares; return intercept and slope."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    per_unit = covariance / variance
    return mean_y - per_unit * mean_x, per_unit


def fit_measurement(name):
    """Run a measurement at all its sizes and return the `FittedLine`."""
    registered = MEASUREMENTS[name]
    points = []
    for size in registered.sizes:
        costs = [registered.function(size) for _ in range(REPEATS_COUNT)]
        points.append((size, registered.pick(costs)))
    fixed, per_unit = fit_line(points)
    return FittedLine(
        name, registered.unit, registered.size_unit, fixed, per_unit
    )


def _time_us(function, count):
    started_s = time.process_time()
    for _ in range(count):
        function()
    return (time.process_time() - started_s) * 1e6 / count


def _make_leader_core(daemons_count, groups_count):
    fleet = _slopes_fleet.build_fleet(daemons_count, groups_count)
    core = ControlCore(ControlCoreSettings(), random.Random(1), fleet)
    core.step(messages.BecameLeader(), 0.0)
    core.step(messages.ControlTick(True), 0.0)
    return core


def _renewal(number, fleet):
    return Renewal(
        daemon=_slopes_fleet.daemon_name(number),
        address=_slopes_fleet.address(number),
        location=_slopes_fleet.location(number),
        applied_index=fleet.index,
        sequence=1,
    )


def _renew_all(core, now_ms):
    for number in range(len(core.fleet.daemons)):
        renewal = _renewal(number, core.fleet)
        core.step(messages.RenewalReceived(renewal, True), now_ms)


@measurement("leader: renewal", "us", "daemon", (50, 150, 450))
def renewal_time_us(daemons_count):
    """Processor time of the leader for one lease renewal."""
    core = _make_leader_core(daemons_count, 100)
    total_us = _time_us(lambda: _renew_all(core, 1.0), 3)
    return total_us / daemons_count


@measurement("leader: tick, by databases", "us", "database", (100, 300, 870))
def tick_time_by_groups_us(groups_count):
    """Processor time of one tick of the leader with 50 proxies."""
    core = _make_leader_core(50, groups_count)
    _renew_all(core, 1.0)
    return _time_us(lambda: core.step(messages.ControlTick(True), 1.0), 20)


@measurement("leader: tick, by daemons", "us", "daemon", (50, 150, 450))
def tick_time_by_daemons_us(daemons_count):
    """Processor time of one tick of the leader with 100 databases."""
    core = _make_leader_core(daemons_count, 100)
    _renew_all(core, 1.0)
    return _time_us(lambda: core.step(messages.ControlTick(True), 1.0), 20)


@measurement("leader: announcement", "us", "database", (100, 300, 870))
def announcement_time_us(groups_count):
    """Processor time of the leader for one unchanged announcement."""
    core = _make_leader_core(50, groups_count)
    events = [
        messages.AnnouncementReceived(_slopes_fleet.announcement(number, 0))
        for number in range(100)
    ]

    def announce_all():
        for event in events:
            core.step(event, 1.0)

    return _time_us(announce_all, 3) / len(events)


@measurement("daemon: fleet state", "bytes", "database", (100, 300, 870))
def state_by_groups_bytes(groups_count):
    """Memory of the fleet state with 50 proxies."""
    return _state_bytes(50, groups_count)


@measurement("daemon: fleet state by daemons", "bytes", "daemon", (50, 450))
def state_by_daemons_bytes(daemons_count):
    """Memory of the fleet state with 100 databases."""
    return _state_bytes(daemons_count, 100)


def _state_bytes(daemons_count, groups_count):
    data = encode_fleet(_slopes_fleet.build_fleet(daemons_count, groups_count))
    tracemalloc.start()
    fleet = decode_fleet(data)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del fleet
    return size_bytes


@measurement("snapshot", "bytes", "database", (100, 300, 870))
def snapshot_bytes(groups_count):
    """Size of an encoded snapshot with 450 proxies."""
    fleet = _slopes_fleet.build_fleet(450, groups_count)
    return len(encode_fleet(fleet))


@measurement("daemon: apply an edit", "us", "database", (100, 300, 870))
def apply_time_us(groups_count):
    """Processor time to decode and apply one edit."""
    fleet = _slopes_fleet.build_fleet(50, groups_count)
    payloads = [
        encode_entry(_slopes_fleet.pool_edit(number, 1))
        for number in range(100)
    ]
    started_s = time.process_time()
    for payload in payloads:
        apply_entry(fleet, LogIndex(fleet.index + 1), decode_entry(payload))
    return (time.process_time() - started_s) * 1e6 / len(payloads)


@measurement("edit entry", "bytes", "rank row", (1, 2, 3))
def edit_bytes(rows_count):
    """Size of an encoded edit."""
    entry = _slopes_fleet.pool_edit(0, 0)
    rows = entry.table.rows[:rows_count]
    table = dataclasses.replace(entry.table, rows=rows)
    return len(encode_entry(dataclasses.replace(entry, table=table)))


@measurement("renewal message", "bytes", "down endpoint", (0, 5, 20))
def renewal_bytes(down_count):
    """Size of a renewal message without transport framing."""
    fleet = _slopes_fleet.build_fleet(2, 1)
    renewal = _renewal(0, fleet)
    down = tuple(
        DownEndpoint(_slopes_fleet.announcement(n, 0).endpoint, 1)
        for n in range(down_count)
    )
    message = renewal_to_wire(dataclasses.replace(renewal, down=down))
    return message.ByteSize()


@measurement("relay batch", "bytes", "daemon", (10, 64, 150))
def relay_batch_bytes(daemons_count):
    """Size of a batch with one renewal of each proxy."""
    fleet = _slopes_fleet.build_fleet(2, 1)
    renewals = [
        renewal_to_wire(_renewal(number, fleet))
        for number in range(daemons_count)
    ]
    batch = control_pb2.RelayBatch(
        relay=DaemonId("control-0"), renewals=renewals
    )
    return batch.ByteSize()
