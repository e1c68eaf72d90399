"""The plots of a report: PNG bytes drawn from views. This module defines their colours (Okabe and Ito's palette, which
colour-blind people can distinguish; viridis for heat maps), axes and legends. It reads no files and opens no
windows."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from io import BytesIO
from typing import TYPE_CHECKING, Any

from .view import FaultInterval, Series, View, thin

if TYPE_CHECKING:
    from matplotlib.axes import Axes
    from matplotlib.figure import Figure

BLUE, ORANGE, GREEN, RED, PURPLE, SKY, YELLOW, BLACK = (
    "#0072B2",
    "#E69F00",
    "#009E73",
    "#D55E00",
    "#CC79A7",
    "#56B4E9",
    "#F0E442",
    "#222222",
)
CLASS_COLOURS = (BLUE, ORANGE, GREEN, PURPLE, SKY, RED, YELLOW)
FAULT_SHADE = "#8a8a8a"
DPI = 110
STYLE: dict[Any, Any] = {
    "font.size": 10,
    "axes.titlesize": 11,
    "axes.titleweight": "bold",
    "axes.titlelocation": "left",
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.grid": True,
    "grid.color": "#dddddd",
    "grid.linewidth": 0.6,
    "axes.axisbelow": True,
    "legend.frameon": False,
    "figure.facecolor": "white",
}
PERCENTILE_TICKS = (0.0, 0.5, 0.9, 0.99, 0.999, 0.9999, 0.99999)
MAX_HEAT_MAP_NODES = 400
LABEL_CHAR_WIDTH_IN = 0.075  # inches per character of a small label
MAX_ATTEMPTS = 20


@contextmanager
def _figure(rows: int, columns: int, height: float, **more: Any) -> Iterator[tuple[Figure, Any]]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    with matplotlib.rc_context(STYLE):
        width = 9.0 if columns == 1 else 13.0
        figure, axes = pyplot.subplots(
            rows, columns, figsize=(width, height), squeeze=False, layout="constrained", **more
        )
        try:
            yield figure, axes
        finally:
            pyplot.close(figure)


def _png(figure: Figure) -> bytes:
    out = BytesIO()
    figure.savefig(out, format="png", dpi=DPI, metadata={"Software": None})
    return out.getvalue()


# ---------------------------------------------------------------- orders and goodput over time


def day(views: Sequence[View], names: Sequence[str]) -> bytes:
    """Plots orders per second by outcome, and goodput, over time, with the faults shaded."""
    with _figure(
        3, len(views), 7.6, sharex=True, sharey="row", height_ratios=[_schedule_height(views), 3, 2]
    ) as (
        figure,
        axes,
    ):
        for i, view in enumerate(views):
            _schedule(axes[0][i], view)
            _rates(axes[1][i], view)
            _goodput(axes[2][i], view)
            axes[0][i].set_title(f"{names[i]}: orders over time" if names[i] else "Orders over time")
            for row in (1, 2):
                _shade(axes[row][i], view)
            axes[2][i].set_xlabel("time (s)")
        axes[1][0].set_ylabel("orders per second")
        axes[2][0].set_ylabel("goodput (%)")
        handles, labels = axes[1][0].get_legend_handles_labels()
        figure.legend(handles, labels, loc="outside lower center", ncols=6)
        return _png(figure)


def _schedule_height(views: Sequence[View]) -> float:
    """Returns the height of the fault schedule relative to 3 for the rates."""
    return 0.12 + 0.27 * min(max(len(_lanes(view.faults)) for view in views), 10)


def _lanes(faults: Sequence[FaultInterval]) -> list[list[FaultInterval]]:
    """Arranges the fault intervals in rows so that none overlaps another, each with room for its label."""
    lanes: list[list[FaultInterval]] = []
    for fault in sorted(faults, key=lambda one: one.begin):
        for lane in lanes:
            if lane[-1].end <= fault.begin and lane[-1].name == fault.name:
                lane.append(fault)
                break
        else:
            lanes.append([fault])
    return lanes


def _schedule(axes: Axes, view: View) -> None:
    """Draws a bar for each fault, with its name on it or beside it."""
    lanes = _lanes(view.faults)[:10]
    for y, lane in enumerate(lanes):
        for fault in lane:
            length = max(fault.end - fault.begin, view.duration * 0.004)
            axes.barh(y, length, left=fault.begin, height=0.7, color=PURPLE, alpha=0.75)
        _label(axes, view, lane, y)
    axes.set_ylim(max(len(lanes), 1) - 0.4, -0.6)
    axes.set_yticks([])
    axes.grid(False)
    for side in ("left", "bottom"):
        axes.spines[side].set_visible(False)
    axes.tick_params(axis="x", length=0)
    if not lanes:
        axes.text(0, 0, "no faults", va="center", fontsize=8, color="#666666")


def _label(axes: Axes, view: View, lane: Sequence[FaultInterval], y: int) -> None:
    """Puts the label after the last bar or before the first one if there is room, otherwise over the first one."""
    text = _lane_title(lane)
    label_width = view.duration * len(text) * LABEL_CHAR_WIDTH_IN * axes.figure.dpi / axes.bbox.width
    gap = view.duration * 0.006
    x, side, box = lane[0].begin + gap, "left", {"facecolor": "white", "alpha": 0.8, "lw": 0, "pad": 1}
    if lane[-1].end + label_width < view.duration:
        x, box = max(lane[-1].end, lane[-1].begin + view.duration * 0.004) + gap, {}
    elif lane[0].begin > label_width:
        x, side, box = lane[0].begin - gap, "right", {}
    axes.text(x, y, text, va="center", ha=side, fontsize=8, color=BLACK, bbox=box or None)


def _lane_title(lane: Sequence[FaultInterval]) -> str:
    kinds = list(dict.fromkeys(fault.kind for fault in lane))
    name = lane[0].name
    return (name if len(kinds) == 1 and name.startswith(kinds[0]) else f"{name} ({', '.join(kinds)})")[:48]


def _shade(axes: Axes, view: View) -> None:
    for fault in view.faults:
        axes.axvspan(
            fault.begin,
            max(fault.end, fault.begin + view.duration * 0.002),
            color=FAULT_SHADE,
            alpha=0.18,
            lw=0,
            zorder=0.4,
        )
    if view.warmup:
        axes.axvspan(
            0,
            view.warmup,
            facecolor="none",
            edgecolor="#bbbbbb",
            hatch="//",
            lw=0,
            label="warm-up, not counted",
        )


def _rates(axes: Axes, view: View) -> None:
    """Draws stacked rates; each order counts in the second of its first try."""
    parts = (
        ("served in time", view.served, BLUE),
        ("late", view.late, SKY),
        ("refused", view.refused, ORANGE),
        ("failed", view.failed, RED),
    )
    thinned = [thin(series) for _, series, _ in parts]
    by = thinned[0][1]
    edges = [float(i * by) for i in range(len(thinned[0][0]) + 1)]
    base = [0.0] * (len(edges) - 1)
    for (label, _, colour), (values, _) in zip(parts, thinned, strict=True):
        top = [low + value for low, value in zip(base, values, strict=True)]
        axes.stairs(top, edges, baseline=base, fill=True, color=colour, label=label, lw=0)
        base = top
    axes.stairs(thin(view.offered)[0], edges, color=BLACK, lw=1.0, label="asked for")
    axes.set_xlim(0, view.duration)
    axes.set_ylim(bottom=0)


def _goodput(axes: Axes, view: View) -> None:
    known = [math.nan if value is None else value * 100 for value in view.goodput]
    values, by = thin(known)
    axes.stairs(values, [float(i * by) for i in range(len(values) + 1)], baseline=None, color=BLUE, lw=1.4)
    axes.set_ylim(0, 104)


# ---------------------------------------------------------------- latency


def latency(views: Sequence[View], names: Sequence[str]) -> bytes:
    """Plots latency against 1/(1-p) on two log scales like HdrHistogram's plots, so that the tail takes as much room as
    the middle. Thin lines are the classes, the thick line is all orders; dashed lines are the classes' aims."""
    with _figure(1, len(views), 4.6, sharex=True, sharey=True) as (figure, axes):
        maximum = max(
            (share for view in views for curve in view.curves.values() for share, _ in curve if share < 1),
            default=0.9,
        )
        for i, view in enumerate(views):
            _curves(axes[0][i], view)
            axes[0][i].set_title(
                f"{names[i]}: latency of served orders" if names[i] else "Latency of served orders"
            )
            axes[0][i].set_xlabel("percentile")
            _percentiles(axes[0][i], maximum)
        axes[0][0].set_ylabel("latency (ms)")
        handles, labels = axes[0][0].get_legend_handles_labels()
        figure.legend(handles, labels, loc="outside lower center", ncols=min(len(labels), 5) or 1)
        return _png(figure)


