"""The command `check`: checks that scenario files can be read and run. This module defines its options and output."""

from __future__ import annotations

from pathlib import Path

import click

from slatelab.experiments.run import Job, load_scenario
from slatelab.scenario import ScenarioError

from . import options
from .group import UNREADABLE, Stop


@click.command("check")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="FILE...")
@click.option(
    "--set", "settings", type=options.Setting(), multiple=True, help="Put a value over the scenario's."
)
def command(files: tuple[Path, ...], settings: tuple[tuple[str, object], ...]) -> None:
    """Read each FILE and report every error in it: file, key and reason."""
    errors: list[str] = []
    for file in files:
        try:
            click.echo(f"{file}: well: {load_scenario(Job(file, overrides=settings)).scenario.name}")
        except ScenarioError as error:
            errors += error.lines
    if errors:
        raise Stop(UNREADABLE, errors)
