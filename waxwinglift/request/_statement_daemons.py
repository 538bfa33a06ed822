"""Choice of the proxy that runs a statement at its endpoint."""

from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import FailureCode
from waxwinglift.request import Verdict
from waxwinglift.request._statement_attempts import can_use_other_daemon
from waxwinglift.version import EndpointId

# Time for which an owner that did not answer in time gets no request of the
# rank.  An owner whose sockets are full cannot even refuse in time.
_NO_ANSWER_BACKOFF_MS = 500.0


class StatementDaemons:
    """Chooses among the owner, the standby owner and temporary owners.

    Few proxies may serve without an assignment by control, because the
    servers fence themselves.

    Parameters
    ----------
    context : EntryContext
    session : StatementSession
    """

    def __init__(self, context: EntryContext, session):
        self._context = context
        self._session = session

    def choose(self, route, attempts):
        """Return the daemon to send the statement to, and its executor.

        The owner comes first, then the standby owner.  The proxies that may
        serve without an assignment do so only if both are unreachable, not if
        they are overloaded: then an overloaded one is returned.  Both values
        are None if there is none.
        """
        executors = self._context.executors
        overloaded = (None, None)
        for daemon in self._daemons(route):
            is_assigned = daemon in (route.owner, route.standby)
            if not is_assigned and overloaded[0] is not None:
                break
            pair = (route.endpoint, daemon)
            if daemon is None or pair in attempts.unreachable:
                continue
            executor = executors.executor_for(daemon)
            if executor is None or executor.is_unresponsive:
                continue
            if not self._left_ms(route.endpoint, [daemon]):
                return daemon, executor
            overloaded = (daemon, executor)
        return overloaded

    def _daemons(self, route):
        """Yield the daemons that may serve, the preferred ones first."""
        yield from dict.fromkeys((route.owner, route.standby))
        others = self._context.executors.temporary_owners(route.endpoint)
        this_daemon = self._context.view.daemon
        # This proxy comes first if it is one of them.
        for daemon in sorted(others, key=lambda d: d != this_daemon):
            if daemon not in (route.owner, route.standby):
                yield daemon

    def record_outcome(self, end, route, daemon, attempts):
        """Record a daemon that does not serve the endpoint, or is overloaded.

        Parameters
        ----------
        end : ExchangeEnd
        route : Route
        daemon : DaemonId
        attempts : StatementAttempts
        """
        if can_use_other_daemon(end):
            attempts.unreachable.add((route.endpoint, daemon))
        delay_ms = _backoff_ms(end)
        if delay_ms is None:
            return
        self._context.overload_backoff.record(
            route.endpoint,
            daemon,
            self._session.policy.urgency_index,
            self._context.now_ms(),
            delay_ms,
        )

    def find_overloaded(self) -> dict[EndpointId, float]:
        """Return the endpoints whose reachable owners are all overloaded.

        The values are the times, in ms, after which one may take the session's
        rank.  An endpoint whose owners cannot be reached is not among them:
        this proxy serves it itself.
        """
        group_view = self._context.group_view(self._session.table.group)
        if group_view is None:
            return {}
        views = [*group_view.replicas, group_view.primary]
        left_ms = {
            view.endpoint: self._left_ms(
                view.endpoint, self._reachable_owners(view)
            )
            for view in views
            if view is not None
        }
        return {e: ms for e, ms in left_ms.items() if ms > 0}

    def _reachable_owners(self, view):
        found = []
        for daemon in (view.owner, view.standby):
            if daemon is None:
                continue
            executor = self._context.executors.executor_for(daemon)
            if executor is not None and not executor.is_unresponsive:
                found.append(daemon)
        return found

    def _left_ms(self, endpoint, daemons):
        return self._context.overload_backoff.endpoint_left_ms(
            endpoint,
            daemons,
            self._session.policy.urgency_index,
            self._context.now_ms(),
        )


def _backoff_ms(end):
    """Return how long to keep requests from a daemon, None for not at all."""
    if end.failure is None:
        return None
    if end.failure.code is FailureCode.OVERLOADED:
        return end.failure.retry_after_ms or 0
    is_sent = end.failure.verdict is not Verdict.NOT_RUN
    is_silent = end.is_owner_unreachable and is_sent
    return _NO_ANSWER_BACKOFF_MS if is_silent else None
