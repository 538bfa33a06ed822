"""Phases of the shutdown of a proxy's entry side."""

import enum


class DrainPhase(enum.Enum):
    """Which sessions the entry side ends while the proxy shuts down.

    SERVING: none.
    ENDING_IDLE: sessions without an open transaction, once they are idle.
    ENDING_BLOCKS: open transactions as well; statements that run are still
    answered.
    """

    SERVING = "serving"
    ENDING_IDLE = "ending_idle"
    ENDING_BLOCKS = "ending_blocks"
