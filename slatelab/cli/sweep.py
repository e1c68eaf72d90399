"""`sweep`: a grid of parameters and seeds. It owns the command's options and what it prints and writes."""

from __future__ import annotations

import os
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import msgspec

from slatelab import results
from slatelab.experiments import batch, sweep
from slatelab.experiments.run import Job, load_scenario

from . import formatting, options
from .group import BROKEN, UNTRUSTED, Stop

MOST_RUNS = 100_000


@click.command("sweep")
@options.scenario
@options.batch
@click.option("--vary", type=options.Vary(), multiple=True, help="Key and values; several make a grid.")
def command(
    file: Path,
    engine: str,
    settings: tuple[tuple[str, Any], ...],
    out: str | None,
    seeds: list[int],
    jobs: int | None,
    keep: bool,
    quiet: bool,
    vary: tuple[tuple[str, list[Any]], ...],
) -> None:
    """Play the scenario FILE for every combination of the given values, each with all seeds."""
    base = Job(
        file, engine, None, settings, results_folder=str(results.results_directory(out)) if keep else ""
    )
    plan = planned(base, vary, seeds)
    name = f"{results.utc_timestamp()}-{load_scenario(plan[0]).scenario.name}-{engine}-sweep"
    with results.new_result_folder(results.results_directory(out), name) as draft:
        with formatting.bar("runs", len(plan), quiet) as move:
            ended = batch.run_all(plan, workers(engine, jobs), lambda i, one: move())
        whole = sweep.table(base, vary, seeds, ended)
        with results.convert_write_errors(results.results_directory(out)):
            draft.add("sweep.json", msgspec.json.format(msgspec.json.encode(whole), indent=1) + b"\n")
            draft.add("sweep.csv", sweep.as_csv(whole).encode())
    formatting.console().print(formatting.sweep(whole))
    formatting.say([f"tables {draft.final_path}"])
    finish(whole)


def planned(base: Job, vary: tuple[tuple[str, list[Any]], ...], seeds: list[int]) -> list[Job]:
    """All jobs; each cell's scenario is read first, so that a mistake in the last one costs nothing."""
    plan = sweep.jobs(base, vary, seeds)
    if len(plan) > MOST_RUNS:
        raise click.UsageError(f"{len(plan)} runs, {MOST_RUNS} at most")
    for cell in sweep.cells(vary):
        load_scenario(replace(base, overrides=(*base.overrides, *cell)))
    return plan


def workers(engine: str, jobs: int | None) -> int:
    """Live runs share the machine's clock and sockets: one at a time unless told otherwise."""
    return jobs or (1 if engine == "live" else len(os.sched_getaffinity(0)))


def finish(whole: sweep.Table) -> None:
    """Broken rules and spoiled runs, with the settings under which each can be seen again."""
    for row in whole.rows:
        where = " ".join(f"{key}={value}" for key, value in row.settings.items())
        for line in (*row.broken, *row.spoiled):
            click.echo(f"slatelab: {where} seed {line}".replace("  ", " "), err=True)
    if any(row.violations for row in whole.rows):
        raise Stop(BROKEN, ["rules were broken, see above"])
    if any(row.spoiled for row in whole.rows):
        raise Stop(UNTRUSTED, ["runs gave no result, see above"])
