"""Whether the nodes of a scenario can carry what it offers, before anything is played. This file owns the
sum: expected work a second at each tier against what its nodes do. It must never draw a random number, and
leaves out retries, faults, cold starts and pauses: it tells a wrong scenario, not how a day will go."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from slatelab.scenario import Arrivals, Kind, Scenario

from .random_streams import RandomStreams
from .workload import SECOND, generate_arrivals, window

_NO_CHANCE = RandomStreams(0)  # a trace, the one kind counted from its arrivals, draws nothing


@dataclass(frozen=True, slots=True)
class TierLoad:
    """One tier: work asked for a second on average and in the busiest second, and what the nodes do in a
    second. All three are in cores of speed 1."""

    tier: str
    mean: float
    peak: float
    capacity: float


def offered_load(scenario: Scenario, folder: Path | None = None) -> list[TierLoad]:
    """The load of each tier. Traces count only where their `folder` is given; raises ScenarioError for a
    faulty one."""
    seconds = _work_by_second(scenario, folder)
    mean = sum(seconds.values()) / (scenario.scenario.duration / SECOND)
    peak = max(seconds.values(), default=0.0)
    loads, calls = [], 1.0
    for tier in scenario.tiers:
        part = calls * tier.work
        loads.append(TierLoad(tier.name, mean * part, peak * part, sum(_carries(kind) for kind in tier.kind)))
        calls *= tier.calls
    return loads


def overload_errors(scenario: Scenario, folder: Path | None = None) -> list[str]:
    """A line, `key: reason`, for each tier that cannot carry its mean load, unless the scenario says
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
    """How many orders a day brings on average; traces count only where their `folder` is given."""
    total = 0.0
    for i, stream in enumerate(scenario.arrivals):
        if stream.kind == "trace":
            total += len(_recorded(scenario, i, folder)) if folder else 0
        else:
            total += sum(orders for _, orders in _expected(scenario, stream))
    return total


def _carries(kind: Kind) -> float:
    speed = sum(kind.speed) / 2 if isinstance(kind.speed, tuple) else kind.speed
    return kind.nodes * kind.cores * speed


def _work_by_second(scenario: Scenario, folder: Path | None) -> dict[int, float]:
    """Seconds of whole orders' work asked for in each second of the day."""
    total: dict[int, float] = {}
    for i, stream in enumerate(scenario.arrivals):
        if stream.kind == "trace":
            part = _recorded(scenario, i, folder) if folder else []
        else:
            part = [(s, n * _mean_work(scenario, stream)) for s, n in _expected(scenario, stream)]
        for second, work in part:
            total[second] = total.get(second, 0.0) + work
    return total


def _mean_work(scenario: Scenario, stream: Arrivals) -> float:
    """Seconds of work of an order of the stream, by the shares of its classes."""
    classes = [cls for cls in scenario.classes if not stream.classes or cls.name in stream.classes]
    return sum(cls.share * cls.work.mean for cls in classes) / sum(cls.share for cls in classes) / SECOND


def _recorded(scenario: Scenario, i: int, folder: Path) -> list[tuple[int, float]]:
    """Second and work of each order of a trace."""
    unnamed = _mean_work(scenario, scenario.arrivals[i])
    return [
        (a.at // SECOND, unnamed if a.cls is None else scenario.classes[a.cls].work.mean / SECOND)
        for a in generate_arrivals(scenario, _NO_CHANCE, folder, i)
    ]


def _expected(scenario: Scenario, stream: Arrivals) -> Iterator[tuple[int, float]]:
    """Orders expected in each second of the stream's window."""
    start, end = window(scenario, stream)
    before = 0.0
    for second in range(start // SECOND, -(-end // SECOND)):
        by_now = _until(scenario, stream, min(end, (second + 1) * SECOND))
        yield second, by_now - before
        before = by_now


def _until(scenario: Scenario, stream: Arrivals, at: int) -> float:
    """Orders expected from the stream's start up to but without a moment in its window."""
    past = (at - stream.start) / SECOND
    if stream.kind == "burst":
        return -(-(at - stream.start) // stream.every) * stream.size
    if stream.kind == "ramp":
        span = ((stream.end or scenario.scenario.duration) - stream.start) / SECOND
        return stream.rate * past + (stream.to_rate - stream.rate) * past * past / span / 2
    return stream.rate * past
