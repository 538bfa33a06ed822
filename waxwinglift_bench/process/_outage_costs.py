"""Delays and assumed processor times of the data centre loss simulation.

The control core and the entry codec are timed as they run.  A call is charged
half of the processor time that ``make slopes`` measures for both ends.
"""

import pydantic

from waxwinglift.process._control_link import ENTRY_RENEWAL_INTERVAL_MS
from waxwinglift.process._control_node import APPEND_INTERVAL_MS
from waxwinglift.version._action_queue import SESSIONS_LIMIT_COUNT


class OutageSettings(pydantic.BaseModel):
    """Sizes, delays and assumed processor times of one run.

    Parameters
    ----------
    daemons_count, groups_count, members_count : int
        Proxies, databases, and control members that survive.
    run_ms : int
        Virtual time after the loss.
    hop_ms, commit_ms, sql_ms : float
        One-way delay between regions, time from proposal to commit, and
        duration of an SQL session.
    down_after_ms : float
        Time without an answer after which a proxy reports an endpoint as
        down.
    early_interval_ms : float
        Minimum time between a renewal and an early one, which a proxy sends
        to report applied entries.
    sessions_limit_count : int
        Maximum number of concurrent SQL sessions of the leader.
    call_cpu_ms, batch_cpu_ms, item_cpu_ms, watch_cpu_ms : float
        Processor time at one end for a call of a proxy or endpoint, a batch
        to the leader, each item of a batch, and a watch reply.
    session_cpu_ms : float
        Processor time of the leader for an SQL session.
    append_cpu_ms, write_ms : float
        Processor time for a message to a follower, and duration of a synced
        write.  Each append needs two messages per follower: the entries and
        their commit.
    propose_batch_ms : float
        Time for which the leader collects proposals into one append; with 0
        each entry is appended separately.
    relay_batch_ms : float
        Time for which a relay collects calls into one batch.
    renew_interval_ms, announce_interval_ms : float
        Intervals of a proxy's renewals and of an endpoint's announcements.
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