def _curves(axes: Axes, view: View) -> None:
    for i, (name, curve) in enumerate(view.curves.items()):
        points = [(1 / (1 - share), ms) for share, ms in curve if share < 1 and ms > 0]
        if not points:
            continue
        is_total = name == "all"
        colour = BLACK if is_total else CLASS_COLOURS[(i - 1) % len(CLASS_COLOURS)]
        axes.plot(
            *zip(*points, strict=True),
            color=colour,
            lw=2.2 if is_total else 1.2,
            label=name,
            zorder=3 if is_total else 2,
        )
    for aim in sorted(set(view.aims.values())):
        axes.axhline(aim, color=RED, lw=1, ls=(0, (4, 3)), zorder=1)
        axes.annotate("aim", (1.04, aim), xytext=(0, 2), textcoords="offset points", fontsize=8, color=RED)


def _percentiles(axes: Axes, maximum: float) -> None:
    from matplotlib.ticker import FixedLocator, FuncFormatter, LogLocator, NullFormatter

    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlim(1, 1 / (1 - maximum) * 1.1 if maximum < 1 else 1e5)
    shown = [share for share in PERCENTILE_TICKS if share <= maximum] or [0.0]
    axes.xaxis.set_major_locator(FixedLocator([1 / (1 - share) for share in shown]))
    axes.xaxis.set_major_formatter(FuncFormatter(lambda x, _: f"{(1 - 1 / x) * 100:.6g} %"))
    axes.xaxis.set_minor_locator(FixedLocator([]))
    axes.yaxis.set_major_locator(LogLocator(10, (1.0, 2.0, 5.0)))
    axes.yaxis.set_major_formatter(FuncFormatter(lambda y, _: f"{y:g}"))
    axes.yaxis.set_minor_formatter(NullFormatter())


