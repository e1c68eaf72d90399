"""`compare`: two slatehubs, or two settings, on the same days. It owns the command's options and what it
prints and writes: broken rules come before any figure."""

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
    """Play the scenario FILE on two sides with the same seeds and compare them pair by pair.

    A SIDE is `work` (the working tree), a folder with slatehub in it, or a revision.
    """
    base = Job(
        file, engine, None, settings, results_folder=str(results.results_directory(out)) if keep else ""
    )
    with tempfile.TemporaryDirectory(prefix="slatelab-") as scratch:
        a = _sided(base, a_name, a_set, Path(scratch))
        b = _sided(base, b_name, b_set, Path(scratch))
        whole = _play(base, (_called(a_name, a_set), _called(b_name, b_set)), (a, b), seeds, jobs, quiet, out)
    if whole.violations:
        raise Stop(BROKEN, ["rules were broken, see above"])
    if whole.spoiled:
        raise Stop(UNTRUSTED, ["runs gave no result, and their pairs were left out, see above"])


def _sided(base: Job, name: str, settings: Settings, scratch: Path) -> Job:
    job = batch.with_side(replace(base, overrides=(*base.overrides, *settings)), name, scratch)
    load_scenario(job)
    return job


def _called(name: str, settings: Settings) -> str:
    return " ".join([name, *(f"{key}={value}" for key, value in settings)])


def _play(
    base: Job,
    names: tuple[str, str],
    sides: tuple[Job, Job],
    seeds: list[int],
    jobs: int | None,
    quiet: bool,
    out: str | None,
) -> compare.Comparison:
    plan = compare.jobs(*sides, seeds)
    where, name = (
        results.results_directory(out),
        f"{results.utc_timestamp()}-{load_scenario(plan[0]).scenario.name}-{base.engine}-compare",
    )
    with results.new_result_folder(where, name) as draft:
        with formatting.bar("runs", len(plan), quiet) as move:
            ended = batch.run_all(plan, workers(base.engine, jobs), lambda i, one: move())
        whole = compare.compare(*names, base, seeds, ended)
        with results.convert_write_errors(where):
            draft.add("compare.json", msgspec.json.format(msgspec.json.encode(whole), indent=1) + b"\n")
    _print(whole, draft.final_path)
    return whole


def _print(whole: compare.Comparison, place: Path) -> None:
    formatting.say([f"RULES BROKEN by {line}" for line in whole.violations])
    formatting.say([f"no result: {line}" for line in whole.spoiled])
    formatting.console().print(formatting.comparison(whole))
    if len(whole.seeds) < MIN_PAIRS:
        formatting.say([f"nothing is claimed of fewer than {MIN_PAIRS} seeds"])
    if whole.same:
        formatting.say([f"{whole.same} of {len(whole.seeds)} pairs are the same to the last byte"])
    formatting.say(
        [f"goodput: b is {whole.verdict}" if whole.verdict != "cannot tell" else "goodput: cannot tell"]
    )
    formatting.say([f"table {place}"])
