"""The command line of the lab. A new command is a module here with an object `command`, and a line in `COMMANDS` of
`slatelab.cli.group`."""

from .group import main

__all__ = ["main"]
