"""Registry of the subcommands of ``python -m waxwinglift_bench``."""

import click

COMMANDS = {}


def bench_command(command):
    """Add a click command to the group; usable as a decorator."""
    if command.name in COMMANDS:
        raise ValueError(f"command {command.name} is already registered")
    COMMANDS[command.name] = command
    return command


def bench_group():
    """Return a click group with all registered commands."""
    return click.Group("waxwinglift_bench", commands=dict(COMMANDS))
