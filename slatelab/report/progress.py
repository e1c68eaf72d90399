"""The table shown while a run goes on, and its plain stand-in where there is no terminal. It owns the window
of the last seconds and the layout. It must never slow a run: it draws a few times a second of real time at
the most."""

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

WINDOW_US = 5_000_000  # of the run's time
SAMPLES = 20_000
DRAW_S = 0.2
LINE_S = 1.0
ROWS = 16
MARKS = {"warm": "green", "cold": "cyan", "draining": "yellow", "down": "red"}


@dataclass(frozen=True, slots=True)
class WindowStats:
    """What the last seconds were like: rate in orders a second, latencies in ms, None where nothing was
    served."""

    rate: float
    p50: float | None
    p99: float | None


class SlidingWindow:
    """The ticks of the last WINDOW_US of the run's time, and at most SAMPLES latencies."""

    def __init__(self) -> None:
        self._ticks: deque[tuple[int, int]] = deque()  # t, orders so far
        self._latencies: deque[tuple[int, int]] = deque(maxlen=SAMPLES)

    def add(self, tick: ProgressSnapshot) -> None:
        self._ticks.append((tick.t, tick.asked))
        self._latencies.extend((tick.t, us) for us in tick.latencies_us)
        for queue in (self._ticks, self._latencies):
            while len(queue) > 1 and queue[0][0] < tick.t - WINDOW_US:
                queue.popleft()

    def stats(self) -> WindowStats:
        (first, before), (last, asked) = self._ticks[0], self._ticks[-1]
        served = sorted(us for _, us in self._latencies)
        rate = (asked - before) * 1e6 / (last - first) if last > first else 0.0
        return WindowStats(rate, _rank(served, 0.5), _rank(served, 0.99))


def _rank(served: list[int], share: float) -> float | None:
    return served[min(int(share * len(served)), len(served) - 1)] / 1000 if served else None


def line(tick: ProgressSnapshot, now: WindowStats) -> str:
    """The stand-in: one plain line."""
    away = sum(state != "warm" for _, state, _ in tick.nodes)
    return (
        f"{tick.t / 1e6:8.1f} s  {now.rate:7.1f}/s  served {tick.served}"
        f"  refused {tick.refused}  failed {tick.failed}"
        f"  p50 {_ms(now.p50)}  p99 {_ms(now.p99)}  nodes {len(tick.nodes)}, {away} not as usual"
    )


def table(tick: ProgressSnapshot, now: WindowStats, title: str) -> Table:
    """The whole picture for a terminal."""
    from rich.table import Table

    done = min(tick.t / tick.last_arrival_at, 1.0) if tick.last_arrival_at else 1.0
    whole = Table.grid(padding=(0, 1))
    whole.title = f"{title}   {tick.t / 1e6:.1f} of {tick.last_arrival_at / 1e6:.0f} s ({done:.0%})"
    whole.title_justify = "left"
    whole.add_row(_figures(tick, now))
    if tick.nodes:
        whole.add_row(_nodes(tick))
    return whole


def _figures(tick: ProgressSnapshot, now: WindowStats) -> Table:
    from rich.table import Table

    figures = Table(show_edge=False, pad_edge=False)
    cells = (
        ("orders/s", f"{now.rate:.1f}", ""),
        ("orders", f"{tick.asked}", ""),
        ("served", f"{tick.served}", "green"),
        ("refused", f"{tick.refused}", "yellow"),
        ("failed", f"{tick.failed}", "red"),
        ("p50", _ms(now.p50), ""),
        ("p99", _ms(now.p99), ""),
    )
    for title, _, style in cells:
        figures.add_column(title, justify="right", style=style, min_width=7)
    figures.add_row(*(text for _, text, _ in cells))
    return figures


def _nodes(tick: ProgressSnapshot) -> Table:
    """Those not as usual first, then the fullest; the rest is counted."""
    from rich.markup import escape
    from rich.table import Table

    order = sorted(tick.nodes, key=lambda one: (one[1] == "warm", -one[2], one[0]))
    nodes = Table(show_edge=False, pad_edge=False)
    for title in ("node", "state"):
        nodes.add_column(title, min_width=9)
    nodes.add_column("held", justify="right", min_width=5)
    nodes.add_column("", min_width=32)
    for node, state, held in order[:ROWS]:
        style = MARKS.get(state, "magenta")
        nodes.add_row(escape(node), f"[{style}]{escape(state)}[/]", str(held), "█" * min(held, 32))
    if more := len(order) - ROWS:
        if more > 0:
            nodes.add_row(f"and {more} more", "", str(sum(held for _, _, held in order[ROWS:])), "")
    return nodes


def _ms(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f} ms" if value < 1000 else f"{value / 1000:.2f} s"


@contextmanager
def progress_display(
    title: str, brief: bool = False, out: TextIO | None = None
) -> Iterator[ProgressCallback]:
    """A watch for an engine. Where `out` (standard error if not given) is a terminal it shows the table, or
    with `brief` one line, in place; else a plain line a second."""
    out = out or sys.stderr
    if not out.isatty():
        yield _RateLimitedOutput(
            LINE_S, time.monotonic, lambda tick, now: print(line(tick, now), file=out, flush=True)
        )
        return
    from rich.console import Console
    from rich.live import Live

    def draw(tick: ProgressSnapshot, now: WindowStats) -> None:
        live.update(line(tick, now) if brief else table(tick, now, title), refresh=True)

    with Live(console=Console(file=out), auto_refresh=False, transient=brief) as live:
        paced = _RateLimitedOutput(DRAW_S, time.monotonic, draw)
        yield paced
        paced.last()


class _RateLimitedOutput:
    """Takes each tick into the window, draws no oftener than `every_s` of real time, the first one at
    once."""

    def __init__(
        self,
        every_s: float,
        clock: Callable[[], float],
        draw: Callable[[ProgressSnapshot, WindowStats], None],
    ) -> None:
        self._window, self._every_s, self._clock, self._draw = SlidingWindow(), every_s, clock, draw
        self._due = 0.0
        self._tick: ProgressSnapshot | None = None

    def __call__(self, tick: ProgressSnapshot) -> None:
        self._window.add(tick)
        self._tick = tick
        if (at := self._clock()) >= self._due:
            self._due = at + self._every_s
            self._draw(tick, self._window.stats())

    def last(self) -> None:
        """The end of the run, which may have come between two looks."""
        if self._tick:
            self._draw(self._tick, self._window.stats())
