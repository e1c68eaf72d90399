"""The group of all commands: which there are, and the exit code of each way to fail. It owns these two and
the signals. It must never do a command's work, and loads a command's module only when that command is called.

0: well.  1: a rule was broken.  2: what was given cannot be read or run.  3: a run cannot be trusted, or its
result not written.  130: interrupted, after putting everything away."""

from __future__ import annotations

import importlib
import signal
import traceback
from collections.abc import Sequence
from typing import Any

import click

from slatelab.engine import InvalidRunError
from slatelab.results import ResultReadError, ResultWriteError
from slatelab.scenario import ScenarioError

# Name and module: a new command needs a line here and nothing else.
COMMANDS = {
    "run": "slatelab.cli.run",
    "sweep": "slatelab.cli.sweep",
    "compare": "slatelab.cli.compare",
    "report": "slatelab.cli.report",
    "check": "slatelab.cli.check",
    "list": "slatelab.cli.listing",
    "show": "slatelab.cli.show",
    "replay": "slatelab.replay.command",
}
WELL, BROKEN, UNREADABLE, UNTRUSTED, INTERRUPTED = 0, 1, 2, 3, 130


class Stop(click.ClickException):
    """Ends the program with a code, each line on standard error."""

    def __init__(self, code: int, lines: Sequence[str]) -> None:
        super().__init__("\n".join(lines))
        self.exit_code = code  # type: ignore[misc]  # of the class, says click; it is read from here

    def show(self, file: Any = None) -> None:
        for line in self.message.splitlines():
            click.echo(f"slatelab: {line}", err=True)


class Commands(click.Group):
    """Loads commands when asked for them, and turns expected failures into exit codes."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = importlib.import_module(COMMANDS[cmd_name]).command
        return command

    def invoke(self, ctx: click.Context) -> Any:
        from slatelab.experiments.revisions import UnknownSideError

        try:
            return super().invoke(ctx)
        except ScenarioError as problem:
            raise Stop(UNREADABLE, problem.lines) from None
        except (UnknownSideError, ResultReadError) as problem:
            raise Stop(UNREADABLE, [str(problem)]) from None
        except (InvalidRunError, ResultWriteError) as problem:
            raise Stop(UNTRUSTED, [str(problem)]) from None
        except KeyboardInterrupt:
            raise Stop(INTERRUPTED, ["interrupted"]) from None
        except (click.ClickException, click.exceptions.Exit, click.Abort, BrokenPipeError):
            raise
        except Exception:
            # Python's own code for an uncaught exception is 1, which here says that a rule was broken.
            traceback.print_exc()
            raise Stop(UNTRUSTED, ["a fault of the lab itself, see above"]) from None


@click.command(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """Plays scenarios against slatehub, judges and measures them.

    Exit codes: 0 well, 1 a rule was broken, 2 unreadable input, 3 a run that cannot be trusted, 130
    interrupted."""


def main() -> None:
    signal.signal(signal.SIGTERM, _terminated)
    group(prog_name="slatelab")


def _terminated(number: int, frame: Any) -> None:
    """As Ctrl-C: what was started must end with us."""
    raise KeyboardInterrupt
