"""The table shown during a run, and the plain lines printed instead if there is no terminal. This module computes the
figures of the last seconds and defines the layout. It draws at most a few times per second of real time, so that it
does not slow the run."""

from __future__ import annotations

import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, TextIO

from slatelab.engine import ProgressCallback, ProgressSnapshot

if TYPE_CHECKING:
    from rich.table import Table

WINDOW_US = 5_000_000  # in the run's time
MAX_SAMPLES = 20_000  # latencies
REDRAW_INTERVAL_S = 0.2
LINE_INTERVAL_S = 1.0
MAX_ROWS = 16  # nodes listed
STATE_COLOURS = {"warm": "green", "cold": "cyan", "draining": "yellow", "down": "red"}


@dataclass(frozen=True, slots=True)
class WindowStats:
    """Figures of the last seconds: rate in orders per second, latencies in ms (None if nothing was served)."""

    rate: float
    p50: float | None
    p99: float | None


class SlidingWindow:
    """The snapshots of the last WINDOW_US of the run's time, and at most MAX_SAMPLES latencies."""

    def __init__(self) -> None:
        self._snapshots: deque[tuple[int, int]] = deque()  # t, orders so far
        self._latencies: deque[tuple[int, int]] = deque(maxlen=MAX_SAMPLES)

    def add(self, snapshot: ProgressSnapshot) -> None:
        self._snapshots.append((snapshot.t, snapshot.asked))
        self._latencies.extend((snapshot.t, us) for us in snapshot.latencies_us)
        for queue in (self._snapshots, self._latencies):
            while len(queue) > 1 and queue[0][0] < snapshot.t - WINDOW_US:
                queue.popleft()

    def stats(self) -> WindowStats:
        (first, before), (last, asked) = self._snapshots[0], self._snapshots[-1]
        served = sorted(us for _, us in self._latencies)
        rate = (asked - before) * 1e6 / (last - first) if last > first else 0.0
        return WindowStats(rate, _rank(served, 0.5), _rank(served, 0.99))


def _rank(served: list[int], share: float) -> float | None:
    return served[min(int(share * len(served)), len(served) - 1)] / 1000 if served else None


def line(snapshot: ProgressSnapshot, stats: WindowStats) -> str:
    """Returns the snapshot as one plain line."""
    not_warm = sum(state != "warm" for _, state, _ in snapshot.nodes)
    return (
        f"{snapshot.t / 1e6:8.1f} s  {stats.rate:7.1f}/s  served {snapshot.served}"
        f"  refused {snapshot.refused}  failed {snapshot.failed}"
        f"  p50 {_ms(stats.p50)}  p99 {_ms(stats.p99)}  nodes {len(snapshot.nodes)}, {not_warm} not as usual"
    )


def table(snapshot: ProgressSnapshot, stats: WindowStats, title: str) -> Table:
    """Returns the table for a terminal."""
    from rich.table import Table

    done = min(snapshot.t / snapshot.last_arrival_at, 1.0) if snapshot.last_arrival_at else 1.0
    grid = Table.grid(padding=(0, 1))
    grid.title = f"{title}   {snapshot.t / 1e6:.1f} of {snapshot.last_arrival_at / 1e6:.0f} s ({done:.0%})"
    grid.title_justify = "left"
    grid.add_row(_figures(snapshot, stats))
    if snapshot.nodes:
        grid.add_row(_nodes(snapshot))
    return grid


def _figures(snapshot: ProgressSnapshot, stats: WindowStats) -> Table:
    from rich.table import Table

    figures = Table(show_edge=False, pad_edge=False)
    cells = (
        ("orders/s", f"{stats.rate:.1f}", ""),
        ("orders", f"{snapshot.asked}", ""),
        ("served", f"{snapshot.served}", "green"),
        ("refused", f"{snapshot.refused}", "yellow"),
        ("failed", f"{snapshot.failed}", "red"),
        ("p50", _ms(stats.p50), ""),
        ("p99", _ms(stats.p99), ""),
    )
    for title, _, style in cells:
        figures.add_column(title, justify="right", style=style, min_width=7)
    figures.add_row(*(text for _, text, _ in cells))
    return figures


def _nodes(snapshot: ProgressSnapshot) -> Table:
    """Lists nodes that are not warm first, then those that hold the most attempts; the others are only counted."""
    from rich.markup import escape
    from rich.table import Table

    ordered = sorted(snapshot.nodes, key=lambda one: (one[1] == "warm", -one[2], one[0]))
    nodes = Table(show_edge=False, pad_edge=False)
    for title in ("node", "state"):
        nodes.add_column(title, min_width=9)
    nodes.add_column("held", justify="right", min_width=5)
    nodes.add_column("", min_width=32)
    for node, state, held in ordered[:MAX_ROWS]:
        style = STATE_COLOURS.get(state, "magenta")
        nodes.add_row(escape(node), f"[{style}]{escape(state)}[/]", str(held), "█" * min(held, 32))
    if more := len(ordered) - MAX_ROWS:
        if more > 0:
            nodes.add_row(f"and {more} more", "", str(sum(held for _, _, held in ordered[MAX_ROWS:])), "")
    return nodes


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f} ms" if value < 1000 else f"{value / 1000:.2f} s"


@contextmanager
def progress_display(
    title: str, brief: bool = False, out: TextIO | None = None
) -> Iterator[ProgressCallback]:
    """Yields a progress callback for an engine. If `out` (default: standard error) is a terminal, it shows the table,
    or one line if `brief`, and updates it in place; otherwise it prints a plain line per second."""
    out = out or sys.stderr
    if not out.isatty():
        yield _RateLimitedOutput(
            LINE_INTERVAL_S,
            time.monotonic,
            lambda snapshot, stats: print(line(snapshot, stats), file=out, flush=True),
        )
        return
    from rich.console import Console
    from rich.live import Live

    def draw(snapshot: ProgressSnapshot, stats: WindowStats) -> None:
        live.update(line(snapshot, stats) if brief else table(snapshot, stats, title), refresh=True)

    with Live(console=Console(file=out), auto_refresh=False, transient=brief) as live:
        output = _RateLimitedOutput(REDRAW_INTERVAL_S, time.monotonic, draw)
        yield output
        output.draw_last()


class _RateLimitedOutput:
    """Adds each snapshot to the window, and draws at most once per `interval_s` seconds of real time, the first time at
    once."""

    def __init__(
        self,
        interval_s: float,
        clock: Callable[[], float],
        draw: Callable[[ProgressSnapshot, WindowStats], None],
    ) -> None:
        self._window, self._interval_s, self._clock, self._draw = SlidingWindow(), interval_s, clock, draw
        self._due = 0.0
        self._snapshot: ProgressSnapshot | None = None

    def __call__(self, snapshot: ProgressSnapshot) -> None:
        self._window.add(snapshot)
        self._snapshot = snapshot
        if (at := self._clock()) >= self._due:
            self._due = at + self._interval_s
            self._draw(snapshot, self._window.stats())

    def draw_last(self) -> None:
        """Draws the final state, which may have arrived between two redraws."""
        if self._snapshot:
            self._draw(self._snapshot, self._window.stats())
