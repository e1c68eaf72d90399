"""Many runs on several cores. This module manages the processes: which one runs a job, in which order the outcomes are
returned, and how all of them end on Ctrl-C. It does not interpret outcomes.

With the model engine, a job of a foreign side is run by `python -m slatelab run` in a process of its own, whose path
puts the side's slatehub first. Every other job is run by `run` itself: in a spawned worker, or in this process if there
is only one worker."""

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

CLEANUP_TIMEOUT_S = 10.0  # for an interrupted child to clean up


@dataclass(frozen=True, slots=True)
class FailedRun:
    """A run without a result; `code` is the exit code that the command `run` would have had."""

    reason: str
    code: int


Outcome = Summary | FailedRun
JobRunner = Callable[[Job], Outcome]
OnOutcome = Callable[[int, Outcome], None]


def run_any_side(job: Job) -> Outcome:
    """Runs a job of any side; returns expected failures as FailedRun."""
    try:
        return _run_in_subprocess(job) if job.python_path else run(job)
    except ScenarioError as error:
        return FailedRun(str(error), 2)
    except (InvalidRunError, ResultWriteError) as error:
        return FailedRun(str(error), 3)


def run_all(
    jobs: Sequence[Job], workers: int, done: OnOutcome = lambda i, o: None, run_job: JobRunner = run_any_side
) -> list[Outcome]:
    """Returns the outcomes in the order of the jobs. `done` is called with each as it ends. If a worker dies, its run
    and all that had not ended by then count as failed."""
    if workers <= 1:
        return list(_run_sequentially(jobs, done, run_job))
    outcomes: list[Outcome] = [FailedRun("a worker process died", 3)] * len(jobs)
    with _pool(min(workers, len(jobs))) as pool:
        futures: dict[Future[Outcome], int] = {
            pool.submit(_run_in_worker, run_job, job): i for i, job in enumerate(jobs)
        }
        for future in as_completed(futures):
            i = futures[future]
            try:
                outcomes[i] = future.result()
            except BrokenProcessPool:
                pass
            done(i, outcomes[i])
    return outcomes


def _run_sequentially(jobs: Sequence[Job], done: OnOutcome, run_job: JobRunner) -> Iterator[Outcome]:
    for i, job in enumerate(jobs):
        result = run_job(job)
        done(i, result)
        yield result


@contextmanager
def _pool(workers: int) -> Iterator[ProcessPoolExecutor]:
    """Spawned workers. On Ctrl-C each is interrupted once and waited for, so that the processes which it started end
    with it."""
    context = multiprocessing.get_context("spawn")
    pool = ProcessPoolExecutor(workers, mp_context=context, initializer=_init_worker)
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
    """Interrupts in a worker process: the first one aborts the current run, and no run begins after it. A second one
    does nothing, so that it cannot abort the cleanup. An idle worker prints nothing."""

    running = False
    stopped = False

    @classmethod
    def interrupted(cls, number: int, frame: Any) -> None:
        repeated, cls.stopped = cls.stopped, True
        if cls.running and not repeated:
            raise KeyboardInterrupt

    @classmethod
    def run(cls, run_job: JobRunner, job: Job) -> Outcome:
        cls.running = True
        try:
            if cls.stopped:
                raise KeyboardInterrupt
            return run_job(job)
        finally:
            cls.running = False


def _run_in_worker(run_job: JobRunner, job: Job) -> Outcome:
    return _Worker.run(run_job, job)


def _init_worker() -> None:
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _Worker.interrupted)
    threading.Thread(target=_exit_with_parent, daemon=True).start()


def _exit_with_parent() -> None:
    """Ends the worker if its parent was killed; it would otherwise wait for its next job forever."""
    parent = multiprocessing.parent_process()
    if parent:
        parent.join()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(CLEANUP_TIMEOUT_S if _Worker.running else 0)
        os._exit(1)


# ---------------------------------------------------------------- a slatehub of its own


def with_side(job: Job, name: str, scratch: Path) -> Job:
    """Returns the job on the side called `name`. Raises revisions.UnknownSideError."""
    side = revisions.resolve_side(name, scratch, job.engine)
    paths = revisions.python_path(side, scratch) if side.foreign and job.engine == "model" else []
    return replace(job, side=side, python_path=tuple(paths))


def child_command(job: Job, *more: str) -> list[str]:
    """Returns the command line of a job. -P keeps the current folder, which may hold another slatelab, off the path."""
    arguments = [sys.executable, "-P", "-B", "-m", "slatelab", "run", str(job.file), "--engine", job.engine]
    arguments += [] if job.seed is None else ["--seed", str(job.seed)]
    for key, value in job.overrides:
        arguments += ["--set", f"{key}={msgspec.json.encode(value).decode()}"]
    return [*arguments, "--tested", job.side.tested, *more]


def child_environment(job: Job) -> dict[str, str]:
    """Returns the environment of a child that runs the job's side."""
    return {**os.environ, "PYTHONPATH": os.pathsep.join(str(path) for path in job.python_path)}


def _run_in_subprocess(job: Job) -> Outcome:
    with tempfile.TemporaryDirectory(prefix="slatelab-") as scratch:
        out = Path(scratch) / "summary.json"
        arguments = child_command(
            job,
            "--quiet",
            "--json",
            str(out),
            *(["--out", job.results_folder] if job.results_folder else ["--drop"]),
        )
        code, stderr = _run_child(arguments, child_environment(job))
        if code in (0, 1) and out.exists():
            return msgspec.json.decode(out.read_bytes(), type=Summary)
        last = (stderr.strip().splitlines() or ["said nothing"])[-1]
        return FailedRun(last.removeprefix("slatelab: "), code if code in (2, 3) else 3)


def _run_child(arguments: list[str], env: dict[str, str]) -> tuple[int, str]:
    """Returns the exit code and what was written to standard error."""
    with tempfile.TemporaryFile("w+") as stderr_file:
        # In a process group of its own: otherwise Ctrl-C would reach it twice and abort its cleanup.
        with subprocess.Popen(
            arguments,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=stderr_file,
            process_group=0,
        ) as child:
            code = wait_for_child(child)
        stderr_file.seek(0)
        return code, stderr_file.read()


def wait_for_child(child: subprocess.Popen[Any]) -> int:
    """Returns the exit code of a child in a process group of its own. If this process is interrupted, it interrupts the
    child, waits CLEANUP_TIMEOUT_S for its cleanup, and then kills it."""
    try:
        return child.wait()
    except BaseException:
        child.send_signal(signal.SIGINT)
        try:
            child.wait(CLEANUP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.kill()
        raise
