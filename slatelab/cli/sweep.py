"""The command `sweep`: runs a grid of parameters and seeds. This module defines its options and output."""

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

MAX_RUNS = 100_000


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
    """Run the scenario FILE for every combination of the given values, each with all seeds."""
    base = Job(
        file, engine, None, settings, results_folder=str(results.results_directory(out)) if keep else ""
    )
    planned_jobs = plan_jobs(base, vary, seeds)
    name = f"{results.utc_timestamp()}-{load_scenario(planned_jobs[0]).scenario.name}-{engine}-sweep"
    with results.new_result_folder(results.results_directory(out), name) as draft:
        with formatting.bar("runs", len(planned_jobs), quiet) as advance:
            outcomes = batch.run_all(planned_jobs, workers(engine, jobs), lambda i, one: advance())
        table = sweep.table(base, vary, seeds, outcomes)
        with results.convert_write_errors(results.results_directory(out)):
            draft.add("sweep.json", msgspec.json.format(msgspec.json.encode(table), indent=1) + b"\n")
            draft.add("sweep.csv", sweep.as_csv(table).encode())
    formatting.console().print(formatting.sweep(table))
    formatting.say([f"tables {draft.final_path}"])
    report_failures(table)


def plan_jobs(base: Job, vary: tuple[tuple[str, list[Any]], ...], seeds: list[int]) -> list[Job]:
    """Returns all jobs. The scenario of each cell is read first, so that an error in the last cell is found before any
    run."""
    planned_jobs = sweep.jobs(base, vary, seeds)
    if len(planned_jobs) > MAX_RUNS:
        raise click.UsageError(f"{len(planned_jobs)} runs, {MAX_RUNS} at most")
    for cell in sweep.cells(vary):
        load_scenario(replace(base, overrides=(*base.overrides, *cell)))
    return planned_jobs


def workers(engine: str, jobs: int | None) -> int:
    """Returns the number of workers. Live runs share the machine's clock and sockets, so they run one at a time by
    default."""
    return jobs or (1 if engine == "live" else len(os.sched_getaffinity(0)))


def report_failures(table: sweep.Table) -> None:
    """Prints broken rules and failed runs with the settings that reproduce them, and raises Stop if there are any."""
    for row in table.rows:
        where = " ".join(f"{key}={value}" for key, value in row.settings.items())
        for line in (*row.broken, *row.spoiled):
            click.echo(f"slatelab: {where} seed {line}".replace("  ", " "), err=True)
    if any(row.violations for row in table.rows):
        raise Stop(BROKEN, ["rules were broken, see above"])
    if any(row.spoiled for row in table.rows):
        raise Stop(UNTRUSTED, ["runs gave no result, see above"])
