"""Choice of the proxy that runs a statement at its endpoint."""

from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import FailureCode
from waxwinglift.request._statement_retries import can_use_other_daemon


# Time for which an owner that did not answer in time gets no request of the
# rank.  An owner whose sockets are full cannot even refuse in time.
_NO_ANSWER_BACKOFF_MS = 500.0


class StatementDaemons:
    """Chooses among the owner, the standby owner and this proxy.

    The last two may serve without an assignment by control, because the
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

        The owner comes first, then the standby owner.  This proxy serves
        only if both are unreachable, not if they are overloaded.
        """
        executors = self._context.executors
        this_daemon = self._context.view.daemon
        daemons = dict.fromkeys((route.owner, route.standby, this_daemon))
        overloaded = (None, None)
        for daemon in daemons:
            is_assigned = daemon in (route.owner, route.standby)
            if not is_assigned and overloaded[0] is not None:
                break
            pair = (route.endpoint, daemon)
            if daemon is None or pair in attempts.unreachable:
                continue
            executor = executors.executor_for(daemon)
            if executor is None or executor.is_unresponsive:
                continue
            if not self._is_overloaded(*pair):
                return daemon, executor
            overloaded = (daemon, executor)
        return overloaded

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

    def _is_overloaded(self, endpoint, daemon):
        index = self._session.policy.urgency_index
        left_ms = self._context.overload_backoff.left_ms(
            endpoint, daemon, index, self._context.now_ms()
        )
        return left_ms > 0


def _backoff_ms(end):
    """Return how long to keep requests from a daemon, None for not at all."""
    if end.failure is None:
        return None
    if end.failure.code is FailureCode.OVERLOADED:
        return end.failure.retry_after_ms or 0
    return _NO_ANSWER_BACKOFF_MS if end.is_owner_unreachable else None
