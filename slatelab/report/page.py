"""The page of a report: one HTML file with embedded plots, and the same plots as PNG files beside it. This module
defines the layout and bounds the size of the page. The page repeats the verdict of the result and refers to nothing
outside itself."""

from __future__ import annotations

import base64
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from slatelab import results
from slatelab.experiments.run import Summary, summarise
from slatelab.experiments.statistics import FIGURES
from slatelab.results import Result

from . import view as views

if TYPE_CHECKING:
    from slatelab.figures import Figures

MAX_EVENTS = 300  # lines of the timeline
MAX_CHANGES_CHARS = 40  # of the changed settings in a title
MAX_TARGETS = 12  # targets listed in one line of the timeline
SIDE_NAMES = ("A", "B")


@dataclass(frozen=True, slots=True)
class Side:
    """A result prepared for the page; `name` and `title` are "" if there is only one."""

    name: str
    title: str
    result: Result
    figures: Figures
    summary: Summary


@dataclass(frozen=True, slots=True)
class Event:
    """A line of the timeline: `t` in seconds."""

    t: float
    source: str
    what: str
    text: str
    fault: bool


def write_report(loaded: Sequence[tuple[Path, Result]], target: Path) -> Path:
    """Writes index.html and the PNG files into a folder, and returns the page's path. One result or two.
    Raises results.ResultReadError and results.ResultWriteError."""
    sides = _sides(loaded)
    with results.convert_write_errors(target):
        target.mkdir(parents=True, exist_ok=True)
    pictures = _pictures(sides)
    with results.convert_write_errors(target):
        for name, (_, data) in pictures.items():
            (target / f"{name}.png").write_bytes(data)
        (target / "index.html").write_text(html(sides, pictures), encoding="utf-8")
    return target / "index.html"


def _sides(loaded: Sequence[tuple[Path, Result]]) -> list[Side]:
    """Prepares the results. The titles of two results list everything in which they differ."""
    traits = [
        (one.scenario, one.engine, f"seed {one.seed}", one.tested[:12], _changes_text(one))
        for _, one in loaded
    ]
    differ = [len(set(column)) > 1 for column in zip(*traits, strict=True)]
    sides = []
    for i, (folder, one) in enumerate(loaded):
        name = SIDE_NAMES[i] if len(loaded) > 1 else ""
        title = ", ".join(
            [name, *(trait for trait, yes in zip(traits[i], differ, strict=True) if yes and trait)]
        )
        figures = views.load_figures(one, folder)
        sides.append(Side(name, title, one, figures, summarise(one, figures)))
    return sides


def _changes_text(one: Result) -> str:
    text = " ".join(f"{key}={value}" for key, value in one.changes.items())
    return text if len(text) <= MAX_CHANGES_CHARS else f"{text[:MAX_CHANGES_CHARS]}..."


def _pictures(sides: Sequence[Side]) -> dict[str, tuple[str, bytes]]:
    from .plots import PLOTS

    shown = [views.build_view(side.result, side.figures) for side in sides]
    titles = [side.title for side in sides]
    return {name: (title, draw(shown, titles)) for name, (title, draw) in PLOTS.items()}


def html(sides: Sequence[Side], pictures: dict[str, tuple[str, bytes]]) -> str:
    """Returns the page as text; everything from a result is escaped."""
    import jinja2

    loader = jinja2.FileSystemLoader(Path(__file__).parent)
    environment = jinja2.Environment(
        loader=loader, autoescape=True, undefined=jinja2.StrictUndefined, trim_blocks=True, lstrip_blocks=True
    )
    return environment.get_template("page.html").render(
        title=" and ".join(dict.fromkeys(side.result.scenario for side in sides)),
        sides=sides,
        numbers=numbers(sides),
        pictures=[(title, base64.b64encode(data).decode()) for title, data in pictures.values()],
        timelines=[(side, *timeline(side.result)) for side in sides],
        percent=_percent,
        ms=_ms,
    )


# ---------------------------------------------------------------- figures


def numbers(sides: Sequence[Side]) -> list[tuple[str, list[str], str, str]]:
    """Returns rows of title, a value for each side, the difference b - a, and whether it is "better" or "worse" (or
    ""). A single run of each side says nothing about chance; the command `compare` does."""
    rows = [_row(sides, figure.key, _title(figure), figure) for figure in FIGURES]
    return [*rows, *_extra_rows(sides)]


def _title(figure: Any) -> str:
    return f"{figure.title} ({figure.unit})" if figure.unit else figure.title


def _row(sides: Sequence[Side], key: str, title: str, figure: Any) -> tuple[str, list[str], str, str]:
    values = [side.summary.scalar(key) for side in sides]
    shown = [figure.format(value) for value in values]
    if len(values) < 2 or values[0] is None or values[1] is None:
        return title, shown, "", ""
    delta = values[1] - values[0]
    direction = (
        ""
        if figure.format(abs(delta)) == figure.format(0.0)
        else "better"
        if (delta > 0) == figure.higher_is_better
        else "worse"
    )
    return title, shown, figure.format(delta, True), direction


def _extra_rows(sides: Sequence[Side]) -> list[tuple[str, list[str], str, str]]:
    """Returns rows of figures that are neither better nor worse, or too coarse for a difference."""
    of = [side.figures for side in sides]
    rows = {
        "orders counted": [str(one.requests) for one in of],
        "served in time / late": [f"{one.in_time} / {one.late}" for one in of],
        "refused / failed": [f"{one.refused} / {one.failed}" for one in of],
        "tries per order": ["-" if one.tries is None else f"{one.tries:.3f}" for one in of],
        "p90 / p99.9 (ms)": [
            f"{_ms(one.latency.p90)} / {_ms(one.latency.p999)}" if one.latency.count else "-" for one in of
        ],
        "worst class": [_worst(one.worst_class) for one in of],
        "worst tenant": [_worst(one.worst_tenant) for one in of],
        "worst seconds": [
            f"{one.worst_window.start} to {one.worst_window.start + one.worst_window.seconds} s:"
            f" {_percent(one.worst_window.goodput)}"
            if one.worst_window
            else "-"
            for one in of
        ],
    }
    return [(title, shown, "", "") for title, shown in rows.items()]


def _worst(one: Any) -> str:
    return f"{one.name} {_percent(one.goodput)}" if one else "-"


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{share * 100:.2f} %"


def _ms(value: float) -> str:
    return f"{value:.1f}" if value < 1000 else f"{value:.0f}"


# ---------------------------------------------------------------- timeline


def timeline(result: Result) -> tuple[list[Event], int]:
    """Returns the faults and the proxies' log lines in order of time, and the number of all. At most MAX_EVENTS are
    returned; faults take precedence over log lines."""
    faults = [event for trouble in result.troubles for event in _edges(trouble)]
    lines = [
        Event(one.t / 1e6, one.proxy, f"{one.level} {one.topic}".strip(), one.text, False)
        for one in result.log
    ]
    shown = [*faults, *lines][:MAX_EVENTS]
    return sorted(shown, key=lambda event: event.t), len(faults) + result.log_lines


def _edges(trouble: results.Trouble) -> Iterator[Event]:
    targets = ", ".join(trouble.targets[:MAX_TARGETS])
    if (more := len(trouble.targets) - MAX_TARGETS) > 0:
        targets += f" and {more} more"
    yield Event(trouble.begin / 1e6, trouble.name, trouble.kind, targets, True)
    if trouble.end is not None and trouble.end > trouble.begin:
        yield Event(trouble.end / 1e6, trouble.name, f"end of {trouble.kind}", targets, True)
