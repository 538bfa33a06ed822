"""Faults that can be set by SQL, by settings or by a test."""

from waxwinglift_standin.request import fault

_MAXIMUM_TIME_MS = 60000
_MAXIMUM_FACTOR = 10000


def _parse_on_or_off(value):
    if value not in ("on", "off"):
        raise ValueError(f'"{value}" is neither "on" nor "off"')
    return value == "on"


def _parse_number(text, lowest, highest):
    number = float(text)
    if not lowest <= number <= highest:
        raise ValueError(f"{text} is not between {lowest} and {highest}")
    return number


@fault("lag")
def prepare_lag(state, value):
    """Set the lags: "<receive ms>/<replay ms>", or "off" for none."""
    texts = ["0", "0"] if value == "off" else value.split("/")
    if len(texts) != 2:
        raise ValueError(
            f'expected "<receive ms>/<replay ms>" or "off", got "{value}"'
        )
    receive_ms, replay_ms = (
        _parse_number(text, 0, _MAXIMUM_TIME_MS) for text in texts
    )

    def apply():
        state.faults.receive_lag_ms = receive_ms
        state.faults.replay_lag_ms = replay_ms
        state.notify_change()

    return apply


@fault("freeze")
def prepare_freeze(state, value):
    """Freeze with "on" or for a number of ms; resume with "off".

    A frozen server does not read SQL, so SQL cannot end a freeze that was
    started with "on".
    """
    if value in ("on", "off"):
        return lambda: state.set_frozen(value == "on")
    duration_ms = _parse_number(value, 1, _MAXIMUM_TIME_MS)
    return lambda: state.freeze_for(duration_ms)


@fault("silence")
def prepare_silence(state, value):
    """Silence all open sessions permanently with "on"; ignore "off"."""
    is_on = _parse_on_or_off(value)

    def apply():
        for session in state.sessions.values() if is_on else ():
            session.is_silent = True

    return apply


@fault("cut_replication")
def prepare_cut(state, value):
    """Close and refuse replication streams to and from this server."""
    is_on = _parse_on_or_off(value)

    def apply():
        state.faults.is_replication_cut = is_on
        state.notify_change()

    return apply


@fault("slow")
def prepare_slow(state, value):
    """Multiply the delays of statements and connections by a factor."""
    factor = (
        1.0 if value == "off" else _parse_number(value, 1, _MAXIMUM_FACTOR)
    )

    def apply():
        state.faults.slow_factor = factor

    return apply
