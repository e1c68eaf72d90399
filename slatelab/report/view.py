"""What a result looks like to the plots and the page: plain series in seconds, milliseconds and shares. It
owns the way there from a result's figures, and is the only place in the report that knows their names. It
must never draw."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from slatelab.results import Result, ResultReadError

if TYPE_CHECKING:
    from slatelab.figures import Figures, Latency, NodeLoad

Series = list[float]
Points = list[tuple[float, float]]
PER_DECADE = 60  # points of a latency curve for each further nine


@dataclass(frozen=True, slots=True)
class Spell:
    """A fault from when to when, in seconds."""

    name: str
    kind: str
    begin: float
    end: float
    targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class View:
    """A run for the reader. `offered` and the four after it: orders in each second. A curve is pairs of a
    share of the served orders (0 to 1, rising) and the latency in ms that so many did not exceed; the one
    named "all" comes first. `work` and `held` by node, one value for each `step` seconds: work that came as a
    share of what the node can do, and attempts held."""

    name: str
    duration: float
    warmup: float
    offered: Series
    served: Series  # in time
    late: Series
    refused: Series
    failed: Series
    goodput: list[float | None]  # None where nothing was offered
    curves: dict[str, Points]
    aims: dict[str, float]  # ms
    nodes: list[str]
    step: float
    work: list[Series]
    held: list[Series]
    attempts: list[int]  # tries of clients by how many attempts they took: 0, 1, 2 ...
    spells: list[Spell] = field(default_factory=list)


def load_figures(result: Result, folder: Path) -> Figures:
    """The figures of a result as they were measured. Raises ResultReadError where they are of another version."""
    import msgspec

    from slatelab.figures import Figures

    try:
        return msgspec.convert(result.figures, Figures)
    except msgspec.ValidationError as problem:
        raise ResultReadError(f"{folder}: result.json: figures: {problem}") from None


def build_view(result: Result, figures: Figures) -> View:
    """`figures` are those of the result."""
    series = figures.series
    end = max(float(len(series.offered)), result.duration / 1e6)
    return View(
        name=result.scenario,
        duration=end,
        warmup=result.warmup / 1e6,
        offered=_floats(series.offered),
        served=_floats(series.in_time),
        late=_floats(series.late),
        refused=_floats(series.refused),
        failed=_floats(series.failed),
        goodput=series.goodput,
        curves=_curves(figures),
        aims={name: aim / 1000 for name, aim in result.aims.items()},
        nodes=[node.node for node in figures.nodes],
        step=figures.load_step,
        work=[_work(node, figures.load_step, result.capacity) for node in figures.nodes],
        held=[_floats(node.held) for node in figures.nodes],
        attempts=figures.attempts_histogram,
        spells=[
            Spell(t.name, t.kind, t.begin / 1e6, end if t.end is None else t.end / 1e6, t.targets)
            for t in result.troubles
        ],
    )


def _floats(values: Sequence[int]) -> Series:
    return [float(value) for value in values]


def _work(node: NodeLoad, step: int, capacity: dict[str, float]) -> Series:
    can = step * 1e6 * (capacity.get(node.node) or 1.0)
    return [work / can for work in node.work_us]


def _curves(figures: Figures) -> dict[str, Points]:
    named = [("all", figures.latency), *((group.name, group.latency) for group in figures.classes)]
    return {name: curve(latency) for name, latency in named if latency.count}


def curve(latency: Latency) -> Points:
    """Points at even distances on the scale 1/(1-p), up to the share that the longest but one stands for."""
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped, unused-ignore]

    shares, n = [0.0], 0
    while shares[-1] < 1 - 1 / latency.count and len(shares) < 6 * PER_DECADE:
        n += 1
        shares.append(min(1 - 10 ** (-n / PER_DECADE), 1 - 1 / latency.count))
    found = HdrHistogram.decode(latency.hdr).get_percentile_to_value_dict([100 * share for share in shares])
    return [(share, found[100 * share] / 1000) for share in shares]


def thin(series: Sequence[float], most: int = 600) -> tuple[Series, int]:
    """At most `most` means of equal stretches, and how many values went into each."""
    by = max(1, -(-len(series) // most))
    stretches = [series[i : i + by] for i in range(0, len(series), by)]
    return [sum(one) / len(one) for one in stretches], by