# ---------------------------------------------------------------- nodes


def work(views: Sequence[View], names: Sequence[str]) -> bytes:
    """Plots the work sent to each node over time; the scale ends at twice the node's capacity."""
    unit = "work sent to it, of what it can do"
    return _heat_maps(views, names, [view.work for view in views], "work sent to the nodes", unit, 2.0)


def held(views: Sequence[View], names: Sequence[str]) -> bytes:
    """Plots the attempts held by each node over time, which shows where they accumulate."""
    return _heat_maps(
        views, names, [view.held for view in views], "attempts held by the nodes", "attempts held", 1e9
    )


def _heat_maps(
    views: Sequence[View],
    names: Sequence[str],
    loads: Sequence[list[Series]],
    what: str,
    unit: str,
    maximum: float,
) -> bytes:
    """Draws heat maps with a row for each node and one scale for all."""
    from matplotlib.ticker import MaxNLocator

    rows = max(len(view.nodes) for view in views)
    height = min(2.2 + 0.16 * max(rows, 6), 14.0)
    top = min(max((value for load in loads for row in load for value in row), default=1.0) or 1.0, maximum)
    with _figure(1, len(views), height, sharex=True) as (figure, axes):
        for i, view in enumerate(views):
            image = _heat_map(axes[0][i], view, loads[i], top)
            axes[0][i].set_title(f"{names[i]}: {what}" if names[i] else what.capitalize())
            axes[0][i].set_xlabel("time (s)")
        bar = figure.colorbar(
            image, ax=list(axes[0]), pad=0.015, extend="max" if top == maximum else "neither"
        )
        bar.set_label(unit)
        bar.locator = MaxNLocator(6, integer=maximum > 100)
        bar.update_ticks()
        bar.outline.set_visible(False)
        return _png(figure)


