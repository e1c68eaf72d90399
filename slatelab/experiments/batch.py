"""Many runs on several cores. It owns the processes: who plays what, in which order the outcomes are handed
back, and how all of them end on Ctrl-C. It must never look into an outcome.

A job of a foreign side under the engine model is played by `python -m slatelab run` in a process of its own,
whose path puts the side's slatehub first; every other job by `run` itself, in a spawned worker, or here where
there is one worker."""

from __future__ import annotations

import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from concurrent.futures.process import BrokenProcessPool
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from slatelab.engine import InvalidRunError
from slatelab.results import ResultWriteError
from slatelab.scenario import ScenarioError

from . import revisions
from .run import Job, Summary, run

GRACE_S = 10.0  # for a child that was interrupted to put things away


@dataclass(frozen=True, slots=True)
class FailedRun:
    """A run that gave no result; `code` is the exit code that `run` would have had."""

    reason: str
    code: int


Outcome = Summary | FailedRun
Player = Callable[[Job], Outcome]
Done = Callable[[int, Outcome], None]


def outcome(job: Job) -> Outcome:
    """Plays a job, whatever its side; expected failures come back as FailedRun."""
    try:
        return _apart(job) if job.python_path else run(job)
    except ScenarioError as problem:
        return FailedRun(str(problem), 2)
    except (InvalidRunError, ResultWriteError) as problem:
        return FailedRun(str(problem), 3)


def run_all(
    jobs: Sequence[Job], workers: int, done: Done = lambda i, o: None, run_job: Player = outcome
) -> list[Outcome]:
    """The outcomes in the order of the jobs, whichever ends first; `done` hears of each as it ends. A worker
    that dies spoils what it had in hand and all that comes after."""
    if workers <= 1:
        return list(_one_by_one(jobs, done, run_job))
    found: list[Outcome] = [FailedRun("a worker process died", 3)] * len(jobs)
    with _pool(min(workers, len(jobs))) as pool:
        futures: dict[Future[Outcome], int] = {
            pool.submit(_play, run_job, job): i for i, job in enumerate(jobs)
        }
        for future in as_completed(futures):
            i = futures[future]
            try:
                found[i] = future.result()
            except BrokenProcessPool:
                pass
            done(i, found[i])
    return found


def _one_by_one(jobs: Sequence[Job], done: Done, player: Player) -> Iterator[Outcome]:
    for i, job in enumerate(jobs):
        ended = player(job)
        done(i, ended)
        yield ended


@contextmanager
def _pool(workers: int) -> Iterator[ProcessPoolExecutor]:
    """Spawned workers. On Ctrl-C each is interrupted once and waited for, so that what it had started ends
    with it."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, mp_context=context, initializer=_prepare)
    try:
        yield pool
    except BaseException:
        for child in multiprocessing.active_children():
            if child.pid:
                _interrupt(child.pid)
        pool.shutdown(wait=True, cancel_futures=True)
        raise
    pool.shutdown()


def _interrupt(pid: int) -> None:
    try:
        os.kill(pid, signal.SIGINT)
    except ProcessLookupError:
        pass


class _Worker:
    """In a worker: an interrupt breaks off the run in hand, and none begins after it. A second one does
    nothing, so that it cannot break off the putting away; an idle worker says nothing."""

    playing = False
    stopped = False

    @classmethod
    def interrupted(cls, number: int, frame: Any) -> None:
        again, cls.stopped = cls.stopped, True
        if cls.playing and not again:
            raise KeyboardInterrupt

    @classmethod
    def play(cls, player: Player, job: Job) -> Outcome:
        cls.playing = True
        try:
            if cls.stopped:
                raise KeyboardInterrupt
            return player(job)
        finally:
            cls.playing = False


def _play(player: Player, job: Job) -> Outcome:
    return _Worker.play(player, job)


def _prepare() -> None:
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _Worker.interrupted)
    threading.Thread(target=_outlive_no_parent, daemon=True).start()


def _outlive_no_parent() -> None:
    """A worker whose parent was killed would wait for its next job for ever."""
    parent = multiprocessing.parent_process()
    if parent:
        parent.join()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(GRACE_S if _Worker.playing else 0)
        os._exit(1)


# ---------------------------------------------------------------- a slatehub of its own


def with_side(job: Job, name: str, scratch: Path) -> Job:
    """The job on the side called `name`. Raises revisions.UnknownSideError."""
    side = revisions.resolve_side(name, scratch, job.engine)
    paths = revisions.python_path(side, scratch) if side.foreign and job.engine == "model" else []
    return replace(job, side=side, python_path=tuple(paths))


def child_command(job: Job, *more: str) -> list[str]:
    """The command line of a job. -P keeps the current folder off the path, where another slatelab may lie."""
    words = [sys.executable, "-P", "-B", "-m", "slatelab", "run", str(job.file), "--engine", job.engine]
    words += [] if job.seed is None else ["--seed", str(job.seed)]
    for key, value in job.overrides:
        words += ["--set", f"{key}={msgspec.json.encode(value).decode()}"]
    return [*words, "--tested", job.side.tested, *more]


def child_environment(job: Job) -> dict[str, str]:
    """Of a child that runs the job's side."""
    return {**os.environ, "PYTHONPATH": os.pathsep.join(str(path) for path in job.python_path)}


def _apart(job: Job) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="slatelab-") as scratch:
        out = Path(scratch) / "summary.json"
        words = child_command(
            job,
            "--quiet",
            "--json",
            str(out),
            *(["--out", job.results_folder] if job.results_folder else ["--drop"]),
        )
        code, said = _finish(words, child_environment(job))
        if code in (0, 1) and out.exists():
            return msgspec.json.decode(out.read_bytes(), type=Summary)
        last = (said.strip().splitlines() or ["said nothing"])[-1]
        return FailedRun(last.removeprefix("slatelab: "), code if code in (2, 3) else 3)


def _finish(words: list[str], env: dict[str, str]) -> tuple[int, str]:
    """Exit code and what was said on standard error."""
    with tempfile.TemporaryFile("w+") as said:
        # In a group of its own: else Ctrl-C would reach it twice, and break off its putting away.
        with subprocess.Popen(
            words, env=env, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=said, process_group=0
        ) as child:
            code = wait_for_child(child)
        said.seek(0)
        return code, said.read()


def wait_for_child(child: subprocess.Popen[Any]) -> int:
    """The exit code of a child in a group of its own. Interrupted, this tells the child, waits for it to put
    its things away, and then ends it."""
    try:
        return child.wait()
    except BaseException:
        child.send_signal(signal.SIGINT)
        try:
            child.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            child.kill()
        raise
