"""Line-based differences between two versions of a document."""

from collections.abc import Sequence
import dataclasses
import difflib


@dataclasses.dataclass(frozen=True, slots=True)
class LineEdit:
    """Replaces the lines ``start`` to ``end`` (exclusive) of the old text."""

    start: int
    end: int
    lines: tuple[str, ...]


def diff_lines(old: Sequence[str], new: Sequence[str]) -> tuple[LineEdit, ...]:
    """Return the edits that turn ``old`` into ``new``, in order."""
    matcher = difflib.SequenceMatcher(None, old, new, autojunk=False)
    return tuple(
        LineEdit(old_start, old_end, tuple(new[new_start:new_end]))
        for tag, old_start, old_end, new_start, new_end in (
            matcher.get_opcodes()
        )
        if tag != "equal"
    )


def apply_edits(
    old: Sequence[str], edits: Sequence[LineEdit]
) -> tuple[str, ...]:
    """Return ``old`` with the edits of `diff_lines` applied.

    Raises
    ------
    ValueError
        The edits do not fit this text: they are out of order or exceed it.
    """
    lines = []
    position = 0
    for edit in edits:
        if not position <= edit.start <= edit.end <= len(old):
            raise ValueError(
                f"edit {edit.start}-{edit.end} is out of order or exceeds the"
                f" text: {position} <= start <= end <= {len(old)} expected"
            )
        lines += old[position : edit.start]
        lines += edit.lines
        position = edit.end
    lines += old[position:]
    return tuple(lines)
