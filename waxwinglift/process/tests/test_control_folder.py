"""Tests the start of a control daemon with an unusable data folder."""

from opentelemetry import trace
import pytest

from waxwinglift.process._control import ControlService
from waxwinglift.process._control_settings import EmptyFolderError
from waxwinglift.process._data_path_types import NoMetrics
from waxwinglift.process.tests.test_control import free_addresses
from waxwinglift.process.tests.test_control import make_settings
from waxwinglift.process.tests.test_control import run
from waxwinglift.version._consensus_messages import LogEntry
from waxwinglift.version._consensus_messages import Snapshot
from waxwinglift.version._consensus_types import Persist
from waxwinglift.version._log_store import open_log_store
from waxwinglift.version._store_records import StoreFormatError


def test_empty_folder_of_a_member_is_refused(tmp_path):
    # A member that lost its disk could otherwise vote twice in one term.
    async def work():
        settings = make_settings(tmp_path, free_addresses(3), 0)
        service = ControlService(settings, NoMetrics(), trace.NoOpTracer())
        with pytest.raises(EmptyFolderError, match="--found"):
            await service.start()

    run(work)


@pytest.mark.parametrize(
    "stored",
    [
        Persist(1, entries=(LogEntry(1, 1, b'{"kind": "group_formed"}'),)),
        Persist(1, snapshot=Snapshot(1, 1, (), b'{"groups": {"g": {}}}')),
    ],
    ids=["entry", "snapshot"],
)
def test_folder_of_another_version_is_refused(stored, tmp_path):
    # An unreadable entry would otherwise stop the member while it is running,
    # with a traceback that does not tell the operator what to do.
    async def work():
        settings = make_settings(tmp_path, free_addresses(1), 0)
        with open_log_store(settings.data_folder) as store:
            store.write(stored)
        service = ControlService(settings, NoMetrics(), trace.NoOpTracer())
        with pytest.raises(StoreFormatError, match="another version"):
            await service.start()

    run(work)
