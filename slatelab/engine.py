"""Types shared by the two engines: the recording of a run, progress snapshots, and the error for a run whose result is
invalid."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .records import Record


class InvalidRunError(Exception):
    """The run is not a valid result (exit 3): the load generator was late, a process of the lab died, or nothing could
    be started. The text is one line with the reason."""


@dataclass(frozen=True, slots=True)
class ProgressSnapshot:
    """State of a running run, about ten times per second of its time: for progress bars and the live table."""

    t: int  # microseconds since the run's epoch
    last_arrival_at: int  # time at which the last arrival is due
    asked: int = 0  # orders so far
    served: int = 0
    refused: int = 0
    failed: int = 0
    latencies_us: tuple[int, ...] = ()  # of orders served since the last snapshot
    # id, state ("warm", "cold", "draining", "down", or its active fault), requests held
    nodes: tuple[tuple[str, str, int], ...] = ()


ProgressCallback = Callable[[ProgressSnapshot], None]


@dataclass(slots=True)
class Recording:
    """The recording of a whole run. `records` are sorted by time."""

    engine: str
    seed: int
    records: list[Record]
    events: int = 0  # simulated events, or requests handled: to compute the speed of the engine
    late_p99_us: int = 0  # 99th percentile of the load generator's delay (live)
    notes: list[str] = field(default_factory=list)  # remarks for readers of the result
