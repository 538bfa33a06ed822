"""Sessions at an endpoint that a proxy has lost: orphans and silent ones.

A new owner finds the connections of an old one by their names.

A caller that sets ``application_name`` hides its connection: that one is left
to the endpoint's own time-outs.
"""

import asyncio

from waxwinglift.connection._backend import EndpointConnectionLost

MONITOR_NAME = "waxwinglift monitor"
_SERVING_PREFIX = "waxwinglift owner "


def serving_name(epoch):
    """Return the application name of an owner's serving connections."""
    return f"{_SERVING_PREFIX}{epoch}"


def end_orphans_sql(epoch):
    """Return the statement that ends serving connections of other epochs.

    Monitoring connections have another name and stay.
    """
    return (
        "SELECT pg_terminate_backend(pid) FROM pg_stat_activity "
        f"WHERE application_name LIKE '{_SERVING_PREFIX}%' "
        f"AND application_name <> '{serving_name(epoch)}'"
    )


def session_state_sql(process_id):
    """Return the query for the state of a session at the endpoint."""
    return f"SELECT state FROM pg_stat_activity WHERE pid = {process_id}"


def is_idle(step):
    """Return whether the answer says that the session runs nothing."""
    if step.error is not None:
        return False
    if not step.rows:
        return True
    state = step.rows[0][0]
    return state is not None and state.startswith("idle")


class OrphanEnder:
    """Ends the connections of a former owner whose lease has run out.

    A proxy that froze in the middle of a transaction keeps its locks for as
    long as its connections stay open.

    Parameters
    ----------
    monitor : EndpointMonitor
        Its connection carries the statement.
    """

    def __init__(self, monitor):
        self._monitor = monitor
        self._done_epoch = None
        self._task = None

    def end_if_due(self, assignment):
        """Run the statement once for each epoch without a live former owner.

        Parameters
        ----------
        assignment : OwnerAssignment
            Names this proxy as the owner.
        """
        is_done = self._done_epoch == assignment.epoch
        if is_done or assignment.previous is not None:
            return
        self._done_epoch = assignment.epoch
        text = end_orphans_sql(assignment.epoch)
        self._task = asyncio.ensure_future(self._run(text))

    async def _run(self, text):
        try:
            await self._monitor.query(text)
        except EndpointConnectionLost:
            # Due again at the next tick of the owner.
            self._done_epoch = None
