"""Tests of document differences."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from waxwinglift.version._document_delta import apply_edits
from waxwinglift.version._document_delta import diff_lines
from waxwinglift.version._document_delta import LineEdit

LINES = st.lists(st.sampled_from(["a", "b", "c", "d"]), max_size=12)


@settings(derandomize=True, max_examples=200)
@given(old=LINES, new=LINES)
def test_edits_turn_the_old_text_into_the_new_one(old, new):
    # A member that applies the edits must hold the operator's document.
    assert apply_edits(old, diff_lines(old, new)) == tuple(new)


def test_a_change_in_a_large_document_stays_small():
    # Otherwise hundreds of pools would be sent to each daemon per version.
    old = [f"pool-{number}" for number in range(400)]
    new = [*old[:200], "changed", *old[201:], "added"]
    edits = diff_lines(old, new)
    assert sum(len(edit.lines) for edit in edits) == 2


@pytest.mark.parametrize(
    "edits",
    [
        (LineEdit(2, 1, ()),),
        (LineEdit(0, 9, ()),),
        (LineEdit(1, 2, ("x",)), LineEdit(0, 1, ())),
    ],
    ids=["backwards", "past the end", "out of order"],
)
def test_edits_of_another_text_are_refused(edits):
    # Applied to the wrong base, they would produce a state that nobody
    # requested.
    with pytest.raises(ValueError, match="out of order"):
        apply_edits(["a", "b", "c"], edits)
