"""Processor time of a proxy for changes of the fleet and polls."""

from waxwinglift.process._data_path_settings import OwnerSettings
from waxwinglift.process._fleet_view import FleetView
from waxwinglift.process._postgresql_owner import PostgresOwner
from waxwinglift_bench.process import _slopes_fleet
from waxwinglift_bench.process._slopes_requests import step_measurement

DAEMONS_COUNT = 50
# Endpoints of which a proxy is owner or standby owner at the target size.
ENDPOINTS_COUNT = 12


def _owners(groups_count):
    fleet = _slopes_fleet.build_fleet(DAEMONS_COUNT, groups_count)
    view = FleetView(
        _slopes_fleet.daemon_name(0),
        _slopes_fleet.location(0),
        lambda: False,
        fleet,
    )
    endpoints = list(fleet.endpoints)[:: _slopes_fleet.GROUP_SIZE_COUNT]
    settings = OwnerSettings()
    return [
        PostgresOwner(endpoint, settings, view)
        for endpoint in endpoints[:ENDPOINTS_COUNT]
    ]


@step_measurement("proxy: change of the fleet", "database", 100, 300, 870)
def prepare_fleet_change(groups_count):
    """Notify the owners of 12 endpoints of a change of the fleet."""
    owners = _owners(groups_count)

    def step(number):
        for owner in owners:
            owner.on_fleet_change()

    return step


@step_measurement("proxy: poll of a primary", "database", 100, 300, 870)
def prepare_poll(groups_count):
    """Determine the servers whose positions count towards a quorum."""
    owner = _owners(groups_count)[0]
    return lambda number: owner.positions.quorum_endpoints()
