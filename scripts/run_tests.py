"""Runs pytest; failures of the tests listed in KNOWN-RED.txt do not count.

Each line of KNOWN-RED.txt is an entry ``<pytest node id> | <command and seed>
| <what was seen> | <issue>``; lines that start with ``#`` are comments.  The
listed tests run after the others and their results are printed.
"""

import pathlib
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


def read_known_failures(path):
    """Return the node ids listed in the file at ``path``."""
    if not path.exists():
        return []
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line.strip() for line in lines if line.strip()]
    return [e.split("|")[0].strip() for e in entries if e[0] != "#"]


def main(arguments):
    """Run the suite, then the listed tests; return the suite's exit code."""
    known_failures = read_known_failures(KNOWN_RED_FILE)
    deselect = [f"--deselect={node_id}" for node_id in known_failures]
    code = pytest.main([*deselect, *arguments])
    for node_id in known_failures:
        listed_test_code = pytest.main(["-q", "--no-header", node_id])
        state = (
            "passes now, remove it from KNOWN-RED.txt"
            if listed_test_code == 0
            else "still fails"
        )
        print(f"known failure: {node_id}: {state}")
    return int(code)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
