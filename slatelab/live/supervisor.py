"""Starts and ends the processes of a run. Every process is supervised from its start until it has ended, and
listed in the scratch folder so that a later start can name leftovers. No process is signalled that was not
started here, and `close` raises if one still runs.

A process is ended either by `ProcessSupervisor.close`, on every way out of a run, or by the kernel when the
lab itself has ended (`parent_death_watchdog.py`). The kernel binds that to the thread that starts the
process, so one thread must start all of them and outlive them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import IO

import psutil

PARENT_DEATH_WATCHDOG = Path(__file__).with_name("parent_death_watchdog.py")
KILL_TIMEOUT_S = 20.0  # a killed process that takes longer hangs in the kernel
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


@dataclass(eq=False, slots=True)
class Child:
    """One process. `pidfd` becomes readable when it has ended; `code` is known once it has been reaped."""

    name: str
    process: subprocess.Popen[bytes]
    pidfd: int
    code: int | None = None

    @property
    def pid(self) -> int:
        return self.process.pid


class ProcessSupervisor:
    """All processes of one run."""

    def __init__(self, scratch: Path) -> None:
        self.children: list[Child] = []
        self._list = (scratch / "processes.jsonl").open("a", buffering=1)

    def start(
        self,
        name: str,
        command: Sequence[str],
        *,
        cwd: Path,
        env: Mapping[str, str],
        stderr: int | IO[bytes] | None = None,
        pass_fds: Sequence[int] = (),
    ) -> Child:
        """Starts `command` (its first word an absolute path) in a new session, so that Ctrl-C at the terminal
        only reaches the lab. Raises OSError."""
        with signals_blocked():  # an interrupt between fork and append would leave the process unsupervised
            process = subprocess.Popen(
                [sys.executable, "-I", "-S", str(PARENT_DEATH_WATCHDOG), str(os.getpid()), *command],
                cwd=cwd, env=dict(env), stdin=subprocess.DEVNULL, stdout=stderr, stderr=stderr,
                pass_fds=pass_fds, start_new_session=True,
            )  # fmt: skip
            child = Child(name, process, -1)
            self.children.append(child)
        child.pidfd = os.pidfd_open(process.pid)
        self._log_event(name=name, pid=process.pid, started=psutil.Process(process.pid).create_time())
        return child

    def signal(self, child: Child, number: int) -> None:
        """Signals this process, never another one that reuses its pid. Does nothing if it has ended."""
        if child.code is None:
            with suppress(ProcessLookupError):
                signal.pidfd_send_signal(child.pidfd, number)

    def reap(self, child: Child) -> int:
        """Waits for a process that is ending and kills the remaining processes of its group. Returns its exit code, -9
        for SIGKILL."""
        if child.code is None:
            os.waitid(os.P_PID, child.pid, os.WEXITED | os.WNOWAIT)
            _kill_group(child.pid)  # while the zombie still holds its pid
            child.code = child.process.wait()
            os.close(child.pidfd)
            self.children.remove(child)
            self._log_event(pid=child.pid, code=child.code)
        return child.code

    def close(self) -> None:
        """Kills all remaining processes and waits until they have ended. Raises RuntimeError naming those
        that remain."""
        with signals_blocked():
            for child in self.children:
                _kill_group(child.pid)
            for child in list(self.children):
                self._reap_killed(child)
            self._list.close()
        if self.children:
            raise RuntimeError(f"cannot be ended: {', '.join(f'{c.name} ({c.pid})' for c in self.children)}")

    def _reap_killed(self, child: Child) -> None:
        try:
            child.code = child.process.wait(KILL_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            return
        if child.pidfd >= 0:
            os.close(child.pidfd)
        self.children.remove(child)
        self._log_event(pid=child.pid, code=child.code)

    def _log_event(self, **line: object) -> None:
        self._list.write(json.dumps(line) + "\n")


def _kill_group(pid: int) -> None:
    try:
        os.killpg(pid, signal.SIGKILL)
    except ProcessLookupError:
        pass  # before its session was created, or after its end
    except PermissionError:
        pass  # only the zombie itself is left of the group


def leftover_processes(scratch: Path) -> list[str]:
    """Processes of earlier runs in this folder that still run, as "name (pid)". They are only listed, not
    signalled."""
    path = scratch / "processes.jsonl"
    started: dict[int, dict[str, object]] = {}
    for text in path.read_text().splitlines() if path.exists() else ():
        try:
            line = json.loads(text)
        except ValueError:
            continue  # truncated when the lab that wrote it ended
        if "name" in line:
            started[line["pid"]] = line
        else:
            started.pop(line["pid"], None)
    return [
        f"{line['name']} ({pid})" for pid, line in started.items() if _is_same_process(pid, line["started"])
    ]


def _is_same_process(pid: int, started: object) -> bool:
    """Whether this pid still belongs to the process that was started then."""
    try:
        process = psutil.Process(pid)
        return (
            process.status() != psutil.STATUS_ZOMBIE and abs(process.create_time() - float(str(started))) < 1
        )
    except psutil.Error:
        return False


@contextmanager
def signals_blocked() -> Iterator[None]:
    """Blocks the stop signals until the block ends."""
    old = signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, old)


@contextmanager
def ended_by_sigterm() -> Iterator[None]:
    """Turns SIGTERM into SystemExit within the block, so that started processes are ended in order. Outside
    the main thread, where Python handles no signals, only the parent death watchdog ends them."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return

    def leave(number: int, frame: FrameType | None) -> None:
        raise SystemExit(128 + number)

    old = signal.signal(signal.SIGTERM, leave)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, old)
