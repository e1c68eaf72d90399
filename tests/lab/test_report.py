"""The report: the page is self-contained and shows broken rules and faults; curves and windows show the measured
values."""

from __future__ import annotations

import io
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

import fake_engine
import msgspec
import pytest
from PIL import Image

from slatelab import results
from slatelab.engine import ProgressSnapshot
from slatelab.experiments.run import Job, run_with_records
from slatelab.report import page, plots, progress, view


@pytest.fixture
def result(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> results.Result:
    """A run in which a rule was broken and a proxy logged text that looks like a script."""
    fake_engine.install(monkeypatch)
    return run_with_records(
        Job(fake_engine.write_scenario(tmp_path), seed=1, overrides=(("proxy.attempts", 2),))
    ).result


def test_the_page_is_self_contained_and_names_the_broken_rule(result: results.Result, tmp_path: Path) -> None:
    path = page.write_report([(tmp_path, result)], tmp_path / "report")
    text = path.read_text()
    assert not re.search(r"https?:|<script|<link|@import|url\(", text)
    assert all(one.startswith("data:image/png;base64,") for one in re.findall(r'(?:src|href)="([^"]*)', text))
    assert "Rules broken: 1 times" in text and "answered-once o7.0" in text and "700.000  Asked" in text
    assert "&lt;script&gt;alert(1)" in text and "end of slow" in text
    assert text.count("<img ") == len(plots.PLOTS) == len(list((tmp_path / "report").glob("*.png")))


def test_plots_are_not_blank(result: results.Result, tmp_path: Path) -> None:
    full_view = view.build_view(result, view.load_figures(result, tmp_path))
    for name, (_, draw) in plots.PLOTS.items():
        for sides in (1, 2):
            image = Image.open(io.BytesIO(draw([full_view] * sides, ["a", "b"][:sides])))
            colours = image.convert("RGB").getcolors(1 << 24) or []
            assert image.width > 900 and len(colours) > 50, name


def test_a_run_without_orders_can_be_drawn(result: results.Result, tmp_path: Path) -> None:
    """Nothing was served and no node is known: no curve, no bar, an empty heat map."""
    full_view = view.build_view(result, view.load_figures(result, tmp_path))
    empty_view = replace(
        full_view, curves={}, nodes=[], work=[], held=[], attempts=[], faults=[], goodput=[None] * 10
    )
    for _, draw in plots.PLOTS.values():
        assert draw([empty_view], [""]).startswith(b"\x89PNG")


def test_two_results_show_their_differences(
    result: results.Result, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    slower = run_with_records(
        Job(fake_engine.write_scenario(tmp_path), seed=1, overrides=(("proxy.attempts", 1),))
    ).result
    text = page.write_report([(tmp_path, slower), (tmp_path, result)], tmp_path / "two").read_text()
    row = re.search(r"<tr><td>p50 \(ms\)</td>(.*?)</tr>", text)
    assert row and re.search(r'class="n better">-30.\d+ better', row[1])
    assert "A No rule was broken" in text and "B Rules broken" in text


def test_figures_of_another_version_are_refused(result: results.Result, tmp_path: Path) -> None:
    with pytest.raises(results.ResultReadError, match="figures"):
        page.write_report(
            [(tmp_path, msgspec.structs.replace(result, figures={"goodput": "high"}))], tmp_path / "report"
        )


def test_a_long_timeline_is_cut_but_keeps_the_faults(result: results.Result) -> None:
    lines = [results.Line(i, "p", "info", "t", "x") for i in range(400)]
    events, total = page.timeline(msgspec.structs.replace(result, log=lines, log_lines=9000))
    assert len(events) == page.MAX_EVENTS and total == 9002 and sum(event.fault for event in events) == 2


def test_the_latency_curve_is_the_histogram(result: results.Result, tmp_path: Path) -> None:
    latency = view.load_figures(result, tmp_path).latency
    points = view.curve(latency)
    for share, ms in ((0.5, latency.p50), (0.9, latency.p90)):
        latency_ms = next(value for point, value in points if point >= share - 1e-9)
        assert latency_ms == pytest.approx(ms, rel=0.02)
    assert points == sorted(points) and points[-1][0] == pytest.approx(1 - 1 / latency.count)


def test_the_window_drops_old_values_and_a_plain_line_comes_once_a_second() -> None:
    window = progress.SlidingWindow()
    for second in range(60):
        old = 900_000 if second < 50 else 10_000
        window.add(ProgressSnapshot(second * 1_000_000, 60_000_000, second * 7, latencies_us=(old, old)))
    assert window.stats() == progress.WindowStats(7.0, 10.0, 10.0)
    out, at = io.StringIO(), 0.0
    with progress.progress_display("day", out=out) as watch:
        assert isinstance(watch, progress._RateLimitedOutput)
        watch._clock = lambda: at
        for _ in range(20):
            at += 0.25
            watch(ProgressSnapshot(1_000_000, 2_000_000, 5, nodes=(("s-1", "down", 0),)))
    assert len(out.getvalue().splitlines()) == 5 and "nodes 1, 1 not as usual" in out.getvalue()


def test_the_table_lists_unusual_nodes_and_counts_the_rest() -> None:
    from rich.console import Console

    nodes = tuple((f"s-{i}", "warm", i) for i in range(40)) + (("s-[red]x", "down", 0),)
    out: Any = io.StringIO()
    Console(file=out, width=100).print(
        progress.table(ProgressSnapshot(1, 2, 5, nodes=nodes), progress.WindowStats(1.0, None, 2.0), "day")
    )
    text = out.getvalue()
    assert "s-[red]x" in text and "s-39" in text and "and 25 more" in text and "s-3 " not in text
