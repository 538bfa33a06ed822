"""Tests which sessions at an endpoint a new owner terminates."""

import pytest

from waxwinglift.connection._orphaned_sessions import CONTROL_NAME
from waxwinglift.connection._orphaned_sessions import terminate_sessions_sql
from waxwinglift.connection._orphaned_sessions import EndpointSession
from waxwinglift.connection._orphaned_sessions import find_orphans
from waxwinglift.connection._orphaned_sessions import MONITOR_NAME
from waxwinglift.connection._orphaned_sessions import serving_application_name
from waxwinglift.version import Epoch

IN_BLOCK = "idle in transaction"
FAILED_BLOCK = "idle in transaction (aborted)"
OWN, LATER = (
    serving_application_name(Epoch(2)),
    serving_application_name(Epoch(3)),
)


@pytest.mark.parametrize(
    ("process_id", "name", "state", "is_orphan"),
    [
        # An orphan holds its locks whatever name its caller has set.
        (9, serving_application_name(Epoch(1)), IN_BLOCK, True),
        (9, "payroll", IN_BLOCK, True),
        (9, "", "active", True),
        (9, None, None, True),
        (9, "payroll", "idle", True),
        (9, LATER, "active", True),
        (9, OWN, IN_BLOCK, True),
        (9, MONITOR_NAME, IN_BLOCK, True),
        (9, CONTROL_NAME, FAILED_BLOCK, True),
        # Transactions of the owner itself and of its callers continue.
        (1, OWN, "active", False),
        (1, "payroll", IN_BLOCK, False),
        (1, serving_application_name(Epoch(1)), IN_BLOCK, False),
        # A new connection whose key the owner has not read yet.
        (9, OWN, "idle", False),
        (9, OWN, None, False),
        # Probes of standby owners and steps of a failover.
        (9, MONITOR_NAME, "active", False),
        (9, MONITOR_NAME, "idle", False),
        (9, CONTROL_NAME, "active", False),
    ],
)
def test_orphans(process_id, name, state, is_orphan):
    session = EndpointSession(str(process_id), name, state, "then")
    found = find_orphans([session], {1}, {OWN})
    assert found == ([session] if is_orphan else [])


def test_terminate_statement_checks_id_and_start():
    # By the time the statement runs, the process id alone may identify a
    # later session.
    sessions = [EndpointSession("4", "", "idle", "t4")]
    sessions.append(EndpointSession("5", "", "idle", "t5"))
    assert terminate_sessions_sql(sessions).endswith(
        "WHERE (pid = 4 AND backend_start = 't4') "
        "OR (pid = 5 AND backend_start = 't5')"
    )
