"""One PostgreSQL caller's session at the proxy that it is connected to."""

import asyncio
import logging
import secrets

from result import Err

from waxwinglift.connection import SessionId
from waxwinglift.connection._cancel_key import SECRET_BYTES
from waxwinglift.process._drain_phase import DrainPhase
from waxwinglift.connection._frontend import CallerConnection
from waxwinglift.connection._frontend import encode_failure
from waxwinglift.connection._frontend import encode_parameter
from waxwinglift.connection._frontend import encode_ready
from waxwinglift.connection._frontend import read_parameters
from waxwinglift.connection._frontend import StartupRequest
from waxwinglift.connection._frontend_local import encode_local_answer
from waxwinglift.connection._frontend_messages import CallerTerminated
from waxwinglift.connection._frontend_messages import CallerRequest
from waxwinglift.connection._frontend_messages import RequestBuilder
from waxwinglift.connection._session import Session
from waxwinglift.connection._session_types import LocalAnswer
from waxwinglift.connection._wire import WireError
from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import may_have_run
from waxwinglift.request import not_run
from waxwinglift.request._data_path_run import RequestRunner
from waxwinglift.request._data_path_run import RunningExchange
from waxwinglift.version import PoolName

logger = logging.getLogger(__name__)

_TOKEN_PARAMETER = "waxwinglift.token"
_SHUTTING_DOWN = not_run(
    FailureCode.SHUTTING_DOWN, "the proxy is shutting down"
)
_INTERRUPTED = may_have_run("the proxy was shut down before the answer")
_INTERNAL_ERROR = may_have_run(
    "the proxy met an internal error before the answer"
)


