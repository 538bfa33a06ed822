"""Registries of event handlers and commit follow-ups of the control core."""

from waxwinglift.process import Registry

# A handler takes ``(core, event, now_ms)`` and returns a list of actions.
EVENT_HANDLERS = Registry()
on_event = EVENT_HANDLERS.register


# A follow-up is called with ``(core, event, now_ms)`` after an entry of its
# kind has been applied, and returns nothing.
COMMIT_FOLLOW_UPS = Registry()
on_commit = COMMIT_FOLLOW_UPS.register
