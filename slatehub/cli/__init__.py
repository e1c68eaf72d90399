"""The command line: wiring, signals, and the order in which the components start and stop."""

from .main import main

__all__ = ["main"]
