"""Primary's side of a replication stream."""

import asyncio

import pygwire
from pygwire import messages as pg
from waxwinglift_standin.connection import _stream as stream
from waxwinglift_standin.version import ReplicaProgress

# Records sent before waiting for the socket.  The limit prevents a replica
# that is catching up from blocking the event loop.
_BATCH_COUNT = 200


class ReplicationSender:
    """Streams the log to one replica and records the positions it reports.

    Parameters
    ----------
    state : ServerState
        State of this server.
    process_id : int
        Key of the replica's row in pg_stat_replication.
    name : str
        Application name of the replica.
    reader, writer : asyncio streams
        The connection.
    decoder : pygwire.FrontendMessageDecoder
        Decoder that has read the start-up message.
    """

    def __init__(self, state, process_id, name, reader, writer, decoder):
        self._state = state
        self._process_id = process_id
        self._name = name
        self._reader = reader
        self._writer = writer
        self._decoder = decoder
        self._first_report = asyncio.Event()

    async def serve(self):
        """Stream until the connection ends or replication is cut."""
        if self._state.faults.is_replication_cut:
            return
        try:
            await stream.run_until_first(
                self._read_reports(),
                self._send_records(),
                self._wait_until_cut(),
            )
        finally:
            self._state.replicas.pop(self._process_id, None)
            self._state.notify_change()

    def _send(self, message):
        self._writer.write(message.to_wire())

    def _send_stream_start(self):
        self._send(pg.AuthenticationOk())
        self._send(pg.CopyOutResponse())
        log = self._state.log
        history = stream.encode_history(log.history, log.end_lsn)
        self._send(pg.CopyData(history))

    async def _read_reports(self):
        self._send_stream_start()
        self._decoder.phase = pygwire.ConnectionPhase.COPY_OUT
        reports = stream.read_copy_data(self._reader, self._decoder)
        async for data in reports:
            await self._state.unfrozen.wait()
            self._record_status(*stream.decode_status(data))

    def _record_status(self, flush_lsn, replay_lsn):
        replicas = self._state.replicas
        if self._process_id in replicas:
            progress = replicas[self._process_id]
            progress.flush_lsn = flush_lsn
            progress.replay_lsn = replay_lsn
        else:
            replicas[self._process_id] = ReplicaProgress(
                self._name, flush_lsn, flush_lsn, replay_lsn
            )
            self._first_report.set()
        self._state.notify_change()

    async def _send_records(self):
        await self._first_report.wait()
        log = self._state.log
        progress = self._state.replicas[self._process_id]
        index = log.index_at(progress.flush_lsn)
        while True:
            changed = self._state.changed
            await self._state.unfrozen.wait()
            batch = log.records[index : index + _BATCH_COUNT]
            for record in batch:
                self._send(pg.CopyData(stream.encode_record(record)))
                progress.sent_lsn = record.end_lsn
            index += len(batch)
            await self._writer.drain()
            if not batch:
                await self._wait_or_send_keepalive(changed)

    async def _wait_or_send_keepalive(self, changed):
        try:
            async with asyncio.timeout(stream.KEEPALIVE_INTERVAL_S):
                await changed.wait()
        except TimeoutError:
            self._send(pg.CopyData(stream.KEEPALIVE))

    async def _wait_until_cut(self):
        while not self._state.faults.is_replication_cut:
            await self._state.changed.wait()
