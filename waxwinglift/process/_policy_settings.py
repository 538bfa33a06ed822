"""Settings of the request and connection policies, parts of ProxySettings.

All fields have defaults; docs/performance.md gives the reasons for them.
"""

from typing import Literal

import pydantic


class PolicySettings(pydantic.BaseModel):
    """Base of the policy settings: immutable, unknown keys are rejected."""

    model_config = pydantic.ConfigDict(
        defer_build=True, frozen=True, extra="forbid"
    )


class AdmissionSettings(PolicySettings):
    """Settings of the queue in front of one endpoint.

    Parameters
    ----------
    order : str
        Order of the requests of a rank, in the registry of orders: "turns"
        of the callers, or "deadline", by the latest start that the target
        latency of a pool allows.
    initial_service_ms : float
        Service time assumed until the first statements have finished.
    service_weight : float
        Weight of a new sample in the moving average of service times.
    floor_window_ms : float
        Limit of the missed service that a rank below its floor share may
        catch up on, in milliseconds of the endpoint's full capacity.
    debt_window_ms : float
        Limit of the debt of a rank, which is the service that it received
        beyond its floor share, in the same unit; never below the service
        time of one statement.
    flood_depth : int
        Waiting urgent requests per slot from which the endpoint counts as
        overloaded; an idle rank then accumulates its floor share.  0 disables
        this.
    is_floor_expected : bool
        Whether the expected wait of a rank is based on its floor share.
    wait_fraction : float
        Part of the time until its deadline that a request may be expected
        to wait.  The rest is for its execution and the way of its answer;
        a request that has waited for half of the rest too is refused.
    advance_limit_count : int
        Maximum number of turns that a caller may be ahead of the others of
        its rank, for requests that would miss their deadline if they waited
        for their turn.
    refusal_start_ratio : float
        Ratio of the expected wait to the acceptable one from which the order
        "deadline" refuses a part of the requests; at 1 it refuses all.
    spare_in_flight_ratio : float
        Statements that an owner has in flight beyond those that occupy the
        slots and the network, in parts of the slots.  They wait at the
        endpoint, in order of arrival, and keep its slots busy while the owner
        handles an answer.
    refusal_share : float
        Refusals per served request that the order "deadline" allows by the
        times after which refused requests may return.
    return_limit_ms : float
        Longest of these times.
    """

    order: Literal["turns", "deadline"] = "turns"
    initial_service_ms: float = pydantic.Field(4.0, gt=0)
    service_weight: float = pydantic.Field(0.05, gt=0, le=1)
    floor_window_ms: float = pydantic.Field(200.0, gt=0)
    debt_window_ms: float = pydantic.Field(0.0, ge=0)
    flood_depth: int = pydantic.Field(2, ge=0)
    is_floor_expected: bool = True
    wait_fraction: float = pydantic.Field(1.0, gt=0, le=1)
    advance_limit_count: int = pydantic.Field(4, ge=0)
    refusal_start_ratio: float = pydantic.Field(0.5, gt=0, lt=1)
    spare_in_flight_ratio: float = pydantic.Field(0.0, ge=0, le=2)
    refusal_share: float = pydantic.Field(1 / 3, gt=0, le=1)
    return_limit_ms: float = pydantic.Field(1000.0, ge=1)


