"""Settings of the stand-in server and their validation."""

import pathlib
import tomllib
from typing import Annotated, Literal

import pydantic
from waxwinglift_standin.connection import SqlError
from waxwinglift_standin.process import _faults
from waxwinglift_standin.request import prepare_fault

# Importing this module registers the faults.
_REGISTERING_MODULES = (_faults,)

_Name = Annotated[str, pydantic.Field(min_length=1, max_length=63)]
_Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
_LagMs = Annotated[float, pydantic.Field(ge=0, le=60000)]


class SettingsError(Exception):
    """The settings file is invalid; the message contains file and key."""


class AddressSettings(pydantic.BaseModel):
    """Numeric IP address and TCP port."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    host: pydantic.IPvAnyAddress
    port: _Port


class StandinSettings(pydantic.BaseModel):
    """Settings of one server.

    Parameters
    ----------
    address : AddressSettings
        Where the server listens; port 0 chooses a free one.
    control_addresses : tuple of AddressSettings
        Control daemons to announce the server to; none if empty.
    primary_address : AddressSettings or None
        Primary that a replica initially follows.
    slots_count : int
        Statements that run concurrently; others wait in order of arrival.
    leaving_ms : float
        Time between the first announcement as leaving and the stop.
    data_file : path or None
        File that stores the log, None to keep it only in memory.
    faults : dict
        Initial faults: names and values as for standin_fault().  The lags
        have separate settings.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: _Name
    group: _Name
    address: AddressSettings
    data_centre: _Name
    region: _Name
    control_addresses: tuple[AddressSettings, ...] = ()
    group_size_count: Annotated[int, pydantic.Field(ge=1, le=9)] = 3
    initial_role: Literal["primary", "replica"] = "primary"
    primary_address: AddressSettings | None = None
    slots_count: Annotated[int, pydantic.Field(ge=1, le=1000)] = 3
    connection_limit_count: Annotated[int, pydantic.Field(ge=1, le=10000)] = 25
    connect_delay_ms: Annotated[float, pydantic.Field(ge=0, le=60000)] = 12.0
    statement_delay_ms: Annotated[float, pydantic.Field(ge=0, le=60000)] = 1.0
    receive_lag_ms: _LagMs = 0.0
    replay_lag_ms: _LagMs = 0.0
    receiver_retry_ms: Annotated[float, pydantic.Field(ge=10, le=60000)] = 100
    announce_interval_ms: Annotated[float, pydantic.Field(ge=50, le=60000)] = (
        500.0
    )
    leaving_ms: Annotated[float, pydantic.Field(ge=0, le=600000)] = 5000.0
    data_file: pathlib.Path | None = None
    faults: dict[str, str] = {}

    @pydantic.field_validator("faults")
    @classmethod
    def _check_faults(cls, faults):
        for name, value in faults.items():
            try:
                prepare_fault(None, name, value)
            except SqlError as error:
                raise ValueError(error.message) from error
        return faults

    @property
    def primary_conninfo(self):
        """Connection string of the primary that a replica first follows."""
        if self.primary_address is None:
            return ""
        address = self.primary_address
        return f"host={address.host} port={address.port}"


def _field_schema(path):
    """Return the JSON schema of the key at `path`, empty if unknown."""
    schema = StandinSettings.model_json_schema()
    definitions = schema.get("$defs", {})
    for part in path:
        choices = [schema, *schema.get("anyOf", ())]
        names = [choice.get("$ref", "").split("/")[-1] for choice in choices]
        schema = next((definitions[n] for n in names if n), schema)
        if isinstance(part, int):
            schema = schema.get("items", {})
        else:
            schema = schema.get("properties", {}).get(part, {})
    return schema


def _allowed_range(path):
    schema = _field_schema(path)
    if "minimum" in schema and "maximum" in schema:
        return f"; allowed: {schema['minimum']} to {schema['maximum']}"
    if "minLength" in schema:
        lengths = f"{schema['minLength']} to {schema['maxLength']}"
        return f"; allowed: {lengths} characters"
    if "enum" in schema:
        return f"; allowed: {', '.join(schema['enum'])}"
    return ""


def describe_errors(path, error):
    """Return a line for each validation error in the file."""
    lines = []
    for problem in error.errors():
        key = ".".join(str(part) for part in problem["loc"])
        text = problem["msg"] + _allowed_range(problem["loc"])
        if problem["type"] == "extra_forbidden":
            text = "unknown key"
        lines.append(f"{path}: {key}: {text}")
    return "\n".join(lines)


def load_settings(path):
    """Return the settings in the TOML file at `path`.

    Raises
    ------
    SettingsError
        If the file cannot be read or a key is unknown, missing or out of
        range.
    """
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        return StandinSettings(**content)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    except pydantic.ValidationError as error:
        raise SettingsError(describe_errors(path, error)) from error
