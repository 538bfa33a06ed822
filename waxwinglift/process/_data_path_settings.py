"""Settings of the data path, which are parts of ProxySettings."""

from typing import Literal

import pydantic

from waxwinglift.process._caller_limit_settings import CallerLimitSettings
from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.process._policy_settings import CommitWaitSettings
from waxwinglift.process._policy_settings import EndpointPoolSettings
from waxwinglift.process._policy_settings import HealthSettings
from waxwinglift.process._policy_settings import PolicySettings
from waxwinglift.process._policy_settings import QuotaSettings
from waxwinglift.process._policy_settings import RetrySettings
from waxwinglift.process._policy_settings import RoutingSettings
from waxwinglift.process._policy_settings import SheddingSettings


class EntrySettings(PolicySettings):
    """Settings of the entry side, which accepts connections of callers.

    Parameters
    ----------
    protocol : str
        Name in the registry of caller protocols.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 selects a free one.
    token_secret : str
        Secret that signs session tokens, 8 to 64 bytes; must be the same at
        all proxies of the fleet.
    passwords : dict of str to str
        Clear-text password by pool.  Callers of a pool without a password
        are accepted under any user name, so only trusted callers may be able
        to reach the listening address.
    message_limit_bytes : int
        Largest message that a caller may send, and largest total size of
        the messages of one exchange.
    startup_timeout_ms : float
        Time limit for the start-up messages of a caller.
    write_buffer_bytes : int
        Answer bytes buffered for a slow caller before the proxy waits for
        the caller to read.
    drain_timeout_ms : float
        Longest time that a drain waits for open transactions.
    drain_answer_timeout_ms : float
        Longest time after ``drain_timeout_ms`` that a drain waits for
        statements that still run; the callers of the others then get a
        failure.
    drain_linger_ms : float
        Time at the start of a drain in which new callers are still accepted,
        because the load balancer has not noticed the drain yet.  Counts
        towards ``drain_timeout_ms``.
    view_age_limit_ms : float
        Largest age of the proxy's state of the fleet up to which it accepts
        the keys of workspaces; 0 for no limit.  A key that is withdrawn stays
        in use for no longer than this and control's check-quorum time
        together.
    reported_parameters : dict of str to str
        Run-time parameters reported to callers at start-up; must match those
        of the endpoints.
    routing : RoutingSettings
    retry : RetrySettings
    caller_limits : CallerLimitSettings
    """

    protocol: str = "postgresql"
    host: str = "127.0.0.1"
    port: int = pydantic.Field(0, ge=0, le=65535)
    token_secret: str = pydantic.Field(min_length=8, max_length=64)
    passwords: dict[str, str] = pydantic.Field(default_factory=dict)
    message_limit_bytes: int = pydantic.Field(16 * 2**20, ge=1024)
    startup_timeout_ms: float = pydantic.Field(10_000.0, gt=0)
    write_buffer_bytes: int = pydantic.Field(2**18, ge=1024)
    drain_timeout_ms: float = pydantic.Field(30_000.0, gt=0)
    drain_answer_timeout_ms: float = pydantic.Field(10_000.0, ge=0)
    drain_linger_ms: float = pydantic.Field(0.0, ge=0)
    view_age_limit_ms: float = pydantic.Field(0.0, ge=0)
    reported_parameters: dict[str, str] = pydantic.Field(
        default_factory=lambda: {
            "server_version": "16.0",
            "server_encoding": "UTF8",
            "client_encoding": "UTF8",
            "DateStyle": "ISO, MDY",
            "IntervalStyle": "postgres",
            "TimeZone": "UTC",
            "integer_datetimes": "on",
            "standard_conforming_strings": "on",
        }
    )
    routing: RoutingSettings = pydantic.Field(default_factory=RoutingSettings)
    retry: RetrySettings = pydantic.Field(default_factory=RetrySettings)
    caller_limits: CallerLimitSettings = pydantic.Field(
        default_factory=CallerLimitSettings
    )

    @pydantic.model_validator(mode="after")
    def _check_budget(self):
        budget_bytes = self.caller_limits.budget_bytes
        if budget_bytes < self.message_limit_bytes:
            raise ValueError(
                f"caller_limits.budget_bytes ({budget_bytes}) must not be "
                f"below message_limit_bytes ({self.message_limit_bytes})"
            )
        return self


