"""Delays and charged processor times of the loss of a data centre.

Decisions and the entry codec are timed as they run.  Calls are charged at
half of what both ends take together in ``make slopes``.
"""

import pydantic

from waxwinglift.process._control_link import ENTRY_RENEWAL_INTERVAL_MS
from waxwinglift.process._control_node import APPEND_INTERVAL_MS
from waxwinglift.version._action_queue import SESSIONS_LIMIT_COUNT


class OutageSettings(pydantic.BaseModel):
    """Sizes, delays and charged processor times of one run.

    Parameters
    ----------
    daemons_count, groups_count, members_count : int
        Proxies, databases, and control members that are left.
    run_ms : int
        Virtual time after the loss.
    hop_ms, commit_ms, sql_ms : float
        One way between regions, proposal to commit, and one SQL session.
    down_after_ms : float
        Time after which a proxy reports a silent endpoint.
    early_interval_ms : float
        Least time between a renewal and an early one of the same proxy.
    sessions_limit_count : int
        SQL sessions that the leader runs at once.
    call_cpu_ms, batch_cpu_ms, item_cpu_ms, watch_cpu_ms : float
        Processor time of one end for a call of a proxy or endpoint, for a
        batch to the leader, for each of its items, and for a watch reply.
    session_cpu_ms : float
        Processor time of the leader for one SQL session.
    append_cpu_ms, write_ms : float
        Processor time of one message to a follower, and time of one synced
        write; each append of the log is sent to each follower twice, with
        the entries and with their commit.
    propose_batch_ms : float
        Time for which the leader collects proposals into one append; 0
        appends each entry by itself.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    daemons_count: int = 450
    groups_count: int = 870
    members_count: int = 5
    run_ms: int = 10_000
    hop_ms: float = 13.0
    commit_ms: float = 30.0
    sql_ms: float = 60.0
    down_after_ms: float = 750.0
    early_interval_ms: float = ENTRY_RENEWAL_INTERVAL_MS
    sessions_limit_count: int = SESSIONS_LIMIT_COUNT
    propose_batch_ms: float = APPEND_INTERVAL_MS
    relay_batch_ms: float = 20.0
    renew_interval_ms: float = 250.0
    announce_interval_ms: float = 500.0
    call_cpu_ms: float = 0.27
    batch_cpu_ms: float = 0.30
    item_cpu_ms: float = 0.00175
    watch_cpu_ms: float = 0.018
    session_cpu_ms: float = 0.66
    append_cpu_ms: float = 0.30
    write_ms: float = 0.5
