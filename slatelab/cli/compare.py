"""The command `compare`: compares two versions of slatehub, or two settings, with the same seeds. This module defines
its options and output. Broken rules are printed before any figure."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import msgspec

from slatelab import results
from slatelab.experiments import batch, compare, revisions
from slatelab.experiments.run import Job, load_scenario
from slatelab.experiments.statistics import MIN_PAIRS

from . import formatting, options
from .group import BROKEN, UNTRUSTED, Stop
from .sweep import workers

Settings = tuple[tuple[str, Any], ...]


@click.command("compare")
@options.scenario
@options.batch
@click.option("--a", "a_name", metavar="SIDE", default=revisions.WORKING_TREE, show_default=True)
@click.option("--b", "b_name", metavar="SIDE", default=revisions.WORKING_TREE, show_default=True)
@click.option(
    "--a-set", type=options.Setting(), multiple=True, help="Put a value over the scenario's on side a."
)
@click.option("--b-set", type=options.Setting(), multiple=True, help="The same on side b.")
def command(
    file: Path,
    engine: str,
    settings: Settings,
    out: str | None,
    seeds: list[int],
    jobs: int | None,
    keep: bool,
    quiet: bool,
    a_name: str,
    b_name: str,
    a_set: Settings,
    b_set: Settings,
) -> None:
    """Run the scenario FILE on two sides with the same seeds and compare them pair by pair.

    A SIDE is `work` (the working tree), a folder with slatehub in it, or a revision.
    """
    base = Job(
        file, engine, None, settings, results_folder=str(results.results_directory(out)) if keep else ""
    )
    with tempfile.TemporaryDirectory(prefix="slatelab-") as scratch:
        a = _job_of_side(base, a_name, a_set, Path(scratch))
        b = _job_of_side(base, b_name, b_set, Path(scratch))
        comparison = _run_and_print(
            base, (_side_title(a_name, a_set), _side_title(b_name, b_set)), (a, b), seeds, jobs, quiet, out
        )
    if comparison.violations:
        raise Stop(BROKEN, ["rules were broken, see above"])
    if comparison.spoiled:
        raise Stop(UNTRUSTED, ["runs gave no result, and their pairs were left out, see above"])


def _job_of_side(base: Job, name: str, settings: Settings, scratch: Path) -> Job:
    job = batch.with_side(replace(base, overrides=(*base.overrides, *settings)), name, scratch)
    load_scenario(job)
    return job


def _side_title(name: str, settings: Settings) -> str:
    return " ".join([name, *(f"{key}={value}" for key, value in settings)])


def _run_and_print(
    base: Job,
    names: tuple[str, str],
    sides: tuple[Job, Job],
    seeds: list[int],
    jobs: int | None,
    quiet: bool,
    out: str | None,
) -> compare.Comparison:
    planned_jobs = compare.jobs(*sides, seeds)
    folder, name = (
        results.results_directory(out),
        f"{results.utc_timestamp()}-{load_scenario(planned_jobs[0]).scenario.name}-{base.engine}-compare",
    )
    with results.new_result_folder(folder, name) as draft:
        with formatting.bar("runs", len(planned_jobs), quiet) as advance:
            outcomes = batch.run_all(planned_jobs, workers(base.engine, jobs), lambda i, one: advance())
        comparison = compare.compare(*names, base, seeds, outcomes)
        with results.convert_write_errors(folder):
            draft.add("compare.json", msgspec.json.format(msgspec.json.encode(comparison), indent=1) + b"\n")
    _print(comparison, draft.final_path)
    return comparison


def _print(comparison: compare.Comparison, path: Path) -> None:
    formatting.say([f"RULES BROKEN by {line}" for line in comparison.violations])
    formatting.say([f"no result: {line}" for line in comparison.spoiled])
    formatting.console().print(formatting.comparison(comparison))
    if len(comparison.seeds) < MIN_PAIRS:
        formatting.say([f"nothing is claimed of fewer than {MIN_PAIRS} seeds"])
    if comparison.same:
        formatting.say([f"{comparison.same} of {len(comparison.seeds)} pairs are the same to the last byte"])
    formatting.say(
        [
            f"goodput: b is {comparison.verdict}"
            if comparison.verdict != "cannot tell"
            else "goodput: cannot tell"
        ]
    )
    formatting.say([f"table {path}"])
