"""Identification of a session's caller by the key of a workspace."""

from result import Err
from result import Ok
from result import Result

from waxwinglift.process._entry_context import EntryContext
from waxwinglift.request import Failure
from waxwinglift.request import FailureCode
from waxwinglift.request import not_run
from waxwinglift.version import PoolTable
from waxwinglift.version._fleet import FleetState
from waxwinglift.version._types import KeyDigest
from waxwinglift.version._types import WorkspaceName
from waxwinglift.version._workspaces import fingerprint

# Time after which a proxy may have reached control again.
_STALE_RETRY_MS = 500


def find_workspace(
    fleet: FleetState,
    key: KeyDigest,
    view_age_ms: float,
    view_age_limit_ms: float,
) -> Result[WorkspaceName, Failure]:
    """Return the workspace that holds a key.

    Parameters
    ----------
    fleet : FleetState
    key : KeyDigest
    view_age_ms : float
        Age of ``fleet``.
    view_age_limit_ms : float
        Largest age up to which a key counts as not withdrawn; 0 for no limit.

    Returns
    -------
    Result[WorkspaceName, Failure]
        A key that ``fleet`` does not have is only called unknown if that
        state is recent; it may have been added since.
    """
    is_recent = not view_age_limit_ms or view_age_ms <= view_age_limit_ms
    if not is_recent:
        message = "the proxy cannot confirm that the key is still valid"
        return Err(not_run(FailureCode.UNAVAILABLE, message, _STALE_RETRY_MS))
    workspace = fleet.workspace_of(key)
    if workspace is None:
        message = f"the key {fingerprint(key)} belongs to no workspace"
        return Err(not_run(FailureCode.UNAUTHENTICATED, message))
    return Ok(workspace)


class CallerIdentity:
    """Who the caller of a session is.

    Parameters
    ----------
    context : EntryContext
    key : KeyDigest
        Digest of the key in the session's first message.
    peer : str
        Address of the caller.
    """

    def __init__(self, context: EntryContext, key: KeyDigest, peer: str):
        # None while the session's pool is public.
        self.workspace: WorkspaceName | None = None
        # Whom the owners' queues take turns for: the workspace, or else the
        # caller's fingerprint and address.
        self.name = ""
        self._context = context
        self._key = key
        self._anonymous_name = f"{fingerprint(key)}@{peer}"

    def update(self, table: PoolTable) -> Failure | None:
        """Identify the caller at a pool; return the failure if it has none.

        Called for each statement, since keys are withdrawn at any time.
        """
        if table.policy.is_public:
            self.workspace = None
            self.name = self._anonymous_name
            return None
        context = self._context
        found = find_workspace(
            context.view.fleet,
            self._key,
            context.view.age_ms(),
            context.settings.view_age_limit_ms,
        )
        if isinstance(found, Err):
            self._log_refusal(table, found.err_value)
            return found.err_value
        self.workspace = found.ok_value
        self.name = self.workspace
        return None

    def update_in_block(self, table: PoolTable) -> Failure | None:
        """Identify the caller again while a transaction block is open."""
        workspace = self.workspace
        failure = self.update(table)
        if failure is None and self.workspace != workspace:
            message = "the key belongs to another workspace now"
            failure = not_run(FailureCode.ABORTED, message)
        return failure

    def _log_refusal(self, table, failure):
        context = self._context
        context.metrics.incr(f"entry.refused.{failure.code.name.lower()}")
        context.request_log.write(
            "caller refused",
            pool=table.pool,
            key=fingerprint(self._key),
            reason=failure.message,
            view_age_ms=round(context.view.age_ms(), 1),
            log_index=context.view.applied_index,
        )
