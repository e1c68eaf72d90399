"""Formats results as text and tables for a terminal. This module neither runs nor reads anything."""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING

from slatelab.experiments.run import Summary
from slatelab.experiments.statistics import FIGURES, Figure, Interval

if TYPE_CHECKING:
    from rich.console import Console
    from rich.table import Table

    from slatelab.experiments.compare import Comparison
    from slatelab.experiments.sweep import Table as Sweep

DEFAULT_WIDTH = 200  # columns if the output is not a terminal, so that nothing is folded in a file
COLOURS = {"better": "green", "worse": "red", "cannot tell": "default"}


def console() -> Console:
    """Returns a console on standard output that prints text unchanged."""
    from rich.console import Console

    width = None if sys.stdout.isatty() else DEFAULT_WIDTH
    return Console(file=sys.stdout, width=width, highlight=False, markup=False, emoji=False)


def percent(share: float | None) -> str:
    """Formats a share in percent; "-" if there is none."""
    return "-" if share is None else f"{share * 100:.2f} %"


def ms(value: float | None) -> str:
    """Formats milliseconds; "-" if there are none."""
    return "-" if value is None else f"{value:.1f} ms"


def number(value: float | None) -> str:
    """Formats a number with three decimals; "-" if there is none."""
    return "-" if value is None else f"{value:.3f}"


def summary(one: Summary, tested: str) -> list[str]:
    """Returns the lines that describe a run."""
    quantiles = "  ".join(f"{key} {ms(value)}" for key, value in one.latency_ms.items())
    lines = [
        f"{one.scenario}, engine {one.engine}, seed {one.seed}, slatehub {tested[:12]}",
        f"goodput {percent(one.goodput)}  (worst class {percent(one.worst_class)}, worst tenant"
        f" {percent(one.worst_tenant)}, worst 10 s {percent(one.worst_window)})",
        f"orders {one.requests}  served {one.served}  refused {one.refused}  failed {one.failed}",
        f"attempts {number(one.attempts)} and tries {number(one.tries)} an order",
        f"wasted work {percent(one.wasted)}",
        f"latency {quantiles}",
    ]
    return [*lines, *verdict(one)]


def verdict(one: Summary) -> list[str]:
    """Returns the lines on broken rules: their counts and the first violations."""
    if not one.violations:
        return ["no rule was broken"]
    counts = ", ".join(f"{rule} {count}" for rule, count in one.rules.items())
    return [f"RULES BROKEN: {one.violations} times ({counts})", *(f"  {line}" for line in one.first)]


def sweep(whole: Sweep) -> Table:
    """Returns a table with a row for each cell: the means, and the intervals below them."""
    from rich.table import Table

    table = Table(
        title=f"{whole.scenario}, engine {whole.engine}: mean and 95 % interval", title_justify="left"
    )
    for key in whole.vary:
        table.add_column(key)
    for title in ("seeds", "broken", *(figure_title(figure) for figure in FIGURES)):
        table.add_column(title, justify="right")
    for row in whole.rows:
        cells = [format_interval(figure, row.figures[figure.key]) for figure in FIGURES]
        table.add_row(*map(str, row.settings.values()), str(row.seeds), str(row.violations), *cells)
    return table


def figure_title(figure: Figure) -> str:
    """Returns the title with the unit, if there is one."""
    return f"{figure.title} ({figure.unit})" if figure.unit else figure.title


def format_interval(figure: Figure, ci: Interval, sign: bool = False) -> str:
    """Returns the mean, and the ends of its interval on a second line; "-" if there are no values."""
    if not ci.n:
        return "-"
    return f"{figure.format(ci.mean, sign)}\n{figure.format(ci.low, sign)} to {figure.format(ci.high, sign)}"


def comparison(whole: Comparison) -> Table:
    """Returns a table with a row for each figure."""
    from rich.table import Table
    from rich.text import Text

    title = f"{whole.scenario}, engine {whole.engine}: {whole.b} against {whole.a}, {len(whole.seeds)} seeds"
    table = Table(title=title, title_justify="left")
    table.add_column("figure")
    for column in (f"a: {whole.a}", f"b: {whole.b}", "b - a", "95 % interval"):
        table.add_column(column, justify="right")
    table.add_column("b is")
    for figure, line in zip(FIGURES, whole.lines, strict=True):
        interval = line.difference
        ends = (
            f"{figure.format(interval.low, True)} to {figure.format(interval.high, True)}"
            if interval.n
            else "-"
        )
        table.add_row(
            figure_title(figure), figure.format(line.a), figure.format(line.b), figure.format(interval.mean, True),
            ends, Text(line.verdict, style=COLOURS[line.verdict]),
        )  # fmt: skip
    return table


@contextmanager
def bar(title: str, total: int, quiet: bool) -> Iterator[Callable[[], None]]:
    """Shows a progress bar on standard error and yields the function that advances it by one. Nothing is shown if
    standard error is not a terminal."""
    if quiet or not sys.stderr.isatty():
        yield lambda: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    with Progress(*columns, console=Console(file=sys.stderr)) as progress:
        task = progress.add_task(title, total=total)
        yield lambda: progress.advance(task)


def say(lines: Sequence[str]) -> None:
    """Prints lines on standard output."""
    import click

    for line in lines:
        click.echo(line)
