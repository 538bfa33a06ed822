"""The platform's settings file and the settings derived from it."""

import os
import pathlib
import tomllib
from typing import Annotated

import pydantic
from result import Err
from result import Ok
from result import Result

from waxwinglift.process import _checks
from waxwinglift.process import Address
from waxwinglift.process._settings import DiscoverySettings
from waxwinglift.process._settings import LocationSettings
from waxwinglift.process._settings import ObservabilitySettings

SETTINGS_VARIABLE = "WAXWINGLIFT_CONFIG"

# Port of a proxy's metrics (the usual one); a control daemon uses the next.
# Both are fixed, because ``deploy/system.toml`` names them.
_METRICS_PORT = 9464

_Port = Annotated[int, pydantic.Field(ge=1, le=_checks.PORT_MAX)]

SocketAddress = Annotated[
    Address, pydantic.BeforeValidator(_checks.check_address)
]


class _PlatformModel(pydantic.BaseModel):
    """Base of the models; unknown fields are ignored.

    The platform may add fields at any time.
    """

    model_config = pydantic.ConfigDict(
        defer_build=True,
        extra="ignore",
        frozen=True,
        arbitrary_types_allowed=True,
        # TOML has both as numbers, and no duration can be one of them.
        allow_inf_nan=False,
    )


class ListenAddresses(_PlatformModel):
    """Listening addresses of the role; None where it does not listen."""

    callers: SocketAddress | None = pydantic.Field(None, alias="frontendAddr")
    readiness: SocketAddress | None = pydantic.Field(
        None, alias="readinessAddr"
    )
    control: SocketAddress | None = None


class PromotionService(_PlatformModel):
    """Service that carries out changes of primary."""

    address: SocketAddress


class FaultTolerance(_PlatformModel):
    """Simultaneous losses that must be tolerated."""

    # Machines with a disk, not machines of any kind.
    disks_count: int = pydantic.Field(0, ge=0, alias="machines")


class Bounds(_PlatformModel):
    """Time limits of the platform."""

    grace_s: float = pydantic.Field(6.0, gt=0, alias="graceS")
    drain_ms: float = pydantic.Field(7000.0, gt=0, alias="drainMs")
    # Whether a withdrawn key must be refused even without a path to control.
    is_revocation_strict: bool = pydantic.Field(
        False, alias="revokeFailClosed"
    )
    revocation_ms: float = pydantic.Field(5000.0, gt=0, alias="revokeMs")
    quota_window_s: float = pydantic.Field(5.0, gt=0, alias="quotaWindowS")
    quota_overage_ratio: float = pydantic.Field(
        0.0, ge=0, alias="quotaOverage"
    )
    quota_slack_count: float = pydantic.Field(0.0, ge=0, alias="quotaSlack")


class PlatformSettings(_PlatformModel):
    """Settings of one process in the platform's own form."""

    # Name of the machine, which its processes share.
    machine: str = pydantic.Field(min_length=1, alias="nodeName")
    ip: Annotated[str, pydantic.AfterValidator(_checks.check_ip_address)]
    data_centre: str = pydantic.Field(min_length=1, alias="zone")
    region: str = pydantic.Field(min_length=1)
    # Names of the parts of the platform's rules that are in force.
    contracts: tuple[str, ...] = ()
    # First and last port for internal use by the machine's processes.
    internal_ports: tuple[_Port, _Port] = pydantic.Field(alias="internalPorts")
    # Control addresses of a few machines, possibly outdated.
    seeds: tuple[SocketAddress, ...] = ()
    is_first_start: bool = pydantic.Field(False, alias="bootstrap")
    data_folder: pathlib.Path | None = pydantic.Field(None, alias="dataDir")
    announce_interval_ms: float = pydantic.Field(
        1000.0, gt=0, alias="heartbeatMs"
    )
    regions: dict[str, str] = pydantic.Field(
        default_factory=dict, alias="zones"
    )
    listen: ListenAddresses = pydantic.Field(
        default_factory=ListenAddresses, alias="bindAddrs"
    )
    tolerance: FaultTolerance = pydantic.Field(
        default_factory=FaultTolerance, alias="faultTolerance"
    )
    bounds: Bounds = pydantic.Field(default_factory=Bounds)
    promotion: PromotionService | None = pydantic.Field(None, alias="cloudApi")

    @property
    def control_listen(self) -> Address:
        """Address of the control member's internal protocol."""
        return Address(self.ip, self.internal_ports[0])

    @property
    def peer_listen(self) -> Address:
        """Address of the proxy's internal protocol."""
        return Address(self.ip, self.internal_ports[0] + 1)

    @property
    def metrics_listen(self) -> Address:
        """Address of the process's metrics, as in ``deploy/system.toml``.

        The port depends on the role, since two roles may share a machine.
        """
        offset = 0 if self.listen.control is None else 1
        return Address(self.ip, _METRICS_PORT + offset)

    @property
    def control_seeds(self) -> tuple[Address, ...]:
        """Seeds with the port of the members' internal protocol.

        The seeds in the file have the port for operators; all machines use
        the same internal ports.
        """
        port = self.internal_ports[0]
        return tuple(Address(seed.host, port) for seed in self.seeds)

    @property
    def observability(self) -> ObservabilitySettings:
        """Logs to standard output, metrics on a separate port."""
        return ObservabilitySettings(metrics_listen=self.metrics_listen)

    @property
    def location(self) -> LocationSettings:
        """Data centre and region of the machine."""
        return LocationSettings(
            data_centre=self.data_centre, region=self.region
        )

    @property
    def discovery(self) -> DiscoverySettings:
        """Settings for the way in which a control member finds its group."""
        return DiscoverySettings(
            seeds=self.control_seeds, may_found=self.is_first_start
        )


def settings_path() -> pathlib.Path | None:
    """Return the path from the environment, None if it is not set."""
    path = os.environ.get(SETTINGS_VARIABLE)
    return pathlib.Path(path) if path else None


def load_platform_settings(
    path: pathlib.Path,
) -> Result[PlatformSettings, str]:
    """Read the platform's settings file.

    Returns
    -------
    Result[PlatformSettings, str]
        The settings, or all problems found, one per line.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Err(f"{path}: cannot be read: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err(f"{path}: not valid TOML: {error}")
    except RecursionError:
        return Err(f"{path}: nested too deeply")
    try:
        return Ok(PlatformSettings.model_validate(values))
    except pydantic.ValidationError as error:
        problems = error.errors(include_url=False)
        return Err("\n".join(_describe(path, one) for one in problems))


def _describe(path, problem):
    key = ".".join(str(part) for part in problem["loc"]) or "file"
    return f"{path}: {key}: {problem['msg']}"
