"""Check of a desired state, for the check-config command."""

import importlib
import json
import pathlib

import click
from result import Result

from waxwinglift.process.cli import _client
from waxwinglift.version._apply_desired import desired_version
from waxwinglift.version._desired import DesiredStateRequest
from waxwinglift.version._desired_checks import find_changes
from waxwinglift.version._desired_checks import find_problems
from waxwinglift.version._desired_checks import Problem
from waxwinglift.version._desired_checks import ProblemKind
from waxwinglift.version._desired_formats import DESIRED_FORMATS
from waxwinglift.version._desired_formats import PRODUCT_FORMAT
from waxwinglift.version._entry_codec import decode_fleet

# Modules that register further forms; imported by this command only.
_FORMAT_MODULES = ("waxwinglift.platform._desired_state",)
# Key that only the product's form has.
_PRODUCT_KEY = "pools"


def check_desired(path, addresses, is_json):
    """Print what is wrong with a file and what it would change.

    Exits with code 1 if there are problems and with 2 if the file cannot be
    read.
    """
    body = _read(path)
    fleet = None
    if addresses:
        fleet = decode_fleet(_client.fetch_status(addresses).fleet)
    decoded = _decode(body)
    if decoded.is_err():
        problems = (Problem(ProblemKind.INVALID, "file", decoded.err_value),)
        changes = ()
    else:
        problems = find_problems(decoded.ok_value, fleet)
        changes = find_changes(decoded.ok_value, fleet) if fleet else ()
    report = {
        "file": str(path),
        "version": decoded.ok_value.version if decoded.is_ok() else None,
        "version_in_force": desired_version(fleet) if fleet else None,
        "problems": [
            {"kind": one.kind.value, "entry": one.entry, "text": one.text}
            for one in problems
        ],
        "changes": [
            {"kind": one.kind.value, "entry": one.entry} for one in changes
        ],
    }
    click.echo(json.dumps(report) if is_json else _describe(report))
    if problems:
        raise click.exceptions.Exit(1)


def _read(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        click.echo(f"{path}: cannot be read: {error.strerror}", err=True)
        raise click.exceptions.Exit(2) from error


def _decode(body) -> Result[DesiredStateRequest, str]:
    """Decode a document in the form that its keys suggest."""
    for module in _FORMAT_MODULES:
        importlib.import_module(module)
    others = [name for name in DESIRED_FORMATS if name != PRODUCT_FORMAT]
    names = [PRODUCT_FORMAT] if _has_product_key(body) else others
    for name in names:
        decoded = DESIRED_FORMATS[name](body)
        if decoded.is_ok():
            break
    return decoded


def _has_product_key(body):
    try:
        values = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(values, dict) and _PRODUCT_KEY in values


def _describe(report):
    path = report["file"]
    lines = [
        f"{path}: {one['kind']}: {one['entry']}: {one['text']}"
        for one in report["problems"]
    ]
    lines += [
        f"{path}: {one['kind']}: {one['entry']}" for one in report["changes"]
    ]
    if not report["problems"]:
        lines.append(f"{path}: valid desired state {report['version']}")
    if report["version_in_force"] is not None:
        lines.append(f"in force: version {report['version_in_force']}")
    return "\n".join(lines)