def _heat_map(axes: Axes, view: View, load: list[Series], top: float) -> Any:
    import numpy

    shown = load[:MAX_HEAT_MAP_NODES]
    thinned = [thin(row) for row in shown] or [([0.0], 1)]
    by = thinned[0][1] * view.step
    image = axes.imshow(
        numpy.array([row for row, _ in thinned]),
        aspect="auto",
        interpolation="nearest",
        cmap="viridis",
        vmin=0,
        vmax=top,
        extent=(0, len(thinned[0][0]) * by, len(thinned) - 0.5, -0.5),
    )
    axes.grid(False)
    axes.set_xlim(0, min(view.duration, len(thinned[0][0]) * by))
    label_step = max(1, -(-len(shown) // 40))
    axes.set_yticks(
        range(0, len(shown), label_step),
        [name[:24] for name in view.nodes[:MAX_HEAT_MAP_NODES:label_step]],
        fontsize=7,
    )
    for fault in view.faults:
        for edge in (fault.begin, fault.end):
            axes.axvline(edge, color="white", lw=0.8, ls=":", alpha=0.8)
    return image


# ---------------------------------------------------------------- attempts


def attempts(views: Sequence[View], names: Sequence[str]) -> bytes:
    """Plots the share of the clients' tries by number of attempts, on a log scale, since the few tries with many
    attempts matter."""
    maximum = min(max(1, *(len(view.attempts) - 1 for view in views)), MAX_ATTEMPTS)
    with _figure(1, 1, 3.4) as (figure, axes):
        for i, view in enumerate(views):
            _bars(axes[0][0], view, maximum, names[i], i, len(views))
        _attempt_axes(axes[0][0], maximum)
        if len(views) > 1:
            figure.legend(loc="outside lower center", ncols=len(views))
        return _png(figure)


def _bars(axes: Axes, view: View, maximum: int, name: str, i: int, of: int) -> None:
    total = sum(view.attempts) or 1
    width = 0.8 / of
    left = [n - 0.4 + width * (i + 0.5) for n in range(maximum + 1)]
    counts = [*(view.attempts[:maximum] + [0] * maximum)[:maximum], sum(view.attempts[maximum:])]
    bars = axes.bar(
        left, [100 * c / total for c in counts], width * 0.94, color=(BLUE, ORANGE)[i % 2], label=name or None
    )
    axes.bar_label(bars, [_percent(c / total) if c else "" for c in counts], fontsize=8, padding=2)


def _percent(share: float) -> str:
    return f"{share * 100:.3g} %"


def _attempt_axes(axes: Axes, maximum: int) -> None:
    from matplotlib.ticker import FuncFormatter, NullFormatter

    axes.set_ylim(_lowest_tick(axes), 300)
    axes.set_yscale("log")
    axes.yaxis.set_major_formatter(FuncFormatter(lambda y, _: f"{y:g}" if y <= 100 else ""))
    axes.yaxis.set_minor_formatter(NullFormatter())
    axes.set_xticks(
        range(maximum + 1),
        [*map(str, range(maximum)), f"{maximum}" if maximum < MAX_ATTEMPTS else f"{maximum}+"],
    )
    axes.grid(False, axis="x")
    axes.set_xlabel("attempts at nodes of the first tier for one try of a client")
    axes.set_ylabel("tries (%)")
    axes.set_title("Attempts per try")


def _lowest_tick(axes: Any) -> float:
    """Returns half of the lowest bar's height, so that this bar is visible."""
    heights = [patch.get_height() for patch in axes.patches if patch.get_height() > 0]
    return float(min([1.0, *heights])) / 2


PLOTS: dict[str, tuple[str, Callable[[Sequence[View], Sequence[str]], bytes]]] = {
    "day": ("Orders and goodput over time, with the faults", day),
    "latency": ("Latency by percentile", latency),
    "work": ("Work sent to each node over time", work),
    "held": ("Attempts held by each node over time", held),
    "attempts": ("Attempts per try of a client", attempts),
}
