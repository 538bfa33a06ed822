"""Times of a change of primary."""

import pydantic


class FailoverSettings(pydantic.BaseModel):
    """Times of a change of primary.

    Parameters
    ----------
    report_ttl_ms : int
        Age at which a health report no longer counts; four renewals.
    handover_after_ms : int
        Time for which only the owner finds an endpoint down before it loses
        the endpoint.  Longer than two probes, so that the standby owner
        finds a primary that is really down as well.
    handover_report_ms : int
        Age at which a standby owner's report no longer counts for that; two
        renewals, because it may be cut off itself.
    retry_interval_ms : int
        Time between a failed action and its repetition.
    lost_retry_ms : int
        The same for a server whose announcements have stopped.
    rechoose_after_ms : int
        Time for which control cannot reach a chosen server, from the first
        failed action, before another one is chosen.  Longer than the limit
        of a promotion, so that one lost connection does not decide.
    cut_off_after_ms : int
        Time for which a leader that needs servers reaches none of them
        before it may count as cut off; three attempts of a read.
    cut_off_count : int
        Servers that must be silent and found up by their owners; a single
        one may be cut off itself.
    propose_retry_ms : int
        Time after which an entry that was not committed is proposed again.
    settle_ms : int
        Time for which a change waits for further servers once one of them
        could take over; with fencing by the servers only.
    catch_up_limit_ms : int
        Longest time without writes in which the replicas of a primary that
        leaves may receive what it still has.
    leave_limit_ms : int
        Longest time for which a leaving primary goes on because no replica
        is close behind it.
    most_lost_limit_ms : int
        Longest time for which a primary that is reported down is kept while
        most proxies are out of control's reach; with fencing by the servers
        only.  A change then still ends within the 10 s that users allow.
    most_lost_leave_limit_ms : int
        The same for a primary that leaves; endpoints stop 7 s after control
        has taken note, and the change itself takes up to 2 s.
    catch_up_lsn_count : int
        Distance at which a replica counts as close behind.
    fence_limit_ms, read_limit_ms, promote_limit_ms, repoint_limit_ms : int
        Time limits of the actions.  They bound what a silent connection
        costs, because the action is then repeated on a new one.
    """

    model_config = pydantic.ConfigDict(frozen=True)

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