class EntrySession:
    """Serves one caller from start-up to the end of its connection.

    Parameters
    ----------
    context : EntryContext
    caller : CallerConnection
    session : SessionId
    peer_host : str
        Address of the caller.
    is_draining : callable
        Returns whether the proxy is draining and refuses new work.
    """

    def __init__(
        self,
        context: EntryContext,
        caller: CallerConnection,
        session: SessionId,
        peer_host: str,
        is_draining,
    ):
        self.secret_key = secrets.token_bytes(SECRET_BYTES)
        self._context = context
        self._caller = caller
        self._id = session
        self._peer_host = peer_host
        self._is_draining = is_draining
        self._session: Session | None = None
        self._builder: RequestBuilder | None = None
        self._runner: RequestRunner | None = None
        self._is_answering = False

    @property
    def is_idle(self) -> bool:
        """Whether closing the session now loses no work."""
        if self._session is None:
            return True
        return not (
            self._is_answering
            or self._session.is_in_block
            or not self._builder.is_empty
        )

    async def serve(self, startup):
        """Serve the caller whose start-up message has arrived.

        Raises
        ------
        WireError
            The caller violated the protocol.  This method has not sent the
            error to the caller.
        """
        request = read_parameters(startup)
        failure = await self._start(request)
        if failure is not None:
            self.close_with(failure)
            return
        try:
            await self._serve_requests()
        except CallerTerminated:
            pass
        finally:
            await self._runner.close()

    def running_exchange(self) -> RunningExchange | None:
        """Return the exchange that is running, if any."""
        return None if self._runner is None else self._runner.running()

    def close_with(self, failure: Failure):
        """Report a failure that ends the session, and close it."""
        self._caller.flush(encode_failure(failure, "FATAL"))
        self._caller.close()

    def end_if_possible(self, phase: DrainPhase):
        """End the session if the phase of the shutdown allows it now.

        An open transaction is rolled back.
        """
        is_block_ended = (
            phase is DrainPhase.ENDING_BLOCKS and not self._is_answering
        )
        if self._caller.is_closed or not (self.is_idle or is_block_ended):
            return
        self.close_with(_SHUTTING_DOWN)

    async def _start(self, request: StartupRequest):
        context = self._context
        if self._is_draining():
            return _SHUTTING_DOWN
        table = context.view.table(PoolName(request.pool))
        if table is None or not table.rows:
            message = f"pool {request.pool!r} does not exist"
            return not_run(FailureCode.UNKNOWN_POOL, message)
        password = context.settings.passwords.get(request.pool)
        if password is not None:
            is_right = await with_timeout(
                self._caller.check_password(password),
                context.settings.startup_timeout_ms,
            )
            if not is_right:
                message = f"wrong password for pool {request.pool!r}"
                return not_run(FailureCode.BAD_PASSWORD, message)
        secret = context.settings.token_secret.encode()
        session = Session(self._id, table, secret)
        for name, value in request.parameters:
            outcome = session.record_startup(name, value)
            if isinstance(outcome, Err):
                return outcome.err_value
        session.end_startup()
        self._accept(session, request)
        return None

    def _accept(self, session, request):
        settings = self._context.settings
        self._session = session
        limit_bytes = settings.message_limit_bytes
        self._builder = RequestBuilder(session, limit_bytes)
        self._caller.collected_bytes = lambda: self._builder.size_bytes
        caller = f"{request.user}@{self._peer_host}"
        self._runner = RequestRunner(self._context, session, caller)
        parameters = dict(settings.reported_parameters)
        given = dict(request.parameters)
        parameters["application_name"] = given.get("application_name", "")
        for name in parameters:
            parameters[name] = given.get(name, parameters[name])
        self._caller.accept(self._id, self.secret_key, parameters)

    async def _serve_requests(self):
        while not self._caller.is_closed:
            frames = await self._caller.read_frames()
            if frames is None or self._caller.is_closed:
                # Frames that arrive together with the end of the session were
                # reported as not run.
                return
            for kind, frame in frames:
                request = self._builder.add_message(kind, frame)
                if request is None:
                    continue
                await self._answer(request)
                await self._caller.wait_for_reader()
                if self._caller.is_closed:
                    return
                if self._is_draining() and self.is_idle:
                    self.close_with(_SHUTTING_DOWN)
                    return

    async def _answer(self, request: CallerRequest):
        self._is_answering = True
        try:
            failure = await self._answer_or_fail(request)
        except asyncio.CancelledError:
            self.close_with(_INTERRUPTED)
            raise
        except (OSError, WireError):
            raise
        except Exception:
            logger.exception("the session of %s failed", self._peer_host)
            self._context.metrics.incr("entry.interrupted.internal_error")
            self.close_with(_INTERNAL_ERROR)
            return
        finally:
            self._is_answering = False
        parts = []
        if failure is not None:
            parts.append(encode_failure(failure))
            if not request.is_ready_expected:
                self._builder.skip_to_sync()
        if request.is_ready_expected:
            token = self._session.take_new_token()
            if token is not None:
                parts.append(encode_parameter(_TOKEN_PARAMETER, token))
            parts.append(encode_ready(self._session.status))
        self._caller.flush(b"".join(parts))

    async def _answer_or_fail(self, request):
        plan = request.plan
        if isinstance(plan, Failure):
            return await self._fail(plan)
        if isinstance(plan, LocalAnswer):
            answer = encode_local_answer(plan, request.kinds)
            await self._caller.write(answer)
            return None
        if not request.kinds:
            return None
        failure = self._update_table()
        if failure is not None:
            return failure
        end = await self._runner.run(plan, request, self._caller.write)
        if end.has_error and not request.is_ready_expected:
            self._builder.skip_to_sync()
        return end.failure

    def _update_table(self):
        """Use the pool's current table, except in an open block.

        Return the failure if new work must be refused, else None.
        """
        if self._session.is_in_block:
            return None
        if self._is_draining():
            return _SHUTTING_DOWN
        table = self._context.view.table(self._session.table.pool)
        if table is None or not table.rows:
            pool = self._session.table.pool
            message = f"pool {pool!r} does not exist"
            return not_run(FailureCode.UNKNOWN_POOL, message)
        self._session.table = table
        return None

    async def _fail(self, failure):
        """Mark an open block as lost and return the failure.

        After an error, a server fails the block, and COMMIT rolls it back.
        To do the same, the proxy ends the transaction at the endpoint now.
        """
        if self._session.is_in_block:
            self._session.mark_block_lost()
            await self._runner.close()
        return failure


def protocol_failure(error: WireError) -> Failure:
    """Return the failure that reports a protocol violation."""
    return not_run(FailureCode.BAD_MESSAGE, str(error))


async def with_timeout(work, timeout_ms: float):
    """Return the result of ``work``, None when it timed out."""
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            return await work
    except TimeoutError:
        return None
