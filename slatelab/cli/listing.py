"""The command `list`: lists the complete results in a folder. This module defines its output."""

from __future__ import annotations

from pathlib import Path

import click

from slatelab import results

from . import formatting


@click.command("list")
@click.option("--out", metavar="DIR", help="Folder of results (else $SLATELAB_RESULTS, else ./results).")
def command(out: str | None) -> None:
    """List the results, the oldest first. Each folder without a complete result is skipped with a message."""
    from rich.table import Table

    complete, skipped = results.load_all(results.results_directory(out))
    table = Table(show_edge=False)
    for title, justify in (
        ("result", "left"),
        ("slatehub", "left"),
        ("orders", "right"),
        ("goodput", "right"),
        ("p99", "right"),
        ("rules broken", "right"),
    ):
        table.add_column(title, justify=justify, overflow="fold")  # type: ignore[arg-type]
    for folder, one in complete:
        table.add_row(*_row(folder, one))
    if complete:
        formatting.console().print(table)
    for line in skipped:
        click.echo(line, err=True)


def _row(folder: Path, one: results.Result) -> tuple[str, ...]:
    latency = one.figures.get("latency") or {}
    orders = str(one.figures.get("requests", "-"))
    p99 = formatting.ms(latency.get("p99") if latency.get("count") else None)
    goodput = formatting.percent(one.figures.get("goodput"))
    return folder.name, one.tested[:12], orders, goodput, p99, str(one.ruling.violations)
