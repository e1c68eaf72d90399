"""One run from the scenario's file to a result: reads, runs, judges, measures and stores it. This module defines the
order of these steps, the error class of each kind of failure, and the summary that scripts read. It judges nothing
itself."""

from __future__ import annotations

import importlib
import os
import platform
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec

from slatelab import results
from slatelab.engine import InvalidRunError, ProgressCallback, Recording
from slatelab.records import FaultBegan, FaultEnded, Logged, Record, Up, digest
from slatelab.scenario import Scenario, ScenarioError, load

from . import revisions

if TYPE_CHECKING:
    from slatelab.figures import Figures
    from slatelab.judge import JudgeReport

ENGINES = {"model": "slatelab.model", "live": "slatelab.live"}
RECOVERY_KINDS = ("start", "renew", "proxy-start")
INSTANT_KINDS = ("reset", "proxy-reload", "proxy-end")
MAX_COMPLAINTS = 20  # violations kept with their history
MAX_HISTORY_CHARS = 20_000  # of one violation's history
MAX_LOG_LINES = 400
MAX_LOG_LINE_CHARS = 500
SEVERITY = {"critical": 0, "error": 0, "warning": 1, "warn": 1}
PERCENTILES = ("p50", "p90", "p99", "p999")


@dataclass(frozen=True, slots=True)
class Job:
    """What to run; can be passed to another process. `python_path`: PYTHONPATH of a side other than the working tree,
    for the model engine; the live engine gets `side.tree`."""

    file: Path
    engine: str = "model"
    seed: int | None = None
    overrides: tuple[tuple[str, Any], ...] = ()
    side: revisions.Side = revisions.OWN_SIDE
    python_path: tuple[Path, ...] = ()
    results_folder: str = ""  # folder for results; "": no result is kept


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of a run that scripts and tables need, as `slatelab.figures` defines them. Latencies are those of
    served orders, in ms. A figure is None if there was nothing to measure."""

    scenario: str
    engine: str
    seed: int
    goodput: float | None
    violations: int
    requests: int
    served: int
    refused: int
    failed: int
    attempts: float | None  # per order, at nodes of the first tier
    tries: float | None
    wasted: float | None
    worst_class: float | None
    worst_tenant: float | None
    worst_window: float | None
    latency_ms: dict[str, float | None]
    trace_sha256: str
    rules: dict[str, int] = {}
    first: list[str] = []  # the first violations, one line each
    result: str = ""  # the result's folder, if it was kept

    def scalar(self, key: str) -> float | None:
        """Returns a figure by its key in `statistics.FIGURES`."""
        if key.endswith("_ms"):
            return self.latency_ms[key.removesuffix("_ms")]
        if key.endswith("_share"):
            count: int = getattr(self, key.removesuffix("_share"))
            return count / self.requests if self.requests else None
        value: float | None = getattr(self, key)
        return value


@dataclass(slots=True)
class CompletedRun:
    """A judged and measured run in memory."""

    result: results.Result
    summary: Summary
    records: list[Record] = field(repr=False)


def load_scenario(job: Job) -> Scenario:
    """Returns the scenario with the job's changes. Raises ScenarioError, also if it can be read but not run: faults
    without targets, an overload that is not declared."""
    scenario = load(job.file, dict(job.overrides))
    check = importlib.import_module("slatelab.plant.check")
    if errors := check.find_errors(scenario, job.file.parent):
        raise ScenarioError([f"{job.file}: {line}" for line in errors])
    return scenario


def run_with_records(job: Job, watch: ProgressCallback | None = None) -> CompletedRun:
    """Runs, judges and measures the job. Raises ScenarioError and InvalidRunError; the latter also if the machine lacks
    sockets, disk space or memory."""
    scenario = load_scenario(job)
    seed = scenario.scenario.seed if job.seed is None else job.seed
    started = time.monotonic()
    try:
        recording = _record(job, scenario, seed, watch)
    except (OSError, MemoryError) as error:
        raise InvalidRunError(f"the run broke off: {type(error).__name__}: {error}") from error
    return _conclude(job, scenario, recording, time.monotonic() - started)


def run(job: Job, watch: ProgressCallback | None = None) -> Summary:
    """Runs the job and keeps the result if the job has a results folder. The folder is created before the run, so that
    a folder that cannot be written to is reported at once. Raises ScenarioError, InvalidRunError and
    results.ResultWriteError."""
    if not job.results_folder:
        return run_with_records(job, watch).summary
    scenario = load_scenario(job)
    seed = scenario.scenario.seed if job.seed is None else job.seed
    name = results.folder_name(results.utc_timestamp(), scenario.scenario.name, job.engine, seed)
    with results.new_result_folder(Path(job.results_folder), name) as draft:
        completed = run_with_records(job, watch)
        results.save(draft, completed.result, completed.records)
    return msgspec.structs.replace(completed.summary, result=str(draft.final_path))


def _record(job: Job, scenario: Scenario, seed: int, watch: ProgressCallback | None) -> Recording:
    engine: Callable[..., Recording] = importlib.import_module(ENGINES[job.engine]).run
    if job.engine == "model":
        return engine(scenario, seed, job.file.parent, watch)
    with tempfile.TemporaryDirectory(prefix="slatelab-") as scratch:
        return engine(scenario, seed, job.file.parent, watch, job.side.tree, Path(scratch))


def _conclude(job: Job, scenario: Scenario, recording: Recording, wall_s: float) -> CompletedRun:
    judge = importlib.import_module("slatelab.judge").judge
    measure = importlib.import_module("slatelab.figures").measure
    ruling: JudgeReport = judge(scenario, recording.records)
    figures: Figures = measure(scenario, recording.records)
    trace = digest(recording.records)
    result = _result(job, scenario, recording, round(wall_s, 3), trace, figures, ruling)
    return CompletedRun(result, summarise(result, figures), recording.records)


def summarise(result: results.Result, figures: Figures) -> Summary:
    """Returns the summary of a result; `figures` are those of the result."""
    latency = {key: getattr(figures.latency, key) if figures.latency.count else None for key in PERCENTILES}
    worst = [
        one.goodput if one else None
        for one in (figures.worst_class, figures.worst_tenant, figures.worst_window)
    ]
    return Summary(
        scenario=result.scenario,
        engine=result.engine,
        seed=result.seed,
        goodput=figures.goodput,
        violations=result.ruling.violations,
        requests=figures.requests,
        served=figures.served,
        refused=figures.refused,
        failed=figures.failed,
        attempts=figures.attempts,
        tries=figures.tries,
        wasted=figures.wasted,
        worst_class=worst[0],
        worst_tenant=worst[1],
        worst_window=worst[2],
        latency_ms=latency,
        trace_sha256=result.trace_sha256,
        rules=result.ruling.by_rule,
        first=[one.history.partition("\n")[0] for one in result.ruling.first[:5]],
    )


def _result(
    job: Job,
    scenario: Scenario,
    recording: Recording,
    wall_s: float,
    trace: str,
    figures: Figures,
    ruling: JudgeReport,
) -> results.Result:
    raw = job.file.read_bytes()
    log, lines = kept_log_lines(recording.records)
    return results.Result(
        made=results.utc_timestamp(),
        versions=_versions(),
        machine=machine(),
        tested=job.side.tested,
        scenario=scenario.scenario.name,
        scenario_text=raw.decode(),
        scenario_sha256=results.sha256(raw),
        traces=_traces(scenario, job.file.parent),
        changes=dict(job.overrides),
        duration=scenario.scenario.duration,
        warmup=scenario.scenario.warmup,
        engine=job.engine,
        seed=recording.seed,
        wall_s=wall_s,
        events=recording.events,
        late_p99_us=recording.late_p99_us,
        trace_sha256=trace,
        aims={one.name: one.aim for one in scenario.classes},
        capacity=capacity(recording.records),
        figures=msgspec.to_builtins(figures),
        ruling=to_ruled(ruling),
        troubles=troubles(recording.records),
        log=log,
        log_lines=lines,
        notes=list(recording.notes),
    )


def to_ruled(ruling: JudgeReport) -> results.Ruled:
    """Returns the verdict as a result stores it: all counts, and the first violations with their history."""
    first = [
        results.Complaint(one.rule, one.request, one.t, one.text, _truncate(one.explain()))
        for one in ruling.violations[:MAX_COMPLAINTS]
    ]
    return results.Ruled(sum(ruling.counts.values()), dict(ruling.counts), first)


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_HISTORY_CHARS else f"{text[:MAX_HISTORY_CHARS]}\n  (cut here)"


def capacity(records: Sequence[Record]) -> dict[str, float]:
    """Returns for each node that started the microseconds of work that it does per microsecond once warm, as of its
    last start."""
    return {fact.node: fact.cores for fact in records if isinstance(fact, Up)}


def kept_log_lines(records: Sequence[Record]) -> tuple[list[results.Line], int]:
    """Returns the kept lines of the proxies' logs, in order of time, and the number of all lines. If there are more
    than MAX_LOG_LINES, the severe ones are kept first."""
    facts = [fact for fact in records if isinstance(fact, Logged)]
    chosen = sorted(facts, key=lambda fact: (SEVERITY.get(fact.level.lower(), 2), fact.t))[:MAX_LOG_LINES]
    return [_line(fact) for fact in sorted(chosen, key=lambda fact: fact.t)], len(facts)


def _line(fact: Logged) -> results.Line:
    fields = "".join(f" {key}={value}" for key, value in fact.fields.items())
    return results.Line(
        fact.t, fact.proxy, fact.level, fact.topic, f"{fact.text}{fields}"[:MAX_LOG_LINE_CHARS]
    )


def troubles(records: Sequence[Record]) -> list[results.Trouble]:
    """Returns the fault schedule as it was carried out, ordered by begin. The next fault of an entry on the same
    targets ends the previous one: a drain ends when the node is stopped, and the stop ends when the node is started."""
    found: list[results.Trouble] = []
    for fact in records:
        if not isinstance(fact, FaultBegan | FaultEnded):
            continue
        if isinstance(fact, FaultBegan) and fact.kind in INSTANT_KINDS:
            found.append(results.Trouble(fact.name, fact.kind, fact.targets, fact.t, fact.t))
            continue
        _end_fault(found, fact)
        if isinstance(fact, FaultBegan) and fact.kind not in RECOVERY_KINDS:
            found.append(results.Trouble(fact.name, fact.kind, fact.targets, fact.t, None))
    return found


def _end_fault(found: list[results.Trouble], fact: FaultBegan | FaultEnded) -> None:
    """Ends the latest fault that is still open. Entries may share a name, so the targets are compared too."""
    for i in range(len(found) - 1, -1, -1):
        one = found[i]
        if one.end is None and (one.name, one.targets) == (fact.name, fact.targets):
            found[i] = msgspec.structs.replace(one, end=fact.t)
            return


def _traces(scenario: Scenario, folder: Path) -> dict[str, str]:
    files = {stream.file for stream in scenario.arrivals if stream.file}
    return {file: results.sha256((folder / file).read_bytes()) for file in sorted(files)}


def _versions() -> results.Versions:
    import slatelab

    revision, dirty = revisions.repository_state()
    return results.Versions(platform.python_version(), getattr(slatelab, "__version__", ""), revision, dirty)


def machine() -> results.Machine:
    """Returns the cores this process may use, the processor's name and the memory; nothing that identifies the
    machine."""
    model = ""
    try:
        for line in Path("/proc/cpuinfo").read_text().splitlines():
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    except OSError:
        pass
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20
    return results.Machine(len(os.sched_getaffinity(0)), model or platform.machine(), memory)
