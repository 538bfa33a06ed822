"""Exchange of the loads of endpoints with other proxies."""

from collections.abc import Callable
import dataclasses

from waxwinglift.process._data_path_types import ExchangeEnd
from waxwinglift.process._data_path_types import ExecuteHeader
from waxwinglift.process._data_path_types import Metrics
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._load_codec import decode_loads
from waxwinglift.process._load_codec import encode_report
from waxwinglift.process._types import DaemonId
from waxwinglift.request import FailureCode
from waxwinglift.request._endpoint_load import EndpointLoad
from waxwinglift.request._endpoint_load import LoadBook
from waxwinglift.request._endpoint_load import LoadReports
from waxwinglift.version import EndpointId
from waxwinglift.version import GroupName

# Interval of the reports among the owners of a group in which an endpoint has
# a queue, is behind or fails.  A replica's owner learns from them how far the
# primary is, also while no reads come that need a position of it.
_REPORT_INTERVAL_MS = 250.0
# Shortest interval of reports to one owner; changes come together until then.
_LEAST_INTERVAL_MS = 100.0


class GroupLoads:
    """Loads of the endpoints that this process knows, and their exchange.

    An owner reports its endpoint to the owners of the group's other
    endpoints, and the owner of the primary passes on what it knows about the
    replicas.  Entry proxies get records with answers and refusals.

    Parameters
    ----------
    view : FleetView
    find_owner : callable
        Returns the local EndpointOwner of an endpoint, or None.
    now_ms : callable
    metrics : Metrics
    """

    def __init__(
        self,
        view: FleetView,
        find_owner,
        now_ms: Callable[[], float],
        metrics: Metrics,
    ):
        self.book = LoadBook(self._find_own)
        self._view = view
        self._find_owner = find_owner
        self._now_ms = now_ms
        self._metrics = metrics
        self._reports: dict[DaemonId, LoadReports] = {}
        self._reported_ms: dict[DaemonId, float] = {}
        # Returns the executor of another proxy; set after construction.
        self.find_executor = lambda daemon: None
        view.add_listener(self._forget_departed)

    def close(self):
        """Stop listening to the fleet view."""
        self._view.remove_listener(self._forget_departed)

    def records_of_answer(
        self, header: ExecuteHeader, end: ExchangeEnd, reports: LoadReports
    ) -> tuple[EndpointLoad, ...]:
        """Return the records to send with an answer or a refusal.

        A refusal names the reason, which is the load or the position of the
        endpoint, and the endpoints that have a free slot.

        Parameters
        ----------
        header : ExecuteHeader
        end : ExchangeEnd
        reports : LoadReports
            Those to the entry proxy.
        """
        now_ms = self._now_ms()
        loads = self._known(header.group, now_ms)
        required = set()
        code = None if end.failure is None else end.failure.code
        if code is FailureCode.REJECTED:
            required = {load.endpoint for load in loads if load.has_free_slot}
        if code in (FailureCode.REJECTED, FailureCode.BEHIND):
            required.add(header.endpoint)
        # Without a position of the endpoint, only the one of the primary was
        # missing, which tells nothing about the lag.
        if code is FailureCode.BEHIND and end.failed_position is not None:
            loads = [_state_refusal(load, header) for load in loads]
        return reports.select(loads, now_ms, required)

    def record_report(self, message):
        """Store the records of another owner."""
        self.record_receiver(DaemonId(message.sender))
        loads = decode_loads(message.loads, self._now_ms())
        self.book.record(
            load for load in loads if self._view.endpoint(load.endpoint)
        )

    def record_receiver(self, daemon: DaemonId):
        """Record that another proxy takes reports."""
        executor = self.find_executor(daemon)
        if executor is not None:
            executor.takes_loads = True

    def report(self, endpoints):
        """Send due reports about local endpoints to the other owners."""
        now_ms = self._now_ms()
        for endpoint in endpoints:
            if self._find_own(endpoint) is not None:
                self._report_endpoint(endpoint, now_ms)

    def _report_endpoint(self, endpoint, now_ms):
        group = self._view.endpoint(endpoint).group
        loads = self._known(group, now_ms)
        is_calm = all(load.is_normal for load in loads)
        for daemon in self._other_owners(group):
            last_ms = self._reported_ms.get(daemon, float("-inf"))
            if now_ms - last_ms < _LEAST_INTERVAL_MS:
                continue
            is_due = not is_calm and now_ms - last_ms >= _REPORT_INTERVAL_MS
            required = {endpoint} if is_due else ()
            reports = self._reports.setdefault(daemon, LoadReports())
            told = self._told_loads(endpoint, loads, daemon)
            selected = reports.select(told, now_ms, required)
            if selected:
                self._send(daemon, selected, now_ms)

    def _told_loads(self, endpoint, loads, daemon):
        """Return the loads that the owner of an endpoint tells a daemon."""
        group = self._view.group(self._view.endpoint(endpoint).group)
        is_primary = group is not None and group.primary == endpoint
        return [
            load
            for load in loads
            if load.endpoint == endpoint
            or (is_primary and self._owner_of(load.endpoint) != daemon)
        ]

    def _send(self, daemon, loads, now_ms):
        executor = self.find_executor(daemon)
        # A proxy of an older version closes the connection at a frame of an
        # unknown kind, so reports go only to those that are known to take it.
        if executor is None or not executor.takes_loads:
            return
        if executor.is_unresponsive:
            return
        self._reported_ms[daemon] = now_ms
        self._metrics.incr("owner.load_reports")
        report = encode_report(self._view.daemon, loads, now_ms)
        executor.send_loads(report)

    def _known(self, group: GroupName, now_ms):
        found = (
            self.book.find(record.endpoint, now_ms)
            for record in self._view.fleet.endpoints_of(group)
        )
        return [load for load in found if load is not None]

    def _other_owners(self, group):
        daemons = {
            self._owner_of(record.endpoint)
            for record in self._view.fleet.endpoints_of(group)
        }
        return daemons - {None, self._view.daemon}

    def _owner_of(self, endpoint):
        assignment = self._view.assignment(endpoint)
        return None if assignment is None else assignment.owner

    def _find_own(self, endpoint: EndpointId):
        if not self._view.owns(endpoint):
            return None
        owner = self._find_owner(endpoint)
        return None if owner is None else owner.find_load(self.book)

    def _forget_departed(self):
        for daemon in self._reports.keys() - self._view.fleet.daemons.keys():
            del self._reports[daemon]
            self._reported_ms.pop(daemon, None)


def _state_refusal(load, header):
    """Return a record that tells why its endpoint refused a read as behind.

    Unless the read needs a session's writes, the data is older than it
    accepts, however little of that the known positions show.
    """
    if load.endpoint != header.endpoint:
        return load
    floor, position = header.floor, load.position
    if floor is not None and (position is None or position < floor):
        return load
    lag_ms = max(load.lag_ms, float(header.max_age_ms))
    return dataclasses.replace(load, lag_ms=lag_ms)
