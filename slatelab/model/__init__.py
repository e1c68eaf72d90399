"""The engine `model`: simulates a scenario on virtual time with the proxies' real decision code and without sockets.
It runs the same scenarios as the engine `live` and writes the same records. It never reads a clock of this machine."""

from .run import run

__all__ = ["run"]
