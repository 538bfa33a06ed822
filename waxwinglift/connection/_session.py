"""State and decisions of one PostgreSQL caller's session.

A session keeps its options, recorded settings, prepared statements,
transaction status and, for each group, its floor: the lowest position that
its reads must include.  It decides what each statement needs, but uses no
sockets and encodes no messages.
"""

from collections.abc import Sequence

from result import Err
from result import Ok
from result import Result
import xxhash

from waxwinglift.connection._session_access import choose_access
from waxwinglift.connection._session_options import copy_option
from waxwinglift.connection._session_options import PREFIX
from waxwinglift.connection._session_options import SessionOptions
from waxwinglift.connection._session_options import show_option
from waxwinglift.connection._session_options import with_option
from waxwinglift.connection._session_types import LocalAnswer
from waxwinglift.connection._session_types import Plan
from waxwinglift.connection._session_types import PreparedStatement
from waxwinglift.connection._session_types import RunPlan
from waxwinglift.connection._token import decode_token
from waxwinglift.connection._token import encode_token
from waxwinglift.connection._types import SessionId
from waxwinglift.connection._types import TransactionStatus
from waxwinglift.process import Registry
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.request._classify import ClassifiedStatement
from waxwinglift.request._classify import StatementKind
from waxwinglift.request._floors import advance_floor
from waxwinglift.version import GroupName
from waxwinglift.version import PoolTable
from waxwinglift.version import Position
from waxwinglift.version import Rank

_LOST_BLOCK = "the transaction block was lost; end it with ROLLBACK"


_LOCAL_KINDS = frozenset(
    {
        StatementKind.DISCARD_ALL,
        StatementKind.DEALLOCATE,
        StatementKind.UNSUPPORTED,
    }
)
_KINDS_WITHOUT_FLOOR = frozenset(
    {StatementKind.SET, StatementKind.RESET, StatementKind.EMPTY}
)
# Methods that answer one kind of statement without an endpoint.
_local_answers = Registry()
_answers = _local_answers.register


