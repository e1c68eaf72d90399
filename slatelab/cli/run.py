"""The command `run`: runs one scenario once. This module defines its options and output."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from slatelab import results
from slatelab.experiments import batch, revisions
from slatelab.experiments.run import Job, Summary, run

from . import formatting, options
from .group import BROKEN


@click.command("run")
@options.scenario
@click.option("--seed", type=click.IntRange(0, 2**53), help="Instead of the scenario's.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Write the summary to this file.")
@click.option("--tree", metavar="DIR", help="Run the slatehub of this folder.")
@click.option("--rev", metavar="REV", help="Run the slatehub of this revision.")
@click.option("--quiet", is_flag=True, help="Print nothing but what goes wrong.")
@click.option("--table", is_flag=True, help="Show the run under way: a live table, or a line a second.")
@click.option("--drop", is_flag=True, help="Keep no result.")
@click.option("--tested", default=revisions.WORKING_TREE, hidden=True)  # what the parent put on PYTHONPATH
@click.pass_context
def command(
    ctx: click.Context,
    file: Path,
    engine: str,
    settings: tuple[tuple[str, object], ...],
    out: str | None,
    seed: int | None,
    json_file: Path | None,
    tree: str | None,
    rev: str | None,
    quiet: bool,
    table: bool,
    drop: bool,
    tested: str,
) -> None:
    """Run the scenario FILE once, judge and measure it, and keep the result."""
    if tree and rev:
        raise click.UsageError("give one of --tree and --rev")
    keep = "" if drop else str(results.results_directory(out))
    side = revisions.Side(tested, revisions.REPOSITORY)
    job = Job(file, engine, seed, settings, side, results_folder=keep)
    with tempfile.TemporaryDirectory(prefix="slatelab-") as scratch:
        if tree or rev:
            job = batch.with_side(job, tree or rev or "", Path(scratch))
        if job.python_path:
            ctx.exit(_run_in_child(job, json_file, quiet, table))
        one = _run_with_progress(job, quiet, table)
    if json_file:
        write_json(json_file, one)
    if not quiet:
        formatting.say(
            [*formatting.summary(one, job.side.tested), *([f"result {one.result}"] if one.result else [])]
        )
    if one.violations:
        if quiet:
            click.echo("\n".join(formatting.verdict(one)), err=True)
        ctx.exit(BROKEN)


def _run_in_child(job: Job, json_file: Path | None, quiet: bool, table: bool) -> int:
    """Runs the same command in a process whose path holds the other slatehub first. Returns its exit code."""
    more = [*(["--json", str(json_file)] if json_file else []), *(["--quiet"] if quiet else [])]
    more += ["--table"] if table else []
    more += ["--out", job.results_folder] if job.results_folder else ["--drop"]
    arguments, env = batch.child_command(job, *more), batch.child_environment(job)
    with subprocess.Popen(arguments, env=env, stdin=subprocess.DEVNULL, process_group=0) as child:
        return batch.wait_for_child(child)


def _run_with_progress(job: Job, quiet: bool, table: bool) -> Summary:
    if quiet or not (table or sys.stderr.isatty()):
        return run(job)
    from slatelab.report.progress import progress_display

    with progress_display(f"{job.file.stem}, {job.engine}", brief=not table) as progress:
        return run(job, progress)


def write_json(path: Path, one: Summary) -> None:
    """Writes the summary completely or not at all."""
    data = msgspec.json.format(msgspec.json.encode(one), indent=1) + b"\n"
    with results.convert_write_errors(path.parent):
        temporary = path.with_name(f"{path.name}.part")
        temporary.write_bytes(data)
        temporary.replace(path)
