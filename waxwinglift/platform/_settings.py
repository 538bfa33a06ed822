"""The platform's settings file, translated into the product's settings."""

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

# The deploy file can only name a fixed port: the usual one for metrics.
_METRICS_PORT = 9464

SocketAddress = Annotated[
    Address, pydantic.BeforeValidator(_checks.check_address)
]


class _PlatformModel(pydantic.BaseModel):
    """The platform may add fields at any time; unknown ones are ignored."""

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, arbitrary_types_allowed=True
    )


class ListenAddresses(_PlatformModel):
    """Addresses of what the role serves; absent where it serves nothing."""

    callers: SocketAddress | None = pydantic.Field(None, alias="frontendAddr")
    readiness: SocketAddress | None = pydantic.Field(
        None, alias="readinessAddr"
    )
    control: SocketAddress | None = None


class PromotionService(_PlatformModel):
    """Where changes of primary are ordered."""

    address: SocketAddress


class FaultTolerance(_PlatformModel):
    """What may be lost at once."""

    # Machines with a disk, not machines of any kind.
    disks_count: int = pydantic.Field(0, ge=0, alias="machines")


class Bounds(_PlatformModel):
    """Bounds that the platform states in its own units."""

    grace_s: float = pydantic.Field(6.0, gt=0, alias="graceS")
    drain_ms: float = pydantic.Field(7000.0, gt=0, alias="drainMs")


class PlatformSettings(_PlatformModel):
    """Settings of one process, as the platform states them."""

    # Names the machine; two processes of a machine share it.
    machine: str = pydantic.Field(min_length=1, alias="nodeName")
    ip: Annotated[str, pydantic.AfterValidator(_checks.check_ip_number)]
    data_centre: str = pydantic.Field(min_length=1, alias="zone")
    region: str = pydantic.Field(min_length=1)
    # First and last port that the machine's own processes may use.
    internal_ports: tuple[int, int] = pydantic.Field(alias="internalPorts")
    # Control addresses of a few machines, perhaps out of date.
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
        """Address of the control member's own protocol."""
        return Address(self.ip, self.internal_ports[0])

    @property
    def peer_listen(self) -> Address:
        """Address of the proxy's own protocol."""
        return Address(self.ip, self.internal_ports[0] + 1)

    @property
    def metrics_listen(self) -> Address:
        """Address of the process's metrics, as the deploy file names it.

        Two roles may share a machine.
        """
        offset = 0 if self.listen.control is None else 1
        return Address(self.ip, _METRICS_PORT + offset)

    @property
    def control_seeds(self) -> tuple[Address, ...]:
        """Seeds at the port of the members' own protocol.

        The seeds name the port for operators; all machines use the same
        internal ports.
        """
        port = self.internal_ports[0]
        return tuple(Address(seed.host, port) for seed in self.seeds)

    @property
    def observability(self) -> ObservabilitySettings:
        """Logs to standard output, metrics on their own port."""
        return ObservabilitySettings(metrics_listen=self.metrics_listen)

    @property
    def location(self) -> LocationSettings:
        """Data centre and region of the machine."""
        return LocationSettings(
            data_centre=self.data_centre, region=self.region
        )

    @property
    def discovery(self) -> DiscoverySettings:
        """How a control member finds its group."""
        return DiscoverySettings(
            seeds=self.control_seeds, may_found=self.is_first_start
        )


def settings_path() -> pathlib.Path | None:
    """Return the path that the platform gives, None without one."""
    path = os.environ.get(SETTINGS_VARIABLE)
    return pathlib.Path(path) if path else None


def load_platform_settings(
    path: pathlib.Path,
) -> Result[PlatformSettings, str]:
    """Read the platform's settings file.

    Returns
    -------
    Result[PlatformSettings, str]
        The settings, or every problem found, one a line.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Err(f"{path}: cannot be read: {error.strerror}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Err(f"{path}: not valid TOML: {error}")
    try:
        return Ok(PlatformSettings.model_validate(values))
    except pydantic.ValidationError as error:
        problems = error.errors(include_url=False)
        return Err("\n".join(_describe(path, one) for one in problems))


def _describe(path, problem):
    key = ".".join(str(part) for part in problem["loc"]) or "file"
    return f"{path}: {key}: {problem['msg']}"