class Session:
    """Session of one caller.

    Parameters
    ----------
    session : SessionId
    table : PoolTable
        Current table of the session's pool; replaced when it is edited.
    token_secret : bytes
        Secret of the fleet that signs tokens.
    """

    def __init__(
        self, session: SessionId, table: PoolTable, token_secret: bytes
    ):
        self.session = session
        self.table = table
        self.status = TransactionStatus.IDLE
        self.options = SessionOptions()
        self.settings: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.block_is_lost = False
        self.reported_floor: Position | None = None
        self._initial_options = SessionOptions()
        self._initial_settings: dict[str, str] = {}
        self._floors: dict[GroupName, Position] = {}
        self._block_settings: dict[str, str] | None = None
        self._token_secret = token_secret

    @property
    def rank(self) -> Rank:
        """Rank set by the caller, or the least urgent one of the table."""
        return self.options.rank or self.table.rows[-1].rank

    @property
    def deadline_ms(self) -> int:
        """Deadline set by the caller, or that of its rank's row."""
        if self.options.deadline_ms is not None:
            return self.options.deadline_ms
        for row in self.table.rows:
            if row.rank == self.rank:
                return row.deadline_ms
        return self.table.rows[-1].deadline_ms

    @property
    def floor(self) -> Position | None:
        """Floor in the pool's group, None if there is none yet."""
        return self._floors.get(self.table.group)

    @property
    def is_in_block(self) -> bool:
        """Whether a transaction block is open or waits for ROLLBACK."""
        return self.status is not TransactionStatus.IDLE

    def observe(self, group: GroupName, position: Position | None):
        """Raise the floor to a position that the session wrote or read."""
        floor = advance_floor(self._floors.get(group), position)
        if floor is not None:
            self._floors[group] = floor

    def token(self) -> str:
        """Return the signed token of the floor; empty if there is none."""
        if self.floor is None:
            return ""
        group = self.table.group
        return encode_token(self._token_secret, group, self.floor)

    def take_new_token(self) -> str | None:
        """Return the token if the floor changed since the last call."""
        if self.floor == self.reported_floor:
            return None
        self.reported_floor = self.floor
        return self.token()

    def set_option(self, name: str, text: str) -> Result[None, Failure]:
        """Set ``waxwinglift.<name>`` from its text."""
        if name == "token":
            return self._set_token(text)
        changed = with_option(self.options, name, text, self.table)
        if isinstance(changed, Err):
            return changed
        self.options = changed.ok_value
        return Ok(None)

    def record_startup(self, name: str, text: str) -> Result[None, Failure]:
        """Record a start-up parameter as an option or a setting."""
        lowered = name.lower()
        if lowered.startswith(PREFIX):
            return self.set_option(lowered[len(PREFIX) :], text)
        if not lowered.replace("_", "").replace(".", "").isalnum():
            message = f"invalid parameter name {name!r}"
            return Err(not_run(FailureCode.BAD_PARAMETER, message))
        # Endpoint connections use UTF-8 already.
        if lowered == "client_encoding" and _is_utf8(text):
            return Ok(None)
        self.settings[lowered] = _literal(lowered, text)
        return Ok(None)

    def end_startup(self):
        """Record the current values as those that RESET restores."""
        self._initial_options = self.options
        self._initial_settings = dict(self.settings)

    def prepare(self, name: str, query: str, param_types, statement):
        """Record a prepared statement and return it."""
        endpoint_name = ""
        if name:
            identity = f"{query}\0{','.join(map(str, param_types))}"
            digest = xxhash.xxh3_128_hexdigest(identity.encode())
            endpoint_name = f"wx_{digest}"
        types = tuple(param_types)
        prepared = PreparedStatement(endpoint_name, query, types, statement)
        self.prepared[name] = prepared
        return prepared

    def plan(
        self,
        executed: Sequence[ClassifiedStatement],
        described: Sequence[ClassifiedStatement] = (),
    ) -> Plan:
        """Decide what the statements of one exchange need.

        Parameters
        ----------
        executed : sequence of ClassifiedStatement
            Statements that run.
        described : sequence of ClassifiedStatement
            Statements that are only prepared or described.
        """
        all_statements = [*executed, *described]
        if any(
            is_local(statement, self.block_is_lost)
            for statement in all_statements
        ):
            return self._plan_local(executed, all_statements)
        kinds = {statement.kind for statement in all_statements}
        is_block = kinds & {StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY}
        return RunPlan(
            access=choose_access(self.options, self.settings, all_statements),
            starts_block=bool(is_block) and not self.is_in_block,
            needs_floor=not kinds <= _KINDS_WITHOUT_FLOOR,
            uses_idempotency_key=any(
                s.kind not in _KINDS_WITHOUT_FLOOR for s in executed
            ),
            statements=tuple(executed),
        )

    def take_idempotency_key(self) -> str:
        """Return the idempotency key and clear it.

        A key covers only the transaction that starts next.
        """
        key = self.options.idempotency_key
        self.options = copy_option(
            self.options, "idempotency_key", SessionOptions()
        )
        return key

    def finish(self, plan: RunPlan, status: TransactionStatus, failed: bool):
        """Record that an exchange ended with ``status``.

        ``failed`` is whether one of its statements returned an error.
        """
        was_in_block = self.is_in_block
        # COMMIT rolls back a failed block.
        failed = failed or self.status is TransactionStatus.FAILED
        self.status = status
        if was_in_block or plan.starts_block:
            self._finish_in_block(plan, failed)
        elif not failed:
            self._apply_settings(self.settings, plan.statements)

    def mark_block_lost(self):
        """Fail the open block, whose transaction cannot continue."""
        self.block_is_lost = True
        self._block_settings = None
        self.status = TransactionStatus.FAILED

    def _finish_in_block(self, plan, failed):
        if self._block_settings is None:
            self._block_settings = dict(self.settings)
        if not failed:
            self._apply_settings(self._block_settings, plan.statements)
        if self.is_in_block:
            return
        kinds = {statement.kind for statement in plan.statements}
        if StatementKind.ROLLBACK not in kinds and not failed:
            self.settings = self._block_settings
        self._block_settings = None

    def _apply_settings(self, settings, statements):
        for statement in statements:
            if statement.kind is StatementKind.SET:
                settings.update(statement.assignments)
            elif statement.kind is StatementKind.RESET:
                self._reset(settings, statement.name)

    def _reset(self, settings, name):
        settings.pop(name, None)
        if name in self._initial_settings:
            settings[name] = self._initial_settings[name]

    def _plan_local(self, executed, all_statements):
        statement = all_statements[0]
        if any(other != statement for other in all_statements):
            message = (
                "this statement cannot be combined with other statements "
                "before Sync"
            )
            return not_run(FailureCode.NOT_SUPPORTED, message)
        if self.block_is_lost:
            return self._answer_lost_block(statement)
        if not executed:
            is_show = statement.kind is StatementKind.SHOW
            return LocalAnswer("", statement.name if is_show else "")
        return _local_answers[statement.kind](self, statement)

    def _answer_lost_block(self, statement):
        if statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self.block_is_lost = False
            self.status = TransactionStatus.IDLE
            return LocalAnswer("ROLLBACK")
        return not_run(FailureCode.FAILED_BLOCK, _LOST_BLOCK)

    @_answers(StatementKind.SET)
    def _answer_set(self, statement):
        name = statement.name.removeprefix(PREFIX)
        outcome = self.set_option(name, _unquote(statement.value))
        if isinstance(outcome, Err):
            return outcome.err_value
        return LocalAnswer("SET")

    @_answers(StatementKind.SHOW)
    def _answer_show(self, statement):
        name = statement.name.removeprefix(PREFIX)
        is_token = name == "token"
        text = self.token() if is_token else show_option(self.options, name)
        if text is None:
            message = f"unknown option {statement.name}"
            return not_run(FailureCode.BAD_PARAMETER, message)
        return LocalAnswer("SHOW", statement.name, text)

    @_answers(StatementKind.RESET)
    def _answer_reset(self, statement):
        if statement.name == "all":
            return self._reset_all()
        name = statement.name.removeprefix(PREFIX)
        if show_option(self.options, name) is None:
            message = f"unknown option {statement.name}"
            return not_run(FailureCode.BAD_PARAMETER, message)
        initial = self._initial_options
        self.options = copy_option(self.options, name, initial)
        return LocalAnswer("RESET")

    def _reset_all(self):
        if self.is_in_block:
            message = "RESET ALL is supported only outside a transaction block"
            return not_run(FailureCode.NOT_SUPPORTED, message)
        self._restore_initial()
        return LocalAnswer("RESET")

    def _restore_initial(self):
        self.settings = dict(self._initial_settings)
        self.options = self._initial_options

    @_answers(StatementKind.DISCARD_ALL)
    def _answer_discard(self, statement):
        if statement.name != "all" or self.is_in_block:
            message = (
                "only DISCARD ALL, outside a transaction block, is supported"
            )
            return not_run(FailureCode.NOT_SUPPORTED, message)
        self.prepared.clear()
        self._restore_initial()
        return LocalAnswer("DISCARD ALL")

    @_answers(StatementKind.DEALLOCATE)
    def _answer_deallocate(self, statement):
        if statement.name.lower() == "all":
            self.prepared.clear()
            return LocalAnswer("DEALLOCATE ALL")
        if self.prepared.pop(statement.name, None) is None:
            message = f"prepared statement {statement.name!r} does not exist"
            return not_run(FailureCode.UNKNOWN_STATEMENT, message)
        return LocalAnswer("DEALLOCATE")

    @_answers(StatementKind.UNSUPPORTED)
    def _answer_unsupported(self, statement):
        message = f"{statement.name} is not supported by the proxy"
        return not_run(FailureCode.NOT_SUPPORTED, message)

    def _set_token(self, text):
        if not text:
            return Ok(None)
        decoded = decode_token(self._token_secret, text)
        if isinstance(decoded, Err):
            return decoded
        group, floor = decoded.ok_value
        self.observe(group, floor)
        return Ok(None)


def is_local(
    statement: ClassifiedStatement, block_is_lost: bool = False
) -> bool:
    """Return whether a statement is answered without an endpoint."""
    if block_is_lost or statement.kind in _LOCAL_KINDS:
        return True
    if statement.kind is StatementKind.RESET and statement.name == "all":
        return True
    has_name = statement.kind in (
        StatementKind.SET,
        StatementKind.SHOW,
        StatementKind.RESET,
    )
    return has_name and statement.name.startswith(PREFIX)


def _is_utf8(text):
    return text.lower().replace("-", "") in ("utf8", "unicode")


def _literal(name, text):
    # A start-up message holds a list as one text; SET needs its elements.
    parts = text.split(",") if name == "search_path" else [text]
    bare = [part.strip().strip('"') for part in parts]
    return ", ".join("'" + part.replace("'", "''") + "'" for part in bare)


def _unquote(value):
    if len(value) >= 2 and value[0] == value[-1] == "'":
        return value[1:-1].replace("''", "'")
    return value
