"""Registries of the control core: events and follow-ups of entries."""

EVENT_HANDLERS = {}


def on_event(*event_types):
    """Register the handler of ``event_types``.

    It takes ``(core, event, now_ms)`` and returns a list of actions.
    """

    def register(handler):
        for event_type in event_types:
            EVENT_HANDLERS[event_type] = handler
        return handler

    return register


COMMIT_FOLLOW_UPS = {}


def on_commit(*kinds):
    """Register what follows the application of an entry of ``kinds``.

    It takes ``(core, event, now_ms)`` and returns nothing.
    """

    def register(follow_up):
        for kind in kinds:
            COMMIT_FOLLOW_UPS[kind] = follow_up
        return follow_up

    return register
