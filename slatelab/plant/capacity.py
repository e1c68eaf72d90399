"""Checks before a run whether the nodes of a scenario can serve the offered load: compares the expected work
per second at each tier with the capacity of its nodes. Draws no random numbers, and ignores retries, faults,
cold starts and pauses: the result detects a misconfigured scenario and does not predict the run."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from slatelab.scenario import Arrivals, Kind, Scenario

from .random_streams import RandomStreams
from .workload import SECOND, generate_arrivals, window

# Only traces are counted by generating arrivals, and they draw no random numbers.
_UNUSED_STREAMS = RandomStreams(0)


@dataclass(frozen=True, slots=True)
class TierLoad:
    """One tier: work requested per second, on average and in the busiest second, and the work its nodes do
    per second. All three are in cores of speed 1."""

    tier: str
    mean: float
    peak: float
    capacity: float


def offered_load(scenario: Scenario, folder: Path | None = None) -> list[TierLoad]:
    """The load of each tier. Traces are counted only if their `folder` is given. Raises ScenarioError if a
    trace is invalid."""
    seconds = _work_by_second(scenario, folder)
    mean = sum(seconds.values()) / (scenario.scenario.duration / SECOND)
    peak = max(seconds.values(), default=0.0)
    loads, calls_per_order = [], 1.0
    for tier in scenario.tiers:
        part = calls_per_order * tier.work
        loads.append(
            TierLoad(tier.name, mean * part, peak * part, sum(_kind_capacity(kind) for kind in tier.kind))
        )
        calls_per_order *= tier.calls
    return loads


def overload_errors(scenario: Scenario, folder: Path | None = None) -> list[str]:
    """One line, `key: reason`, for each tier whose mean load exceeds its capacity; none if the scenario sets
    overload = true."""
    if scenario.scenario.overload:
        return []
    return [
        f"tier.{t}: {load.tier!r} is asked for {load.mean:.2f} s of work a second on"
        f" average and its nodes do {load.capacity:.2f} ({load.mean / load.capacity:.0%});"
        " say scenario.overload = true if that is meant"
        for t, load in enumerate(offered_load(scenario, folder))
        if load.mean > load.capacity
    ]


def expected_orders(scenario: Scenario, folder: Path | None = None) -> float:
    """Expected number of orders in a run. Traces are counted only if their `folder` is given."""
    total = 0.0
    for i, stream in enumerate(scenario.arrivals):
        if stream.kind == "trace":
            total += len(_trace_work(scenario, i, folder)) if folder else 0
        else:
            total += sum(orders for _, orders in _expected_per_second(scenario, stream))
    return total


def _kind_capacity(kind: Kind) -> float:
    speed = sum(kind.speed) / 2 if isinstance(kind.speed, tuple) else kind.speed
    return kind.nodes * kind.cores * speed


def _work_by_second(scenario: Scenario, folder: Path | None) -> dict[int, float]:
    """Work of the orders that arrive in each second of the run, in seconds at speed 1."""
    total: dict[int, float] = {}
    for i, stream in enumerate(scenario.arrivals):
        if stream.kind == "trace":
            part = _trace_work(scenario, i, folder) if folder else []
        else:
            part = [(s, n * _mean_work(scenario, stream)) for s, n in _expected_per_second(scenario, stream)]
        for second, work in part:
            total[second] = total.get(second, 0.0) + work
    return total


def _mean_work(scenario: Scenario, stream: Arrivals) -> float:
    """Mean work of an order of the stream in seconds, weighted by the shares of its classes."""
    classes = [cls for cls in scenario.classes if not stream.classes or cls.name in stream.classes]
    return sum(cls.share * cls.work.mean for cls in classes) / sum(cls.share for cls in classes) / SECOND


def _trace_work(scenario: Scenario, i: int, folder: Path) -> list[tuple[int, float]]:
    """Arrival second and work in seconds of each order of a trace."""
    default_work = _mean_work(scenario, scenario.arrivals[i])
    return [
        (a.at // SECOND, default_work if a.cls is None else scenario.classes[a.cls].work.mean / SECOND)
        for a in generate_arrivals(scenario, _UNUSED_STREAMS, folder, i)
    ]


def _expected_per_second(scenario: Scenario, stream: Arrivals) -> Iterator[tuple[int, float]]:
    """Expected number of orders in each second of the stream's window."""
    start, end = window(scenario, stream)
    previous = 0.0
    for second in range(start // SECOND, -(-end // SECOND)):
        total = _expected_until(scenario, stream, min(end, (second + 1) * SECOND))
        yield second, total - previous
        previous = total


def _expected_until(scenario: Scenario, stream: Arrivals, at: int) -> float:
    """Expected number of orders from the stream's start until `at`, which is excluded and lies in its window."""
    elapsed = (at - stream.start) / SECOND
    if stream.kind == "burst":
        return -(-(at - stream.start) // stream.every) * stream.size
    if stream.kind == "ramp":
        span = ((stream.end or scenario.scenario.duration) - stream.start) / SECOND
        return stream.rate * elapsed + (stream.to_rate - stream.rate) * elapsed * elapsed / span / 2
    return stream.rate * elapsed
