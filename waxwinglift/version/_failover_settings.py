"""Timeouts and intervals of a failover."""

import pydantic


class FailoverSettings(pydantic.BaseModel):
    """Timeouts, intervals and thresholds of a failover.

    Parameters
    ----------
    report_ttl_ms : int
        Age at which a health report expires; four renewal intervals.  Also
        the time within which enough servers must have answered before the
        term is raised.
    handover_after_ms : int
        Time for which only the owner reports an endpoint down before it
        loses the ownership.  Longer than two probe intervals, so that the
        standby owner also detects a primary that is really down.
    handover_report_ms : int
        Age at which a standby owner's report no longer counts against the
        report of the owner; two renewal intervals, because the standby owner
        may be partitioned itself.
    retry_interval_ms : int
        Delay before a failed action is retried.
    lost_retry_ms : int
        The same delay for a server whose announcements have stopped.
    rechoose_after_ms : int
        Time, from the first failed action, for which control cannot reach a
        chosen server before another one is chosen.  Longer than
        ``promote_limit_ms``, so that one lost connection is not enough.
    cut_off_after_ms : int
        Time for which the leader reaches none of the servers that it needs
        before it may count as partitioned; three attempts of a read.  Where
        servers fence themselves, also the time after which the old primary
        may be chosen again if no other server is fenced.
    cut_off_count : int
        Least number of servers that do not answer the leader although their
        owners report them up, before the leader counts as partitioned; a
        single such server may be partitioned itself.
    propose_retry_ms : int
        Time after which an entry that was not committed is proposed again.
    settle_ms : int
        Time from the raise of the term for which a failover waits until
        further servers are fenced, and until proxies stop sending writes to
        a leaving primary.  Used only where servers fence themselves.
    catch_up_limit_ms : int
        Longest time for which writes are stopped while a replica of a
        leaving primary receives its remaining writes.
    leave_limit_ms : int
        Longest time for which a leaving primary stays in use because no
        replica is close behind it.
    most_lost_limit_ms : int
        Longest time for which a primary that is reported down is kept while
        most proxies do not report to control.  Used only where servers fence
        themselves.  A failover then still ends within 10 s, the longest
        outage that users accept.
    most_lost_leave_limit_ms : int
        The same limit for a leaving primary: endpoints stop 7 s after
        control has noticed that they leave, and the failover itself takes
        up to 2 s.
    catch_up_lsn_count : int
        Lag, in units of the LSN, up to which a replica is close behind.
    fence_limit_ms, read_limit_ms, promote_limit_ms, repoint_limit_ms : int
        Time limits of the actions.  They bound the delay that an
        unresponsive connection causes, because the action is then repeated
        on a new connection.
    """

    model_config = pydantic.ConfigDict(defer_build=True, frozen=True)

    report_ttl_ms: int = 1000
    handover_after_ms: int = 400
    handover_report_ms: int = 500
    retry_interval_ms: int = 100
    lost_retry_ms: int = 500
    rechoose_after_ms: int = 1500
    cut_off_after_ms: int = 1000
    cut_off_count: int = 2
    propose_retry_ms: int = 500
    settle_ms: int = 300
    catch_up_limit_ms: int = 1500
    leave_limit_ms: int = 3000
    most_lost_limit_ms: int = 8000
    most_lost_leave_limit_ms: int = 4500
    catch_up_lsn_count: int = 20
    fence_limit_ms: int = 400
    read_limit_ms: int = 250
    promote_limit_ms: int = 1000
    repoint_limit_ms: int = 400
