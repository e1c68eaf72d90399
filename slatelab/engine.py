"""What the two engines share: the form in which a run is handed on, and how a run that must not be trusted says so. It
owns no engine, and must never judge."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .records import Record


class InvalidRunError(Exception):
    """The run cannot be taken for a result (exit 3): the load ran late, one of the lab's own processes died, nothing
    could be started. The text is one line and says why."""


@dataclass(frozen=True, slots=True)
class ProgressSnapshot:
    """A look at a run under way, about ten a second of its time: for progress bars and the live table."""

    t: int  # microseconds since the run's epoch
    last_arrival_at: int  # when the last arrival is due
    asked: int = 0  # orders so far
    served: int = 0
    refused: int = 0
    failed: int = 0
    latencies_us: tuple[int, ...] = ()  # of what has been served since the last tick
    # id, state ("warm", "cold", "draining", "down", or the fault on it), requests held
    nodes: tuple[tuple[str, str, int], ...] = ()


ProgressCallback = Callable[[ProgressSnapshot], None]


@dataclass(slots=True)
class Recording:
    """A whole run. `records` are in the order of their time."""

    engine: str
    seed: int
    records: list[Record]
    events: int = 0  # simulated events, or requests handled: for the speed of the engine
    late_p99_us: int = 0  # by how much the load generator ran late (live)
    notes: list[str] = field(default_factory=list)  # lines for the reader of the result