class OwnerSettings(PolicySettings):
    """Settings of the owner side, which has the connections to endpoints.

    Parameters
    ----------
    protocol : str
        Name in the registry of endpoint protocols.
    user, password : str
        Account at the endpoints, shared by all callers.
    database : str
        Database at the endpoints; if empty, the group's name is used.
    statement_timeout_ms : float
        Time limit for the answer to one exchange, after which the connection
        is closed.
    silence_ms : float
        Time without an answer after which the endpoint's other connections
        are probed.
    idle_block_timeout_ms : float
        Longest time between two exchanges of a transaction block.
    replica_wait_ms : float
        Upper limit on the time that a read waits for its floor; the entry
        proxy may request a lower one.
    replica_poll_ms : float
        Interval at which the position of a replica in use is polled.
    replica_use_ms : float
        Time after a read for which a replica counts as in use.
    tick_ms : float
        Interval of the timers of an endpoint's queue, pool and probes.
    idle_tick_ms : float
        Interval of the same timers while no transaction runs or waits.  Must
        be below the drift margin of a lease (100 ms), because an owner that
        has lost its lease must close its connections within that margin.
    held_answer_limit_bytes : int
        Largest answer that is buffered until a quorum has reached its
        position.
    answer_limit_bytes : int
        Largest message accepted from an endpoint.
    replica_buffer_bytes : int
        Bytes of a replica's answer that are buffered before any are sent, so
        that a write that the replica rejects can still go to the primary.
    prepared_limit_count : int
        Largest number of statements prepared on one connection; a connection
        with more is replaced.
    connection_division : str
        How the connections of a server that fences itself are divided among
        the proxies: ``fixed`` numbers for each role, or ``shares`` that add up
        to the server's limit.
    drain_timeout_ms : float
        Longest time that a drain or a handover waits for open transactions.
    drain_answer_timeout_ms : float
        Longest time after ``drain_timeout_ms`` that it waits for statements
        that still run; their connections are then closed.
    admission : AdmissionSettings
    commit_wait : CommitWaitSettings
    pool : EndpointPoolSettings
    health : HealthSettings
    shedding : SheddingSettings
    quota : QuotaSettings
    """

    protocol: str = "postgresql"
    user: str = "waxwinglift"
    password: str = ""
    database: str = ""
    statement_timeout_ms: float = pydantic.Field(10_000.0, gt=0)
    silence_ms: float = pydantic.Field(1000.0, gt=0)
    idle_block_timeout_ms: float = pydantic.Field(60_000.0, gt=0)
    replica_wait_ms: float = pydantic.Field(2000.0, ge=0)
    replica_poll_ms: float = pydantic.Field(20.0, gt=0)
    replica_use_ms: float = pydantic.Field(1000.0, gt=0)
    tick_ms: float = pydantic.Field(50.0, gt=0)
    idle_tick_ms: float = pydantic.Field(80.0, gt=0, lt=100)
    held_answer_limit_bytes: int = pydantic.Field(64 * 2**20, ge=1024)
    answer_limit_bytes: int = pydantic.Field(2**30, ge=1024)
    replica_buffer_bytes: int = pydantic.Field(2**14, ge=0)
    prepared_limit_count: int = pydantic.Field(1000, ge=1)
    connection_division: Literal["fixed", "shares"] = "fixed"
    drain_timeout_ms: float = pydantic.Field(30_000.0, gt=0)
    drain_answer_timeout_ms: float = pydantic.Field(10_000.0, ge=0)
    admission: AdmissionSettings = pydantic.Field(
        default_factory=AdmissionSettings
    )
    commit_wait: CommitWaitSettings = pydantic.Field(
        default_factory=CommitWaitSettings
    )
    pool: EndpointPoolSettings = pydantic.Field(
        default_factory=EndpointPoolSettings
    )
    health: HealthSettings = pydantic.Field(default_factory=HealthSettings)
    shedding: SheddingSettings = pydantic.Field(
        default_factory=SheddingSettings
    )
    quota: QuotaSettings = pydantic.Field(default_factory=QuotaSettings)
