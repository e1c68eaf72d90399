"""The command line: what is printed where, and the exit code of each outcome of a command."""

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
def scenario_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    fake_engine.install(monkeypatch)
    monkeypatch.setenv("SLATELAB_RESULTS", str(tmp_path / "results"))
    return fake_engine.write_scenario(tmp_path)


def test_a_run_prints_its_figures_and_writes_them(scenario_file: Path, tmp_path: Path) -> None:
    out = tmp_path / "one.json"
    completed = call("run", scenario_file, "--seed", 7, "--json", out, "--set", "proxy.attempts=3")
    assert (
        completed.exit_code == 0
        and "goodput 90.00 %" in completed.stdout
        and "no rule was broken" in completed.stdout
    )
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
    assert call("run", scenario_file, "--quiet").output == ""


def test_a_broken_rule_is_1_and_its_history_is_shown(scenario_file: Path, tmp_path: Path) -> None:
    completed = call("run", scenario_file, "--set", "proxy.attempts=2", "--quiet")
    assert completed.exit_code == 1 and "answered-once 1" in completed.stderr
    (folder,) = (tmp_path / "results").iterdir()
    assert "Answered" in call("show", folder).stdout
    listed = call("list")
    assert listed.exit_code == 0 and folder.name in listed.stdout


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('rate = "10/s"', 'rate = "10"', "day.toml: arrivals.0.rate: has the wrong unit"),
        ("nodes = 2", "nodes = 2\ncores = 0", "day.toml: tier.0.kind.0.cores: "),
        ("nodes = 2", "nods = 2", "day.toml: tier.0.kind.0.nods: is not a key of this format"),
        ('rate = "10/s"', 'rate = "900/s"', "say scenario.overload = true"),
        ("[scenario]", "[scenario", "day.toml: cannot be read"),
    ],
)
def test_check_and_run_name_file_key_and_reason(
    scenario_file: Path, old: str, new: str, expected: str
) -> None:
    fake_engine.write_scenario(scenario_file.parent, fake_engine.SCENARIO.replace(old, new))
    for command in ("check", "run"):
        result = call(command, scenario_file)
        assert result.exit_code == 2 and expected in result.stderr and "Traceback" not in result.stderr


def test_check_reads_all_files_after_an_error(scenario_file: Path) -> None:
    result = call("check", scenario_file.parent / "none.toml", scenario_file)
    assert (
        result.exit_code == 2
        and "none.toml: cannot be read" in result.stderr
        and "day.toml: well" in result.stdout
    )


@pytest.mark.parametrize(
    ("error", "code", "expected"),
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
def test_a_failed_run_is_3_and_an_interrupted_one_130(
    scenario_file: Path, monkeypatch: pytest.MonkeyPatch, error: BaseException, code: int, expected: str
) -> None:
    def fail(*args: Any) -> Any:
        raise error

    fake_engine.install(monkeypatch, fail)
    result = call("run", scenario_file)
    assert (result.exit_code, result.stderr) == (code, expected)


def test_a_fault_of_the_lab_is_not_taken_for_a_broken_rule(
    scenario_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_engine.install(monkeypatch, lambda *args: 1 / 0)
    result = call("run", scenario_file)
    assert result.exit_code == 3 and "ZeroDivisionError" in result.stderr


def test_results_that_cannot_be_written(scenario_file: Path, tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    for folder in (tmp_path / "file", "/proc/no/such"):
        result = call("run", scenario_file, "--out", folder)
        assert result.exit_code == 3 and result.stderr.startswith("slatelab: results cannot be written to")
    result = call("run", scenario_file, "--drop", "--json", tmp_path / "none" / "x.json")
    assert result.exit_code == 3


def test_a_sweep_prints_and_writes_a_line_a_cell(scenario_file: Path, tmp_path: Path) -> None:
    result = call("sweep", scenario_file, "--vary", "proxy.attempts=1,3", "--seeds", "1-3,9", "--jobs", 1)
    assert result.exit_code == 0, result.output
    (folder,) = (tmp_path / "results").iterdir()
    assert (
        folder.name.endswith("-made-up-model-sweep")
        and len((folder / "sweep.csv").read_text().splitlines()) == 3
    )
    rows = json.loads((folder / "sweep.json").read_text())["rows"]
    assert [row["settings"]["proxy.attempts"] for row in rows] == [1, 3]
    assert rows[0]["figures"]["p50_ms"]["mean"] > rows[1]["figures"]["p50_ms"]["mean"] + 25
    assert not call("list").stderr  # a sweep is no broken result


def test_a_sweep_reads_every_cell_before_the_first_run(
    scenario_file: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_engine.install(monkeypatch, lambda *args: pytest.fail("it ran"))
    result = call("sweep", scenario_file, "--vary", "proxy.attempts=1,99", "--jobs", 1)
    assert result.exit_code == 2 and "proxy.attempts: Input should be less than" in result.stderr
    assert call("sweep", scenario_file, "--seeds", "5-1").exit_code == 2
    assert call("sweep", scenario_file, "--vary", "proxy.attempts").exit_code == 2


def test_a_comparison_names_the_better_side_and_shows_broken_rules_first(scenario_file: Path) -> None:
    result = call("compare", scenario_file, "--a-set", "proxy.attempts=1", "--seeds", "1-8", "--jobs", 1)
    assert result.exit_code == 0, result.output
    rows = {
        line.split("│")[1].strip(): line.split("│")[-2].strip()
        for line in result.stdout.splitlines()
        if "│" in line
    }
    assert rows["p50 (ms)"] == rows["p99 (ms)"] == "better" and rows["goodput (%)"] == "cannot tell"
    same = call("compare", scenario_file, "--seeds", "1-5", "--jobs", 1)
    assert "5 of 5 pairs are the same to the last byte" in same.stdout
    broken = call("compare", scenario_file, "--b-set", "proxy.attempts=2", "--seeds", "1-2", "--jobs", 1)
    assert broken.exit_code == 1 and broken.stdout.startswith(
        "RULES BROKEN by work proxy.attempts=2 seed 1: 1: answered-once"
    )


def test_an_unknown_side_is_2(scenario_file: Path) -> None:
    result = call("compare", scenario_file, "--b", "no-such-revision")
    assert result.exit_code == 2 and result.stderr.count("\n") == 1 and "no-such-revision" in result.stderr


def test_a_side_whose_modules_have_other_names_is_2_with_the_model_engine(
    scenario_file: Path, tmp_path: Path
) -> None:
    """A revision from before the modules were renamed would end in an ImportError deep in the engine."""
    old = tmp_path / "old"
    (old / "slatehub" / "core").mkdir(parents=True)
    for words in (("compare", scenario_file, "--a", old), ("run", scenario_file, "--tree", old)):
        result = call(*words)
        assert result.exit_code == 2 and result.stderr.count("\n") == 1, result.output
        assert "other names than this lab expects" in result.stderr and "use --engine live" in result.stderr
