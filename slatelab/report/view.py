"""Converts a result's figures to plain series in seconds, milliseconds and shares for the plots and the page. This is
the only module of the report that depends on the names of the figures. It draws nothing."""

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
PER_DECADE = 60  # points of a latency curve per decade of 1/(1-p)


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """The begin and end of a fault, in seconds."""

    name: str
    kind: str
    begin: float
    end: float
    targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class View:
    """A run prepared for plotting. `offered` and the four after it: orders in each second. A curve is pairs of a share
    of the served orders (0 to 1, rising) and the latency in ms that this share did not exceed; the one named "all"
    comes first. `work` and `held` have a series for each node with one value per `step` seconds: the work sent to the
    node as a share of its capacity, and the attempts that it held."""

    name: str
    duration: float
    warmup: float
    offered: Series
    served: Series  # in time
    late: Series
    refused: Series
    failed: Series
    goodput: list[float | None]  # None if nothing was offered
    curves: dict[str, Points]
    aims: dict[str, float]  # ms
    nodes: list[str]
    step: float
    work: list[Series]
    held: list[Series]
    attempts: list[int]  # clients' tries by number of attempts: 0, 1, 2 ...
    faults: list[FaultInterval] = field(default_factory=list)


def load_figures(result: Result, folder: Path) -> Figures:
    """Returns the stored figures of a result. Raises ResultReadError if they have the format of another version."""
    import msgspec

    from slatelab.figures import Figures

    try:
        return msgspec.convert(result.figures, Figures)
    except msgspec.ValidationError as error:
        raise ResultReadError(f"{folder}: result.json: figures: {error}") from None


def build_view(result: Result, figures: Figures) -> View:
    """Builds the view of a result; `figures` are those of the result."""
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
        faults=[
            FaultInterval(t.name, t.kind, t.begin / 1e6, end if t.end is None else t.end / 1e6, t.targets)
            for t in result.troubles
        ],
    )


def _floats(values: Sequence[int]) -> Series:
    return [float(value) for value in values]


def _work(node: NodeLoad, step: int, capacity: dict[str, float]) -> Series:
    capacity_us = step * 1e6 * (capacity.get(node.node) or 1.0)
    return [work / capacity_us for work in node.work_us]


def _curves(figures: Figures) -> dict[str, Points]:
    named = [("all", figures.latency), *((group.name, group.latency) for group in figures.classes)]
    return {name: curve(latency) for name, latency in named if latency.count}


def curve(latency: Latency) -> Points:
    """Returns points evenly spaced on the log scale of 1/(1-p), up to the share of all orders but the slowest one."""
    from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped, unused-ignore]

    shares, n = [0.0], 0
    while shares[-1] < 1 - 1 / latency.count and len(shares) < 6 * PER_DECADE:
        n += 1
        shares.append(min(1 - 10 ** (-n / PER_DECADE), 1 - 1 / latency.count))
    latencies = HdrHistogram.decode(latency.hdr).get_percentile_to_value_dict(
        [100 * share for share in shares]
    )
    return [(share, latencies[100 * share] / 1000) for share in shares]


def thin(series: Sequence[float], maximum: int = 600) -> tuple[Series, int]:
    """Returns at most `maximum` means of equally long sections, and the number of values in each section."""
    by = max(1, -(-len(series) // maximum))
    sections = [series[i : i + by] for i in range(0, len(series), by)]
    return [sum(one) / len(one) for one in sections], by
