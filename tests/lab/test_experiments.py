"""Experiments: a result is complete or absent, statistics claim no more than the data allow, the outcomes of many runs
are returned in order, and a side of another revision runs that revision's code."""

from __future__ import annotations

import errno
import math
import os
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import fake_engine
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from slatelab import results
from slatelab.engine import InvalidRunError
from slatelab.experiments import batch, compare, revisions, statistics, sweep
from slatelab.experiments.run import Job, Summary, run, run_with_records
from slatelab.records import FaultBegan, FaultEnded


def job(tmp: Path, **more: Any) -> Job:
    return Job(fake_engine.write_scenario(tmp), seed=3, results_folder=str(tmp / "results"), **more)


# ---------------------------------------------------------------- results


def test_a_kept_result_reads_back_complete_and_names_no_local_path(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_engine.install(monkeypatch)
    one = run(job(tmp_path, overrides=(("proxy.attempts", 3),)))
    ((folder, result),) = results.load_all(tmp_path / "results")[0]
    assert (str(folder), result.trace_sha256, result.changes) == (
        one.result,
        one.trace_sha256,
        {"proxy.attempts": 3},
    )
    assert len(list(results.records(folder))) == result.events
    text = (folder / "result.json").read_text()
    assert str(tmp_path) not in text and os.uname().nodename not in text.replace(result.machine.model, "")


@pytest.mark.parametrize(
    "error",
    [InvalidRunError("a proxy died"), OSError(errno.EMFILE, "too many open files"), KeyboardInterrupt()],
)
def test_a_failed_run_leaves_no_result(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: BaseException
) -> None:
    def fail(*args: Any) -> Any:
        assert list((tmp_path / "results").iterdir())  # it fails during the run: the draft exists
        raise error

    fake_engine.install(monkeypatch, fail)
    with pytest.raises(KeyboardInterrupt if isinstance(error, KeyboardInterrupt) else InvalidRunError):
        run(job(tmp_path))
    assert not list((tmp_path / "results").iterdir())


@pytest.mark.parametrize("call", ["fsync", "rename"])
def test_a_full_disk_leaves_no_result(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str) -> None:
    def disk_full(*args: Any) -> None:
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    fake_engine.install(monkeypatch)
    monkeypatch.setattr(results.os, call, disk_full)
    with pytest.raises(results.ResultWriteError, match="No space left"):
        run(job(tmp_path))
    assert not list((tmp_path / "results").iterdir())


def test_a_result_is_synced_before_it_is_renamed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[str] = []
    for name in ("fsync", "rename"):
        real = getattr(os, name)
        monkeypatch.setattr(results.os, name, lambda *args, n=name, f=real: (calls.append(n), f(*args))[1])
    fake_engine.install(monkeypatch)
    run(job(tmp_path))
    # The three files and their folder; after the rename the parent folder.
    assert calls == ["fsync"] * 4 + ["rename", "fsync"]


def test_a_folder_that_cannot_be_written_to_is_reported_before_the_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    fake_engine.install(monkeypatch, lambda *args: pytest.fail("it ran"))
    (tmp_path / "results").write_text("a file in the way")
    with pytest.raises(results.ResultWriteError, match="File exists"):
        run(job(tmp_path))


def test_only_complete_results_are_listed(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    fake_engine.install(monkeypatch)
    first, second = run(job(tmp_path)), run(job(tmp_path))
    assert first.result != second.result  # two results of the same second
    half = Path(second.result) / "result.json"
    half.write_bytes(half.read_bytes()[:-100])
    (tmp_path / "results" / ".partial-x").mkdir()
    newer = tmp_path / "results" / "newer"
    newer.mkdir()
    (newer / "result.json").write_text('{"format": 2}')
    good, skipped = results.load_all(tmp_path / "results")
    assert [str(folder) for folder, _ in good] == [first.result]
    assert len(skipped) == 3 and "not whole" in skipped[0] and "format 2, this version reads 1" in skipped[2]


def test_records_beyond_the_bound_are_dropped_with_a_note(tmp_path: Path) -> None:
    with results.new_result_folder(tmp_path, "r") as draft:
        assert "not kept" in draft.add_records([FaultBegan(1, "x" * 100, "kill")] * 20, limit=1000)
    assert not list(results.records(tmp_path / "r")) and not list((tmp_path / "r").iterdir())


def test_the_next_fault_of_an_entry_ends_its_previous_one_on_the_same_targets(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def overlapping_faults(*args: Any) -> Any:
        recording = fake_engine.run(*args)
        recording.records = [
            FaultBegan(1, "mud", "slow", ("a",)),
            FaultBegan(2, "mud", "slow", ("b",)),
            FaultEnded(3, "mud", "slow", ("b",)),
            FaultBegan(4, "r", "drain", ("a",)),
            FaultBegan(5, "r", "stop", ("a",)),
            FaultBegan(6, "r", "start", ("a",)),
            FaultBegan(7, "x", "reset", ("a",)),
        ]
        return recording

    fake_engine.install(monkeypatch, overlapping_faults)
    troubles = run_with_records(job(tmp_path)).result.troubles
    assert [(one.kind, *one.targets, one.begin, one.end) for one in troubles] == [
        ("slow", "a", 1, None),
        ("slow", "b", 2, 3),
        ("drain", "a", 4, 5),
        ("stop", "a", 5, 6),
        ("reset", "a", 7, 7),
    ]


# ---------------------------------------------------------------- statistics

GOODPUT, P99 = (next(f for f in statistics.FIGURES if f.key == key) for key in ("goodput", "p99_ms"))


@pytest.mark.parametrize(
    ("figure", "b", "verdict"),
    [
        (GOODPUT, [0.9, 0.91, 0.93, 0.9, 0.92], "better"),
        (P99, [0.9, 0.91, 0.93, 0.9, 0.92], "worse"),
        (GOODPUT, [0.4, 0.42, 0.39, 0.45, 0.4], "worse"),
        (GOODPUT, [0.9, 0.4, 0.8, 0.5, 0.62], "cannot tell"),
        (GOODPUT, [0.6, 0.61, 0.62, 0.6, 0.6], "cannot tell"),  # the same values on both sides
        (GOODPUT, [0.9, 0.91, 0.93, None, None], "cannot tell"),  # too few pairs are left
    ],
)
def test_verdicts(figure: statistics.Figure, b: list[float | None], verdict: str) -> None:
    assert statistics.difference(figure, [0.6, 0.61, 0.62, 0.6, 0.6] * 2, b * 2).verdict == verdict


def test_an_interval_of_many_normal_values_is_that_of_student() -> None:
    from statistics import NormalDist

    values = [NormalDist(5, 2).inv_cdf((i + 0.5) / 200) for i in range(200)]
    of = statistics.confidence_interval(values)
    assert of.mean == pytest.approx(5) and of.low == pytest.approx(5 - 0.277, abs=0.02)
    assert of.high == pytest.approx(5 + 0.277, abs=0.02)
    assert statistics.confidence_interval(values) == of


@settings(derandomize=True, database=None, deadline=None, max_examples=25)
@given(st.lists(st.integers(-1000, 1000).map(float), max_size=8), st.integers(-100, 100))
def test_an_interval_moves_with_its_values(values: list[float], by: int) -> None:
    one, moved = (
        statistics.confidence_interval(values),
        statistics.confidence_interval([value + by for value in values]),
    )
    if not values:
        assert math.isnan(one.mean)
    else:
        assert one.low <= one.mean + 1e-9 and one.mean <= one.high + 1e-9
        assert (moved.low, moved.high) == pytest.approx((one.low + by, one.high + by), abs=1e-6)


# ---------------------------------------------------------------- many runs


def stub_run(one: Job) -> batch.Outcome:
    """Stands in for a run: the seed determines how it ends; the first seeds take the longest."""
    seed = one.seed or 0
    if seed == 13:
        os._exit(9)
    time.sleep((4 - seed) * 0.1 if seed < 4 else 0)
    if seed == 5:
        return batch.FailedRun("the load ran late", 3)
    attempts = dict(one.overrides).get("proxy.attempts", 4)
    return Summary(
        scenario="made-up",
        engine="model",
        seed=seed,
        goodput=0.5 + seed / 100 - attempts / 50,
        violations=int(seed == 4),
        requests=10,
        served=9,
        refused=1,
        failed=0,
        attempts=1.0,
        tries=1.0,
        wasted=0.0,
        worst_class=None,
        worst_tenant=None,
        worst_window=None,
        latency_ms={"p50": 1.0, "p99": 2.0},
        trace_sha256=f"{seed}",
        first=["a rule"] * (seed == 4),
    )


VARY = [("proxy.attempts", [2, 4]), ("proxy.probes", [True, False])]


def test_a_sweep_keeps_its_order_when_runs_end_out_of_order(tmp_path: Path) -> None:
    base = Job(fake_engine.write_scenario(tmp_path))
    plan = sweep.jobs(base, VARY, [1, 2, 3])
    ended: list[int] = []
    whole = sweep.table(
        base, VARY, [1, 2, 3], batch.run_all(plan, 3, lambda i, one: ended.append(i), stub_run)
    )
    assert ended != sorted(ended)  # otherwise this test shows nothing
    assert whole == sweep.table(base, VARY, [1, 2, 3], [stub_run(one) for one in plan])
    assert [tuple(row.settings.values()) for row in whole.rows] == [
        (2, True),
        (2, False),
        (4, True),
        (4, False),
    ]
    assert [one and one.seed for one in whole.runs[0]] == [1, 2, 3]
    lines = sweep.as_csv(whole).splitlines()
    assert (
        lines[0].startswith("proxy.attempts,proxy.probes,seeds,violations,goodput,goodput_low")
        and len(lines) == 5
    )
    assert lines[1].startswith("2,True,3,0,0.48,")


def test_a_worker_that_dies_fails_its_run_and_blocks_nothing(tmp_path: Path) -> None:
    plan = sweep.jobs(Job(fake_engine.write_scenario(tmp_path)), [], [13, 13])
    assert batch.run_all(plan, 2, run_job=stub_run) == [batch.FailedRun("a worker process died", 3)] * 2


def test_pairs_are_kept_and_a_pair_with_a_failed_run_is_left_out(tmp_path: Path) -> None:
    a = Job(fake_engine.write_scenario(tmp_path))
    b = Job(a.file, overrides=(("proxy.attempts", 2),))
    plan = compare.jobs(a, b, range(9))
    assert [bool(one.overrides) for one in plan[:4]] == [
        False,
        True,
        True,
        False,
    ]  # the side that runs first alternates
    whole = compare.compare("work", "two", a, range(9), [stub_run(one) for one in plan])
    goodput = whole.lines[0]
    assert (
        goodput.difference.n == 8
        and goodput.difference.low == pytest.approx(0.04)
        and goodput.verdict == "better"
    )
    assert whole.violations == ["work seed 4: 1: a rule", "two seed 4: 1: a rule"]
    assert whole.spoiled == ["work seed 5: the load ran late", "two seed 5: the load ran late"]
    assert all(line.verdict == "cannot tell" for line in whole.lines[1:])


# ---------------------------------------------------------------- revisions


@pytest.fixture
def repository(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A small repository whose slatehub has three revisions: `old` has no core, `other-names` has no
    core/dispatcher.py, the last one has both."""
    folder = tmp_path / "home"
    for name in ("slatehub/core", "paddlestep"):
        (folder / name).mkdir(parents=True)
    (folder / "slatehub" / "__init__.py").write_text("version = 'old'\n")
    (folder / "paddlestep" / "__init__.py").write_text("")

    def git(*words: str) -> None:
        subprocess.run(
            ["git", "-C", str(folder), "-c", "user.name=t", "-c", "user.email=t@t", *words], check=True
        )

    git("init", "-q")
    git("add", ".")
    git("commit", "-qm", "old")
    git("tag", "old")
    (folder / "slatehub" / "core" / "__init__.py").write_text("")
    git("add", ".")
    git("commit", "-qm", "other names")
    git("tag", "other-names")
    (folder / "slatehub" / "core" / "dispatcher.py").write_text("")
    (folder / "slatehub" / "__init__.py").write_text("version = 'committed'\n")
    git("add", ".")
    git("commit", "-qm", "new")
    (folder / "slatehub" / "__init__.py").write_text("version = 'uncommitted'\n")
    monkeypatch.setattr(revisions, "REPOSITORY", folder)
    return folder


def test_a_revision_is_what_was_committed_and_leaves_nothing_behind(repository: Path, tmp_path: Path) -> None:
    scratch = tmp_path / "scratch"
    scratch.mkdir()
    side = revisions.resolve_side("HEAD", scratch, "model")
    paths = revisions.python_path(side, scratch)
    lab = Path(__file__).parents[2]
    code = "import slatehub, slatelab; print(slatehub.version, slatelab.__file__)"
    env = batch.child_environment(Job(tmp_path, python_path=(paths[0], lab)))
    completed = subprocess.run(
        [sys.executable, "-P", "-B", "-c", code], env=env, cwd=lab, capture_output=True, text=True
    )
    assert completed.stdout.split() == ["committed", str(lab / "slatelab" / "__init__.py")], completed.stderr
    assert revisions.repository_state() == (side.tested, True)
    trees = subprocess.run(
        ["git", "-C", str(repository), "worktree", "list"], capture_output=True, text=True
    ).stdout
    assert len(trees.splitlines()) == 1


@pytest.mark.parametrize(
    ("name", "engine", "reason"),
    [
        ("old", "model", "no package `core` .*; use --engine live"),
        ("other-names", "model", "^other-names: .* other names than this lab expects .*; use --engine live$"),
        ("no-such", "live", "neither a folder"),
        ("--output=x", "live", "neither a folder"),
        ("/usr/bin", "live", "no slatehub in this folder"),
    ],
)
def test_a_side_that_cannot_be_run_is_refused_with_the_reason(
    repository: Path, tmp_path: Path, name: str, engine: str, reason: str
) -> None:
    with pytest.raises(revisions.UnknownSideError, match=reason):
        revisions.resolve_side(name, tmp_path, engine)
    for runnable in ("old", "other-names"):
        assert revisions.resolve_side(runnable, tmp_path, "live").tested