class RoutingSettings(PolicySettings):
    """Settings of the selection of an endpoint.

    Parameters
    ----------
    policy : str
        Name in the registry of routing policies.
    server_policy : str
        Name in the registry of policies for groups whose servers fence
        themselves: ``latency`` uses this proxy's own measurements, ``load``
        also what the endpoints' owners report.
    replica_wait_ms : float
        Longest accepted wait for a replica to reach the position that a
        read requires (its floor).
    prompt_wait_ms : float
        Expected wait up to which reads do not go to the primary.
    primary_share : float
        Share of the reads that may go to the primary to avoid a wait.
    primary_burst_count : float
        Maximum number of such reads that accumulate while unused, counted
        separately for urgent reads and for the others.
    is_spill_limited : bool
        Whether reads that replica queues reject may go to the primary only
        within ``primary_share``; urgent reads always may.
    primary_least_saving_ms : float
        Minimum time that a read must save to go to a primary that rejects
        outdated requests itself.  About the duration of one statement, which
        is the most that the read delays urgent work there.
    distance_ms : tuple of float
        Assumed round-trip time within the data centre, within the region
        and beyond; used until latencies have been measured.
    latency_weight : float
        Weight of a new sample in the moving averages of latencies.
    lag_weight : float
        Weight of a new sample in the moving average of a replica's lag.
    stale_after_ms : float
        Half-life of the influence of a measured latency.
    backoff_ms, backoff_limit_ms : float
        Time for which a failing endpoint is avoided: initial value, doubled
        with each successive failure up to the limit.
    return_ms : float
        Time over which the traffic share of a recovered endpoint rises to
        normal.
    """

    policy: str = "two_choices"
    server_policy: Literal["latency", "load"] = "latency"
    replica_wait_ms: float = pydantic.Field(150.0, ge=0)
    prompt_wait_ms: float = pydantic.Field(5.0, ge=0)
    primary_share: float = pydantic.Field(0.09, ge=0, le=1)
    primary_burst_count: float = pydantic.Field(30.0, ge=1)
    is_spill_limited: bool = True
    primary_least_saving_ms: float = pydantic.Field(15.0, ge=0)
    distance_ms: tuple[float, float, float] = (0.5, 2.0, 24.0)
    latency_weight: float = pydantic.Field(0.2, gt=0, le=1)
    lag_weight: float = pydantic.Field(0.6, gt=0, le=1)
    stale_after_ms: float = pydantic.Field(500.0, gt=0)
    backoff_ms: float = pydantic.Field(200.0, gt=0)
    backoff_limit_ms: float = pydantic.Field(5000.0, gt=0)
    return_ms: float = pydantic.Field(2000.0, gt=0)


class RetrySettings(PolicySettings):
    """Settings of retries.

    Parameters
    ----------
    budget_ratio : float
        Retries allowed per request of a pool.
    budget_burst_count : float
        Maximum number of unused retries that accumulate.
    attempt_limit_count : int
        Maximum number of attempts of one request, including the first.
    rejected_limit_count : int
        Maximum number of attempts of a request that queues reject.
    backoff_ms : float
        Mean delay before the second attempt; doubled for each later one.
    """

    budget_ratio: float = pydantic.Field(0.1, ge=0, le=1)
    budget_burst_count: float = pydantic.Field(20.0, ge=1)
    attempt_limit_count: int = pydantic.Field(4, ge=1)
    rejected_limit_count: int = pydantic.Field(2, ge=1)
    backoff_ms: float = pydantic.Field(5.0, ge=0)


class QuotaSettings(PolicySettings):
    """Settings of the limits of workspaces.

    Parameters
    ----------
    window_ms : float
        Time over which the operations of a workspace are judged.
    overage_ratio : float
        Part of the operations that the limit allows in a window by which it
        may be exceeded.
    slack_count : float
        Operations in a window by which it may be exceeded besides.
    tolerance_share : float
        Part of these tolerances that is granted; the rest covers the
        operations that two homes of one workspace grant at the same time.
    reduced_ratio : float
        Part of a limit that is granted while another home may grant it too.
    takeover_ms : float
        Longest time for which a home that has left the fleet may go on; at
        least ``EntrySettings.view_age_limit_ms``.
    """

    window_ms: float = pydantic.Field(5000.0, gt=0)
    overage_ratio: float = pydantic.Field(0.0, ge=0)
    slack_count: float = pydantic.Field(0.0, ge=0)
    tolerance_share: float = pydantic.Field(0.25, ge=0, le=1)
    reduced_ratio: float = pydantic.Field(0.3, gt=0, le=1)
    takeover_ms: float = pydantic.Field(4000.0, ge=0)


