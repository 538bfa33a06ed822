"""Settings of the data path, parts of ProxySettings."""

import pydantic

from waxwinglift.process._policy_settings import AdmissionSettings
from waxwinglift.process._policy_settings import CommitWaitSettings
from waxwinglift.process._policy_settings import EndpointPoolSettings
from waxwinglift.process._policy_settings import HealthSettings
from waxwinglift.process._policy_settings import PolicySettings
from waxwinglift.process._policy_settings import RetrySettings
from waxwinglift.process._policy_settings import RoutingSettings


class EntrySettings(PolicySettings):
    """Settings of the side that accepts callers.

    Parameters
    ----------
    protocol : str
        Name in the registry of caller protocols.
    host : str
        IP number to listen on.
    port : int
        TCP port; 0 takes a free one.
    token_secret : str
        Fleet secret that signs session tokens, 8 to 64 bytes; the same at
        each proxy.
    passwords : dict of str to str
        Clear-text password by pool.  Callers of a pool that is not listed
        are trusted, whatever user name they give: the listening address
        must then be reachable by trusted callers only.
    message_limit_bytes : int
        Largest message, and largest sum of messages of one exchange, that a
        caller may send.
    startup_timeout_ms : float
        Time for the start-up messages of a caller.
    write_buffer_bytes : int
        Answer bytes kept for a slow caller before reading more.
    drain_timeout_ms : float
        Longest time that a drain waits for open transactions.
    drain_linger_ms : float
        Part of it in which callers are still accepted, because the balancer
        has not noticed yet.
    reported_parameters : dict of str to str
        Parameters reported to callers at start-up, as the endpoints have
        them.
    routing : RoutingSettings
    retry : RetrySettings
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
    drain_linger_ms: float = pydantic.Field(0.0, ge=0)
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


class OwnerSettings(PolicySettings):
    """Settings of the side that holds the endpoint connections.

    Parameters
    ----------
    protocol : str
        Name in the registry of endpoint protocols.
    user, password : str
        Account at the endpoints; all callers share it.
    database : str
        Database at the endpoints; empty for the name of the group.
    statement_timeout_ms : float
        Longest time for the answer to one exchange; the connection is
        closed then.
    silence_ms : float
        Time without an answer after which the endpoint's other connections
        are probed.
    idle_block_timeout_ms : float
        Longest time between two exchanges of a transaction block.
    replica_wait_ms : float
        Longest wait of a read for its floor, whatever the entry proxy asks
        for.
    replica_poll_ms : float
        Interval of the position poll of a replica in use.
    replica_use_ms : float
        A replica counts as in use for this time after a read.
    tick_ms : float
        Interval of the timers of an endpoint's queue, pool and health.
    idle_tick_ms : float
        The same while no transaction runs or waits.  It must stay below the
        drift margin of a lease (100 ms), in which an owner that has lost its
        lease closes its connections.
    held_answer_limit_bytes : int
        Largest answer that is kept until a quorum has its position.
    answer_limit_bytes : int
        Largest message accepted from an endpoint.
    replica_buffer_bytes : int
        Answer bytes of a replica kept back, so that a refused write can
        still go to the primary.
    prepared_limit_count : int
        Statements prepared on one connection; it is replaced beyond that.
    drain_timeout_ms : float
        Longest time that a drain waits for open transactions.
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
    drain_timeout_ms: float = pydantic.Field(30_000.0, gt=0)
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
