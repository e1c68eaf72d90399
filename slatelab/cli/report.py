"""The command `report`: writes the page and the plots of one or two results. This module defines its options."""

from __future__ import annotations

from pathlib import Path

import click

from slatelab import results


@click.command("report")
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path), metavar="DIR [DIR]")
@click.option("--out", type=click.Path(path_type=Path), help="Where to write [a folder in the last DIR].")
def command(folders: tuple[Path, ...], out: Path | None) -> None:
    """Write one self-contained page on the result in DIR, or on two results side by side."""
    if len(folders) > 2:
        raise click.UsageError("one result or two")
    from slatelab.report.page import write_report

    name = "report" if len(folders) == 1 else f"report-{folders[0].resolve().name}"
    target = out or folders[-1] / name
    loaded = [(folder, results.load(folder)) for folder in folders]
    click.echo(write_report(loaded, target).resolve())
