"""The command `replay`: replays a flight recording. This module defines the command's options, what it prints and its
exit codes: 0 same actions, 1 different actions, 2 unreadable recording."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import click

from slatehub.observe.flight import FlightRecording, RecordingError, read

from . import formatting
from .explain import Explainer, arrival_names
from .module import fingerprint, load
from .replayer import Step, replay_batches

SAME, DIFFERENT, UNREADABLE = 0, 1, 2


class Stop(click.ClickException):
    """Ends the program with an exit code and one line on standard error."""

    def __init__(self, code: int, text: str) -> None:
        super().__init__(formatting.printable(text, 400))
        self.exit_code = code  # type: ignore[misc]  # click declares it on the class, but reads it from the instance

    def show(self, file: Any = None) -> None:
        click.echo(f"slatelab: {self.message}", err=True)


@click.command("replay")
@click.argument("file", type=click.Path(path_type=Path), metavar="FILE")
@click.option("--request", "name", metavar="ID", help="Explain the request with this X-Request-ID.")
@click.option(
    "--tree", type=click.Path(path_type=Path), metavar="DIR", help="Play through the paddlestep in DIR."
)
@click.option(
    "--limit", type=click.IntRange(1, 1000), default=12, show_default=True, help="Nodes shown at a moment."
)
def command(file: Path, name: str | None, tree: Path | None, limit: int) -> None:
    """Play the flight recording FILE through the decision module again: the same actions, or the first that differ."""
    try:
        recording = read(file)
        package = load(tree)
        formatting.print_lines(*formatting.describe_recording(recording, fingerprint(package)))
        code = (
            _explain(recording, package, name, limit, tree)
            if name is not None
            else _replay(recording, package)
        )
    except RecordingError as error:
        raise Stop(UNREADABLE, f"{file}: {error}") from None
    raise SystemExit(code)


def _replay(recording: FlightRecording, package: str) -> int:
    return _report_result(recording, replay_batches(recording, package))


def _report_result(recording: FlightRecording, steps: Iterable[Step]) -> int:
    ended = deque(steps, 1)
    if not ended:
        formatting.print_lines("no batch has been recorded: nothing to compare")
        return SAME
    last = ended.pop()
    if not last.matches:
        formatting.print_lines(*formatting.describe_difference(last))
        return DIFFERENT
    end = f", and it fails as it did: {formatting.printable(last.problem)}" if last.problem else ""
    formatting.print_lines(f"the same actions in all {len(recording.batches)} batches{end}")
    return SAME


def _explain(recording: FlightRecording, package: str, name: str, limit: int, tree: Path | None) -> int:
    explainer = Explainer(recording, package, name)
    if not explainer.arrival_batches:
        names = list(arrival_names(recording))
        first_and_last = f", from {names[0]} to {names[-1]}" if names else ""
        raise RecordingError(f"no request {name} came in what is recorded; {len(names)} did{first_and_last}")
    code = _report_result(recording, explainer.steps())
    if code != SAME:
        formatting.print_lines("what follows describes the replayed module up to that batch")
    if missing := explainer.observer.missing:
        formatting.print_lines(
            f"the decision module of {tree or package} has other names (no {', '.join(missing)}):"
            " no explanations of single decisions"
        )
    for history in explainer.histories.values():
        formatting.print_lines("")
        formatting.print_request(recording, name, history, limit)
    return code
