"""The group of all commands. This module lists the commands and defines the exit code of each failure and the handling
of signals. It loads a command's module only when that command is called.

Exit codes: 0: success. 1: a rule was broken. 2: the input cannot be read or run. 3: a run cannot be trusted, or its
result cannot be written. 130: interrupted, after cleaning up."""

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

# Name and module of each command.
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
    """Ends the program with an exit code and prints each line on standard error."""

    def __init__(self, code: int, lines: Sequence[str]) -> None:
        super().__init__("\n".join(lines))
        self.exit_code = code  # type: ignore[misc]  # click declares it on the class, but reads it from the instance

    def show(self, file: Any = None) -> None:
        for line in self.message.splitlines():
            click.echo(f"slatelab: {line}", err=True)


class Commands(click.Group):
    """Loads commands on demand and turns expected failures into exit codes."""

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
        except ScenarioError as error:
            raise Stop(UNREADABLE, error.lines) from None
        except (UnknownSideError, ResultReadError) as error:
            raise Stop(UNREADABLE, [str(error)]) from None
        except (InvalidRunError, ResultWriteError) as error:
            raise Stop(UNTRUSTED, [str(error)]) from None
        except KeyboardInterrupt:
            raise Stop(INTERRUPTED, ["interrupted"]) from None
        except (click.ClickException, click.exceptions.Exit, click.Abort, BrokenPipeError):
            raise
        except Exception:
            # Python exits with 1 after an uncaught exception, which would mean here that a rule was broken.
            traceback.print_exc()
            raise Stop(UNTRUSTED, ["a fault of the lab itself, see above"]) from None


@click.command(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
def group() -> None:
    """Runs scenarios against slatehub, judges and measures them.

    Exit codes: 0 success, 1 a rule was broken, 2 unreadable input, 3 a run that cannot be trusted, 130
    interrupted."""


def main() -> None:
    """Entry point of the program `slatelab`."""
    signal.signal(signal.SIGTERM, _on_sigterm)
    group(prog_name="slatelab")


def _on_sigterm(number: int, frame: Any) -> None:
    """Handles SIGTERM like Ctrl-C, so that all started processes end too."""
    raise KeyboardInterrupt
