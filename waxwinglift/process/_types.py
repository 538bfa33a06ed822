"""Identifiers, addresses and locations of daemons and servers."""

import dataclasses
from typing import NewType

DaemonId = NewType("DaemonId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and TCP port of a listening socket."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Data centre and region of a VM."""

    data_centre: DataCentre
    region: Region
