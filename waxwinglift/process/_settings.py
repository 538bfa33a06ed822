"""Settings of the daemons: TOML files validated by pydantic models.

Models are immutable.  Unknown keys and values out of range are rejected; the
message has the file, the key and the allowed range.
"""

import pathlib
import tomllib
from typing import Annotated

import pydantic
from result import Err
from result import Ok

from waxwinglift.process import _checks
from waxwinglift.process._caller_limit_settings import HttpLimitSettings
from waxwinglift.process._data_path_settings import EntrySettings
from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._relays import RELAY_ORDERS
from waxwinglift.process._types import Address
from waxwinglift.version._control_settings import ControlCoreSettings
from waxwinglift.version._control_settings import MembershipSettings

# Words in the keys of values that must not appear in error messages.
_PRIVATE_WORDS = ("secret", "password")
# Types of values that error messages show.
_SHOWN_TYPES = (str, int, float, bool)

Name = Annotated[str, pydantic.AfterValidator(_checks.check_name)]
SocketAddress = Annotated[
    Address, pydantic.BeforeValidator(_checks.check_address)
]


class SettingsModel(pydantic.BaseModel):
    """Base of all settings models; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(
        defer_build=True,
        extra="forbid",
        frozen=True,
        arbitrary_types_allowed=True,
    )


class LocationSettings(SettingsModel):
    """Data centre and region of this VM."""

    data_centre: Name
    region: Name


class ObservabilitySettings(SettingsModel):
    """Logs, metrics and traces.

    Parameters
    ----------
    log_level : str
        One of debug, info, warning, error.
    statsd : Address, optional
        UDP address of a statsd server; metrics are not sent without one.
    statsd_prefix : str
        First part of each metric name.
    metrics_listen : Address, optional
        Address where counters and latency histograms are served as text;
        not served without one.
    trace_file : Path, optional
        File to which spans are appended as JSON lines; off without one.
    trace_sample_ratio : float
        Share of new traces that are recorded, 0 to 1.
    """

    log_level: Annotated[
        str, pydantic.Field(pattern="^(debug|info|warning|error)$")
    ] = "info"
    statsd: SocketAddress | None = None
    statsd_prefix: Name = "waxwinglift"
    metrics_listen: SocketAddress | None = None
    trace_file: pathlib.Path | None = None
    trace_sample_ratio: Annotated[float, pydantic.Field(ge=0, le=1)] = 1.0


class MemberSettings(SettingsModel):
    """Identifier, address and location of one control daemon.

    ``location`` is written to the log when the group is founded, and must be
    equal on all founders.
    """

    member: Name
    address: SocketAddress
    location: LocationSettings | None = None


class ControlTimingSettings(SettingsModel):
    """Timing of leases, elections and calls; equal on all control daemons.

    The lease must last longer than a control election (at most
    ``election_timeout_max_ms``, by default 600 ms, plus a vote) by more than
    one renewal interval; otherwise a normal change of leader would interrupt
    the service.

    Parameters
    ----------
    lease_ms : int
        Duration of a proxy's lease.
    tick_interval_ms : int
        Interval of the timers of consensus and control core.
    relay_batch_ms : int
        Time for which renewals and announcements are collected before they
        are forwarded to the leader.
    rpc_timeout_ms : int
        Time limit for calls to the leader, and for a majority to confirm an
        entry or the leadership; doubled for proposals that are forwarded.
    heartbeat_ms, check_quorum_ms : int
    election_timeout_min_ms, election_timeout_max_ms : int
        As in `ConsensusSettings`.
    """

    lease_ms: Annotated[int, pydantic.Field(ge=800, le=10_000)] = 1000
    tick_interval_ms: Annotated[int, pydantic.Field(ge=5, le=100)] = 20
    relay_batch_ms: Annotated[int, pydantic.Field(ge=1, le=200)] = 20
    rpc_timeout_ms: Annotated[int, pydantic.Field(ge=50, le=10_000)] = 1000
    heartbeat_ms: Annotated[int, pydantic.Field(ge=10, le=1000)] = 75
    check_quorum_ms: Annotated[int, pydantic.Field(ge=20, le=5000)] = 250
    election_timeout_min_ms: Annotated[
        int, pydantic.Field(ge=50, le=10_000)
    ] = 300
    election_timeout_max_ms: Annotated[
        int, pydantic.Field(ge=100, le=20_000)
    ] = 600


class DiscoverySettings(SettingsModel):
    """How a control daemon finds its group without a list of members.

    Parameters
    ----------
    seeds : tuple of Address
        Addresses of a few control daemons, possibly outdated.
    may_found : bool
        Whether the system starts for the first time; the daemon with the
        lowest seed address then founds the group.
    """

    seeds: tuple[SocketAddress, ...] = ()
    may_found: bool = False


class ControlSettings(SettingsModel):
    """Settings of ``waxwinglift-control``.

    Parameters
    ----------
    member : str
        This daemon's name in ``members``, or a new one with ``join``.
    listen : Address
        gRPC address for proxies, endpoints, operators and other members.
    members : tuple of MemberSettings
        Initial members of the log; later changes are in the log itself.
    data_folder : Path
        Folder for the log, the vote and the snapshots.
    snapshot_entry_count : int
        Entries after which a snapshot is taken and the log compacted.
    join : bool
        Start without a state and wait for ``waxwinglift member add``.
    discovery : DiscoverySettings, optional
        Find the group by seeds and join it automatically, instead of using
        ``members`` and ``join``.
    membership : MembershipSettings
        Which members vote, if ``discovery`` is used.
    policy : ControlCoreSettings
        Timing of the leader's decisions; leases and ticks are in ``timing``.
    endpoint_protocol : str
        Name in the registry of endpoint protocols.
    endpoint_user, endpoint_password, endpoint_database : str
        Account and database that control uses at the endpoints.
    promotion_address : Address, optional
        Address of the service that carries out changes of primary, for
        protocols that need it.
    """

    member: Name
    location: LocationSettings
    listen: SocketAddress
    members: tuple[MemberSettings, ...] = ()
    data_folder: pathlib.Path
    snapshot_entry_count: Annotated[
        int, pydantic.Field(ge=10, le=1_000_000)
    ] = 1000
    join: bool = False
    discovery: DiscoverySettings | None = None
    membership: MembershipSettings = MembershipSettings()
    policy: ControlCoreSettings = ControlCoreSettings()
    endpoint_protocol: str = "postgresql"
    promotion_address: SocketAddress | None = None
    endpoint_user: str = "waxwinglift"
    endpoint_password: pydantic.SecretStr = pydantic.SecretStr("")
    endpoint_database: str = "postgres"
    http_limits: HttpLimitSettings = HttpLimitSettings()
    timing: ControlTimingSettings = ControlTimingSettings()
    observability: ObservabilitySettings = ObservabilitySettings()

    @pydantic.model_validator(mode="after")
    def _check_members(self):
        names = [member.member for member in self.members]
        _checks.check_unique(names, "member")
        is_joining = self.join or self.discovery is not None
        if not is_joining and self.member not in names:
            raise ValueError(
                f"member {self.member} is not in members; "
                "list it or set join = true"
            )
        return self


class ProxyTimingSettings(SettingsModel):
    """Timing of one proxy.

    Parameters
    ----------
    renew_interval_ms : int
        Interval between renewals of the lease.
    rpc_timeout_ms : int
        Time limit for the answer to a renewal.
    last_renewal_timeout_ms : int
        Time limit for the last renewal, which comes after the drain; at most
        ``rpc_timeout_ms`` is used.
    drain_timeout_ms : int
        Longest time that a shutdown waits for open transactions, for running
        statements and for the handover of endpoints.  Must be above the sum
        of both limits for them in `EntrySettings` and in `OwnerSettings`.
    """

    renew_interval_ms: Annotated[int, pydantic.Field(ge=50, le=2000)] = 250
    rpc_timeout_ms: Annotated[int, pydantic.Field(ge=50, le=10_000)] = 600
    last_renewal_timeout_ms: Annotated[
        int, pydantic.Field(ge=50, le=10_000)
    ] = 600
    drain_timeout_ms: Annotated[int, pydantic.Field(ge=0, le=600_000)] = 45_000


class ProxySettings(SettingsModel):
    """Settings of ``waxwinglift-proxy``.

    Parameters
    ----------
    daemon : str
        Unique name of this proxy in the fleet.
    peer_listen : Address
        gRPC address for other proxies.
    control : tuple of Address
        Addresses of the control daemons.
    ready_listen : Address, optional
        HTTP address of the readiness check for the load balancer.
    entry : EntrySettings
        Settings of the side that serves callers.
    owner : OwnerSettings
        Settings of the side that has the connections to endpoints.
    relay_order : str
        Order in which the control daemons are preferred: ``hash`` for equal
        shares, ``nearest`` for the own data centre, then the own region, then
        the others, each with equal shares.
    compresses_between_regions : bool
        Whether to compress what is sent to proxies of other regions, and
        their answers; takes 31 KiB of memory for each connection.
    """

    daemon: Name
    location: LocationSettings
    peer_listen: SocketAddress
    control: Annotated[tuple[SocketAddress, ...], pydantic.Field(min_length=1)]
    ready_listen: SocketAddress | None = None
    entry: EntrySettings
    owner: OwnerSettings = OwnerSettings()
    relay_order: str = "hash"
    compresses_between_regions: bool = False
    timing: ProxyTimingSettings = ProxyTimingSettings()
    observability: ObservabilitySettings = ObservabilitySettings()

    @pydantic.field_validator("relay_order")
    @classmethod
    def _check_relay_order(cls, relay_order):
        if relay_order not in RELAY_ORDERS:
            names = ", ".join(sorted(RELAY_ORDERS))
            raise ValueError(f"must be one of {names}")
        return relay_order

    @pydantic.field_validator("entry")
    @classmethod
    def _check_entry(cls, entry):
        try:
            _checks.check_ip_address(entry.host)
        except ValueError as error:
            raise ValueError(f"host {error}") from error
        return entry

    @pydantic.model_validator(mode="after")
    def _check_drain_limits(self):
        sides = {"entry": self.entry, "owner": self.owner}
        whole_ms = self.timing.drain_timeout_ms
        for name, side in sides.items():
            used_ms = side.drain_timeout_ms + side.drain_answer_timeout_ms
            if whole_ms <= used_ms:
                raise ValueError(
                    f"timing.drain_timeout_ms ({whole_ms}) must be above "
                    f"{name}.drain_timeout_ms + {name}.drain_answer_timeout_ms"
                    f" ({used_ms:g})"
                )
        return self


def load_settings(path, model):
    """Read and validate a TOML file.

    Parameters
    ----------
    path : str or Path
        File to read.
    model : type of SettingsModel
        Model that validates the values.

    Returns
    -------
    Result[SettingsModel, str]
        The settings, or all problems found, one per line.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        values = tomllib.loads(text)
    except OSError as error:
        return Err(f"{path}: cannot be read: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err(f"{path}: not valid TOML: {error}")
    except RecursionError:
        return Err(f"{path}: nested too deeply")
    try:
        return Ok(model.model_validate(values))
    except pydantic.ValidationError as error:
        return Err("\n".join(_describe_errors(path, error)))


def _describe_errors(path, error):
    for problem in error.errors(include_url=False):
        key = ".".join(str(part) for part in problem["loc"]) or "file"
        if problem["type"] == "missing":
            yield f"{path}: {key}: is required"
        elif problem["type"] == "extra_forbidden":
            yield f"{path}: {key}: unknown key"
        else:
            message = problem["msg"].removeprefix("Value error, ")
            yield f"{path}: {key}: {message}{_show_input(problem)}"


def _show_input(problem):
    value = problem.get("input")
    key = str(problem["loc"])
    is_private = any(word in key for word in _PRIVATE_WORDS)
    # A table or list may contain a private value below another key.
    if is_private or not isinstance(value, _SHOWN_TYPES):
        return ""
    return f" (got {value!r})"