class SheddingSettings(PolicySettings):
    """Settings of the refusals by a process that lacks processor time.

    Parameters
    ----------
    target_lag_ms : float
        Lateness of the timers up to which a process has enough processor
        time.  A statement takes about ten turns of the event loop, each as
        long as the mean lateness or longer.
    lag_weight : float
        Weight of a new observation in the moving average of the lateness.
    gain : float
        Change of the number of refused ranks at each observation, for a
        lateness of twice the target.
    excess_limit : float
        Largest counted excess over the target, in multiples of it.
    retry_after_ms : float
        Delay that a refusal advises.
    """

    target_lag_ms: float = pydantic.Field(20.0, gt=0)
    lag_weight: float = pydantic.Field(0.5, gt=0, le=1)
    gain: float = pydantic.Field(0.1, gt=0)
    excess_limit: float = pydantic.Field(2.0, gt=0)
    retry_after_ms: float = pydantic.Field(1000.0, gt=0)


class CommitWaitSettings(PolicySettings):
    """Settings of the wait for a commit quorum.

    Parameters
    ----------
    timeout_ms : float
        Longest time for which an answer is held back.
    busy_poll_ms, idle_poll_ms : float
        Interval of position polls while answers are held back, and
        otherwise.  A newly held answer or a request for the position starts
        a poll at once.
    """

    timeout_ms: float = pydantic.Field(3000.0, gt=0)
    busy_poll_ms: float = pydantic.Field(5.0, gt=0)
    idle_poll_ms: float = pydantic.Field(1000.0, gt=0)


class EndpointPoolSettings(PolicySettings):
    """Settings of the connections to one endpoint.

    Parameters
    ----------
    spare_count : int
        Connections kept open beyond the endpoint's slots.
    keeps_surplus : bool
        Whether connections beyond these stay open when demand has fallen;
        for endpoints where opening a connection is expensive.
    opening_limit_count : int
        Connections that may open at the same time, for endpoints where an
        opening occupies a slot; 0 for no limit.
    lost_connection_ms : float
        Time for which a connection without an answer counts after it was
        closed, for endpoints that drop the connection of an unreachable
        client only after this time.
    open_timeout_ms, probe_timeout_ms : float
        Timeouts for opening a connection and for the answer to a probe.
    idle_probe_ms : float
        Idle connections are probed after this time without an answer.
    open_backoff_ms, open_backoff_limit_ms : float
        Delay before the next attempt to open a connection after a failed
        one: initial value, doubled with each successive failure up to the
        limit.
    """

    spare_count: int = pydantic.Field(2, ge=0)
    keeps_surplus: bool = False
    opening_limit_count: int = pydantic.Field(0, ge=0)
    lost_connection_ms: float = pydantic.Field(0.0, ge=0)
    open_timeout_ms: float = pydantic.Field(600.0, gt=0)
    probe_timeout_ms: float = pydantic.Field(300.0, gt=0)
    idle_probe_ms: float = pydantic.Field(1000.0, gt=0)
    open_backoff_ms: float = pydantic.Field(20.0, gt=0)
    open_backoff_limit_ms: float = pydantic.Field(500.0, gt=0)


class HealthSettings(PolicySettings):
    """Settings of the health monitor of one endpoint.

    Parameters
    ----------
    probe_interval_ms : float
        A probe is sent after this time without an answer.
    standby_probe_interval_ms : float
        The same at a standby owner, unless ``probe_interval_ms`` is longer.
        A standby's report counts only once the owner's lease has expired, up
        to 1100 ms after the owner has failed; by then the standby owner must
        have detected that an unresponsive primary is down.
    down_after_ms : float
        Time without an answer on existing and new connections after which
        the endpoint is marked down.
    refusal_limit_count : int
        Successive refused connections after which it is marked down.
    """

    probe_interval_ms: float = pydantic.Field(150.0, gt=0)
    standby_probe_interval_ms: float = pydantic.Field(300.0, gt=0)
    down_after_ms: float = pydantic.Field(600.0, gt=0)
    refusal_limit_count: int = pydantic.Field(2, ge=1)
