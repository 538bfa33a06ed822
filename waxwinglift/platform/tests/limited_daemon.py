"""Starts a daemon of the platform with lowered limits, for tests.

Usage: ``python -m waxwinglift.platform.tests.limited_daemon ROLE SETTINGS
LIMITS DESCRIPTORS``.  ``LIMITS`` is a JSON object of objects: fields by the
name of a limits section.  A section that the settings model does not have is
left out, so that the same test runs on code without it.
"""

import json
import pathlib
import resource
import sys

from waxwinglift.platform import _roles
from waxwinglift.platform import _settings
from waxwinglift.platform._control_program import PlatformControl
from waxwinglift.platform._proxy_program import PlatformProxy
from waxwinglift.process._daemon import run_daemon


def _with_limits(model, limits):
    """Return the settings with the limits that they know."""
    changes = {}
    for name, fields in limits.items():
        if name in type(model).model_fields:
            section = getattr(model, name)
            values = {**section.model_dump(), **fields}
            changes[name] = type(section).model_validate(values)
    return model.model_copy(update=changes)


def _run_control(platform, path, limits):
    run_daemon(
        _with_limits(_roles.control_settings(platform), limits),
        "control",
        lambda settings, metrics, tracer: PlatformControl(
            platform, settings, path, metrics, tracer
        ),
    )


def _run_proxy(platform, path, limits):
    settings = _roles.proxy_settings(platform)
    entry = _with_limits(settings.entry, limits)
    run_daemon(
        settings.model_copy(update={"entry": entry}),
        "proxy",
        lambda settings, metrics, tracer: PlatformProxy(
            settings, path, metrics, tracer
        ),
    )


def main():
    """Run the daemon that the arguments describe."""
    role, path, limits, descriptors = sys.argv[1:]
    count = int(descriptors)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count, count))
    path = pathlib.Path(path)
    platform = _settings.load_platform_settings(path).unwrap()
    run = {"control": _run_control, "proxy": _run_proxy}[role]
    run(platform, path, json.loads(limits))


if __name__ == "__main__":
    main()
