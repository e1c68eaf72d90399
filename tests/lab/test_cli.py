"""The command line: what is printed where, and the exit code of each way a command can end."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import fake_engine
import pytest
from click.testing import CliRunner, Result

from slatelab.cli.group import group
from slatelab.engine import InvalidRunError


def call(*words: object) -> Result:
    return CliRunner().invoke(group, [str(word) for word in words])


@pytest.fixture
def day(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    fake_engine.install(monkeypatch)
    monkeypatch.setenv("SLATELAB_RESULTS", str(tmp_path / "results"))
    return fake_engine.write(tmp_path)


def test_a_good_run_says_its_figures_and_writes_them(day: Path, tmp_path: Path) -> None:
    out = tmp_path / "one.json"
    said = call("run", day, "--seed", 7, "--json", out, "--set", "proxy.attempts=3")
    assert said.exit_code == 0 and "goodput 90.00 %" in said.stdout and "no rule was broken" in said.stdout
    one = json.loads(out.read_text())
    assert (one["goodput"], one["violations"], one["requests"], one["served"], one["refused"]) == (
        0.9,
        0,
        90,
        81,
        9,
    )
    assert one["seed"] == 7 and one["engine"] == "model" and len(one["trace_sha256"]) == 64
    assert list(one["latency_ms"]) == ["p50", "p90", "p99", "p999"] and 20 < one["latency_ms"]["p50"] < 60
    assert json.loads((Path(one["result"]) / "result.json").read_text())["changes"] == {"proxy.attempts": 3}
    assert call("run", day, "--quiet").output == ""


def test_a_broken_rule_is_1_and_its_history_is_shown(day: Path, tmp_path: Path) -> None:
    said = call("run", day, "--set", "proxy.attempts=2", "--quiet")
    assert said.exit_code == 1 and "answered-once 1" in said.stderr
    (folder,) = (tmp_path / "results").iterdir()
    assert "Answered" in call("show", folder).stdout
    listed = call("list")
    assert listed.exit_code == 0 and folder.name in listed.stdout


@pytest.mark.parametrize(
    ("old", "new", "said"),
    [
        ('rate = "10/s"', 'rate = "10"', "day.toml: arrivals.0.rate: has the wrong unit"),
        ("nodes = 2", "nodes = 2\ncores = 0", "day.toml: tier.0.kind.0.cores: "),
        ("nodes = 2", "nods = 2", "day.toml: tier.0.kind.0.nods: is not a key of this format"),
        ('rate = "10/s"', 'rate = "900/s"', "say scenario.overload = true"),
        ("[scenario]", "[scenario", "day.toml: cannot be read"),
    ],
)
def test_check_and_run_name_file_key_and_reason(day: Path, old: str, new: str, said: str) -> None:
    fake_engine.write(day.parent, fake_engine.DAY.replace(old, new))
    for command in ("check", "run"):
        got = call(command, day)
        assert got.exit_code == 2 and said in got.stderr and "Traceback" not in got.stderr


def test_check_goes_through_all_files(day: Path) -> None:
    got = call("check", day.parent / "none.toml", day)
    assert got.exit_code == 2 and "none.toml: cannot be read" in got.stderr and "day.toml: well" in got.stdout


@pytest.mark.parametrize(
    ("problem", "code", "said"),
    [
        (InvalidRunError("the load ran late"), 3, "slatelab: the load ran late\n"),
        (
            OSError(24, "Too many open files"),
            3,
            "slatelab: the run broke off: OSError: [Errno 24] Too many open files\n",
        ),
        (KeyboardInterrupt(), 130, "slatelab: interrupted\n"),
    ],
)
def test_a_run_that_cannot_be_trusted(
    day: Path, monkeypatch: pytest.MonkeyPatch, problem: BaseException, code: int, said: str
) -> None:
    def dies(*args: Any) -> Any:
        raise problem

    fake_engine.install(monkeypatch, dies)
    got = call("run", day)
    assert (got.exit_code, got.stderr) == (code, said)


def test_a_fault_of_the_lab_is_not_taken_for_a_broken_rule(
    day: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_engine.install(monkeypatch, lambda *args: 1 / 0)
    got = call("run", day)
    assert got.exit_code == 3 and "ZeroDivisionError" in got.stderr


def test_results_that_cannot_be_written(day: Path, tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    for place in (tmp_path / "file", "/proc/no/such"):
        got = call("run", day, "--out", place)
        assert got.exit_code == 3 and got.stderr.startswith("slatelab: results cannot be written to")
    got = call("run", day, "--drop", "--json", tmp_path / "none" / "x.json")
    assert got.exit_code == 3


def test_a_sweep_prints_and_writes_a_line_a_cell(day: Path, tmp_path: Path) -> None:
    got = call("sweep", day, "--vary", "proxy.attempts=1,3", "--seeds", "1-3,9", "--jobs", 1)
    assert got.exit_code == 0, got.output
    (folder,) = (tmp_path / "results").iterdir()
    assert (
        folder.name.endswith("-made-up-model-sweep")
        and len((folder / "sweep.csv").read_text().splitlines()) == 3
    )
    rows = json.loads((folder / "sweep.json").read_text())["rows"]
    assert [row["settings"]["proxy.attempts"] for row in rows] == [1, 3]
    assert rows[0]["figures"]["p50_ms"]["mean"] > rows[1]["figures"]["p50_ms"]["mean"] + 25
    assert not call("list").stderr  # a sweep is no broken result


def test_a_sweep_reads_every_cell_before_the_first_run(day: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fake_engine.install(monkeypatch, lambda *args: pytest.fail("it ran"))
    got = call("sweep", day, "--vary", "proxy.attempts=1,99", "--jobs", 1)
    assert got.exit_code == 2 and "proxy.attempts: Input should be less than" in got.stderr
    assert call("sweep", day, "--seeds", "5-1").exit_code == 2
    assert call("sweep", day, "--vary", "proxy.attempts").exit_code == 2


def test_a_comparison_tells_the_better_side_and_shows_broken_rules_first(day: Path) -> None:
    got = call("compare", day, "--a-set", "proxy.attempts=1", "--seeds", "1-8", "--jobs", 1)
    assert got.exit_code == 0, got.output
    rows = {
        line.split("│")[1].strip(): line.split("│")[-2].strip()
        for line in got.stdout.splitlines()
        if "│" in line
    }
    assert rows["p50 (ms)"] == rows["p99 (ms)"] == "better" and rows["goodput (%)"] == "cannot tell"
    same = call("compare", day, "--seeds", "1-5", "--jobs", 1)
    assert "5 of 5 pairs are the same to the last byte" in same.stdout
    broken = call("compare", day, "--b-set", "proxy.attempts=2", "--seeds", "1-2", "--jobs", 1)
    assert broken.exit_code == 1 and broken.stdout.startswith(
        "RULES BROKEN by work proxy.attempts=2 seed 1: 1: answered-once"
    )


def test_a_side_that_is_none_is_2(day: Path) -> None:
    got = call("compare", day, "--b", "no-such-revision")
    assert got.exit_code == 2 and got.stderr.count("\n") == 1 and "no-such-revision" in got.stderr
