"""Settings of the control daemons' decisions.

They are apart from the code that they configure, because a proxy's process
loads the models of all settings but none of that code.
"""

import pydantic

from waxwinglift.version._failover_settings import FailoverSettings
from waxwinglift.version._leases import LeaseSettings


class AnnouncementSettings(pydantic.BaseModel):
    """Timing of announcements.

    Parameters
    ----------
    ttl_ms : int
        Time without an announcement after which an endpoint is lost.
    announce_interval_ms : int
        Time between two announcements of an endpoint.
    first_backoff_ms, max_backoff_ms : int
        Initial and maximum back-off: the minimum time between the last
        proposed change of an endpoint and its next join, from the third
        change on.  It doubles with each change.
    steady_ms : int
        Time without a change after which the back-off is reset.
    retry_ms : int
        Time after which a proposed entry that is still needed is proposed
        again.  It doubles with each repetition, except for GroupFormed.
    departed_ms : int
        Time for which a leader ignores announcements of an endpoint's start
        that the endpoint has ended.
    """

    model_config = pydantic.ConfigDict(defer_build=True, frozen=True)

    ttl_ms: int = 1500
    announce_interval_ms: int = 500
    first_backoff_ms: int = 1000
    max_backoff_ms: int = 60_000
    steady_ms: int = 60_000
    retry_ms: int = 1000
    departed_ms: int = 20_000


class MembershipSettings(pydantic.BaseModel):
    """Limits of the control group.

    Parameters
    ----------
    voters_count : int
        Target number of voters: 2 f + 1 to tolerate the loss of f.
    members_limit_count : int
        Maximum number of members, including learners.
    replace_after_ms : int
        Time without an answer after which a voter is replaced by a learner;
        longer than a restart takes.
    forget_learner_ms : int
        Time without an answer after which a learner is removed.
    join_ttl_ms : int
        Time after which a join request expires; daemons repeat theirs.
    """

    model_config = pydantic.ConfigDict(defer_build=True, frozen=True)

    voters_count: int = pydantic.Field(5, ge=1)
    members_limit_count: int = pydantic.Field(9, ge=1)
    replace_after_ms: int = pydantic.Field(2500, gt=0)
    forget_learner_ms: int = pydantic.Field(10_000, gt=0)
    join_ttl_ms: int = pydantic.Field(2000, gt=0)


class ControlCoreSettings(pydantic.BaseModel):
    """Settings of the control leader.

    Parameters
    ----------
    tick_interval_ms : int
        Time between two ControlTick events.  In a change of primary, control
        may notice two things up to this much late: the end of the lease of
        the primary's owner, and the end of the leases of proxies that have
        not applied the raised term.
    expire_interval_ms : int
        Time between two searches for endpoints whose announcements expired.
    apply_limit_ms : int
        A proxy that has not applied an entry this long after its commit gets
        no further lease.  Together with the lease duration this ensures that
        an accepted edit is in force everywhere within 3 s.
    raise_limit_ms : int
        The same limit for a raised term that follows another one within this
        time.  After a single raised term, a proxy gets no further lease until
        it has applied it.  If many terms are raised in succession, that rule
        would refuse every renewal, because the applied index in a renewal is
        one round trip old; this happened with 220 terms within seconds.
    rebalance_delay_ms : int
        Time without changes of the proxies, or new endpoints, before
        endpoints are moved to their preferred owners; a restart takes about
        this long.
    handover_settle_ms : int
        Time after an assignment before the endpoint may be moved from an
        owner that alone cannot reach it: the new standby owner first has to
        find out whether it can.
    handover_pause_ms : int
        Minimum time between two moves of an endpoint that only its owner
        cannot reach.
    undrain_ms : int
        Time without a draining renewal after which a restarted proxy counts
        as active again.
    give_up_pause_ms : int
        Minimum time between two occasions on which this member gives up
        leadership because it reaches no server.  If no member reaches a
        server, elections would otherwise never end.
    propose_retry_ms : int
        Time after which a proposed entry that has not been committed may be
        proposed again.
    """

    model_config = pydantic.ConfigDict(defer_build=True, frozen=True)

    leases: LeaseSettings = LeaseSettings()
    announcements: AnnouncementSettings = AnnouncementSettings()
    failover: FailoverSettings = FailoverSettings()
    tick_interval_ms: int = 20
    expire_interval_ms: int = 250
    apply_limit_ms: int = 1000
    raise_limit_ms: int = 250
    rebalance_delay_ms: int = 3000
    handover_settle_ms: int = 1000
    handover_pause_ms: int = 5000
    undrain_ms: int = 1000
    give_up_pause_ms: int = 30_000
    propose_retry_ms: int = 500
