"""`python -m slatelab.soak`: plays runs by seed, prints a line for each, and exits with 1 if one broke a rule."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path

import click

from .checks import summarize
from .pictures import PICTURES, CrowdChoice
from .proxy_process import Limits
from .run import draw_plan, play


def seeds_of(text: str) -> range:
    """1-50, or one number. Raises ValueError."""
    first, dash, last = text.partition("-")
    return range(int(first), int(last if dash else first) + 1)


def crowd_of(text: str) -> CrowdChoice:
    """KIND:COUNT:SIZE. Raises ValueError."""
    kind, count, size = text.split(":")
    return CrowdChoice(kind, int(count), int(size))


@click.command()
@click.option("--seeds", default="1", metavar="N or N-M", help="One run each.")
@click.option("--seconds", default=8.0, help="Length of a run.")
@click.option(
    "--picture",
    "pictures",
    multiple=True,
    type=click.Choice(sorted(PICTURES)),
    help="In place of the seed's choice.",
)
@click.option("--memory-mb", type=int, help="Limits in place of the seed's choice.")
@click.option("--sockets", type=int, default=1024, show_default=True)
@click.option(
    "--crowd", "crowds", multiple=True, metavar="KIND:COUNT:SIZE", help="Of the picture crowd or waves."
)
@click.option(
    "--logs", type=click.Path(path_type=Path, file_okay=False), help="Keep the logs of the program here."
)
def main(
    seeds: str,
    seconds: float,
    pictures: tuple[str, ...],
    memory_mb: int | None,
    sockets: int,
    crowds: tuple[str, ...],
    logs: Path | None,
) -> None:
    """Soak runs of the real program on loopback."""
    limits = Limits(memory_mb, sockets) if memory_mb else None
    broken = 0
    for seed in seeds_of(seeds):
        plan = draw_plan(seed, seconds, pictures, limits)
        result = play(replace(plan, crowds=tuple(crowd_of(text) for text in crowds)), logs)
        click.echo(result.line())
        for line in summarize(result.violations):
            click.echo(f"    {line}")
        broken += bool(result.violations)
    click.echo(f"{broken} of {len(seeds_of(seeds))} runs broke a rule")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
