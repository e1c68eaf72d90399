"""The command `show`: prints one result as text. This module defines its output."""

from __future__ import annotations

from pathlib import Path

import click

from slatelab import results
from slatelab.experiments.run import summarise

from . import formatting


@click.command("show")
@click.argument("folder", type=click.Path(path_type=Path), metavar="DIR")
def command(folder: Path) -> None:
    """Print the result in DIR: figures, verdict with histories, software versions and machine."""
    from slatelab.report.view import load_figures

    one = results.load(folder)
    formatting.say(formatting.summary(summarise(one, load_figures(one, folder)), one.tested))
    for complaint in one.ruling.first:
        formatting.say(["", *complaint.history.splitlines()])
    formatting.say(["", *provenance(one)])


def provenance(one: results.Result) -> list[str]:
    """Returns lines on how the result was made."""
    dirty = " with changes" if one.versions.dirty else ""
    lines = [
        f"made {one.made} in {one.wall_s:.1f} s, {one.events} events",
        f"lab {one.versions.revision[:12] or 'of no revision'}{dirty}, Python {one.versions.python}",
        f"machine {one.machine.cores} cores, {one.machine.model}, {one.machine.memory_mb} MB",
        f"scenario {one.scenario_sha256[:16]}, records {one.trace_sha256[:16]}",
    ]
    if one.engine == "live":
        lines.append(f"the load was late by {one.late_p99_us / 1000:.1f} ms (p99)")
    changes = [f"set {key} = {value}" for key, value in one.changes.items()]
    return [*lines, *changes, *(f"note: {note}" for note in one.notes)]
