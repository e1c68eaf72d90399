"""The flight recorder: keeps the last batches of events and actions of the decision module in memory, and writes them
to a file when the module fails, on request, and optionally at the end. It manages the ring and the files in its folder.
It never modifies recorded objects, never raises, never blocks the hub for a write, and its memory is bounded. It is
imported only where it is switched on."""

from __future__ import annotations

import os
import platform
import re
import time
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import Any

import gevent

from paddlestep.balance import Balancer
from paddlestep.interface import Action, Event

from . import flight
from .log import log_event

MAX_GENERATION_BYTES = 8 * 1024 * 1024  # the batches of one generation
# Between two files for faults: a repeating fault must not displace the first one's file.
MIN_FAULT_FILE_INTERVAL_S = 60.0
# Proxy, tier, version, SHA-256 of the module's source text as loaded.
RecordingInfo = tuple[str, int, str, str]
ABANDONED_AFTER_S = 600.0  # an unfinished recording that is older than this is abandoned and removed


class Generation:
    """A serialized module state and the batches that the module handled since."""

    def __init__(self, state: bytes) -> None:
        self.state = state
        self.batches: list[bytes] = []
        self.size_bytes = 0
        self.first = self.last = 0


class Ring:
    """Two generations: when the newer one is full, the older one is dropped. So at least half of `max_batches` are kept
    once that many were recorded, and never more than `max_batches`."""

    def __init__(self, max_batches: int, state: bytes) -> None:
        self.max_batches = max_batches
        self.older: Generation | None = None
        self.newer = Generation(state)

    def add(self, now: int, batch: bytes) -> bool:
        """Adds a batch. Returns whether the generation is full, so that `begin` must start another."""
        newer = self.newer
        newer.first = newer.first or now
        newer.last = now
        newer.batches.append(batch)
        newer.size_bytes += len(batch)
        return len(newer.batches) * 2 >= self.max_batches or newer.size_bytes >= MAX_GENERATION_BYTES

    def begin(self, state: bytes) -> None:
        self.older, self.newer = self.newer, Generation(state)

    def generations(self) -> list[Generation]:
        return [self.older, self.newer] if self.older else [self.newer]


class FlightRecorder:
    """`balancer` returns the module in use, `nodes` the nodes' ids by number. The constructor raises where recording is
    not possible; a later failure is logged and ends the recording."""

    def __init__(
        self, balancer: Callable[[], Balancer], nodes: Callable[[], dict[int, str]], batches: int
    ) -> None:
        self.balancer = balancer
        self.nodes = nodes
        self.encoder = flight.BatchEncoder()
        self.ring: Ring | None = Ring(batches, flight.serialize_balancer(balancer()))
        self.info: RecordingInfo = ("", 0, "", "")
        self.folder, self.keep = "", 1
        self.last_fault_file_s = -MIN_FAULT_FILE_INTERVAL_S
        self.write_greenlet: gevent.Greenlet[..., None] | None = None

    def configure(self, info: RecordingInfo, batches: int, folder: str, keep: int) -> None:
        """Applies settings that may change while it runs; recorded batches stay."""
        self.info, self.folder, self.keep = info, folder, keep
        if self.ring:
            self.ring.max_batches = batches

    # ------------------------------------------------------------ calls of the dispatcher

    def record_batch(
        self, now: int, names: list[str], events: list[Event], actions: list[Action] | None
    ) -> None:
        if self.ring is None:
            return
        try:
            full = self.ring.add(now, self.encoder.encode_batch(now, names, events, actions))
            if full and actions is not None:  # a failed module's state is no valid start of a recording
                self.ring.begin(flight.serialize_balancer(self.balancer()))
        except Exception as problem:
            self._disable(problem)

    def record_fault(self, problem: Exception) -> None:
        now = time.monotonic()
        if now - self.last_fault_file_s < MIN_FAULT_FILE_INTERVAL_S:
            log_event("recorder", "another fault within a minute: no file is written", "warning")
        elif self.write("fault", f"{type(problem).__name__}: {problem}"[:400]):
            self.last_fault_file_s = now
        try:
            if self.ring:
                self.ring = Ring(self.ring.max_batches, flight.serialize_balancer(self.balancer()))
        except Exception as own:
            self._disable(own)

    def _disable(self, problem: Exception) -> None:
        self.ring = None
        log_event("recorder", f"failed and is off: {type(problem).__name__}: {problem}", "error")

    # ------------------------------------------------------------ files

    def write(self, reason: str, problem: str = "") -> bool:
        """Writes the content of the ring in a thread, so that the hub is not blocked. Returns False where it cannot."""
        if self.ring is None:
            log_event("recorder", "failed earlier and is off: nothing to write", "error")
        elif self.write_greenlet:
            log_event("recorder", f"still writing the last file: none for {reason}", "warning")
        else:
            now = datetime.now(UTC)
            header, pieces = self._contents(self.ring.generations(), now, reason, problem)
            name = f"{_file_safe(header.proxy)}-{now:%Y%m%dT%H%M%S.%fZ}-{reason}.flight"
            self.write_greenlet = gevent.spawn(self._write_in_thread, name, header, pieces)
            return True
        return False

    def finish(self, on_stop: bool, patience_s: float = 10.0) -> None:
        """Called at the program's end: waits for a write in progress, and writes a last file if `on_stop`. Waits at
        most `patience_s` for each."""
        if self.write_greenlet:
            self.write_greenlet.join(patience_s)
        if on_stop:
            self.write("stop")
        if self.write_greenlet:
            self.write_greenlet.join(patience_s)

    def _contents(
        self, generations: list[Generation], now: datetime, reason: str, problem: str
    ) -> tuple[flight.RecordingHeader, Iterable[bytes]]:
        batches = [batch for generation in generations for batch in generation.batches]
        header = flight.RecordingHeader(
            *self.info, platform.python_version(), reason, problem,
            now.isoformat(timespec="milliseconds").replace("+00:00", "Z"), len(batches),
            generations[0].first, max(generation.last for generation in generations), flight.kinds(),
        )  # fmt: skip
        return header, flight.encode_file(header, generations[0].state, dict(self.nodes()), batches)

    def _write_in_thread(self, name: str, header: flight.RecordingHeader, pieces: Iterable[bytes]) -> None:
        own = re.compile(rf"\.?{_file_safe(header.proxy)}-\d{{8}}T[\d.]+Z-[a-z]+\.flight(\.part)?")
        path = os.path.join(self.folder, name)
        fields: dict[str, Any] = {"file": path, "reason": header.reason, "batches": header.batches}
        try:
            size = gevent.get_hub().threadpool.apply(save, (self.folder, name, pieces, own, self.keep))
            log_event("recorder", "a recording has been written", bytes=size, **fields)
        except Exception as problem:
            log_event(
                "recorder",
                f"cannot write a recording: {type(problem).__name__}: {problem}",
                "error",
                **fields,
            )
        finally:
            self.write_greenlet = None


def _file_safe(name: str) -> str:
    """A proxy's name, made safe for a file name."""
    return re.sub(r"[^A-Za-z0-9_]", "_", name)[:80] or "proxy"


def save(folder: str, name: str, pieces: Iterable[bytes], own: re.Pattern[str], keep: int) -> int:
    """Writes a file atomically, removes the oldest recordings of this proxy beyond `keep`, and returns the file's size
    in bytes. Runs in a thread: it must use nothing but its arguments, and must not log."""
    temp_path = os.path.join(folder, f".{name}.part")
    size = 0
    try:
        with open(temp_path, "xb") as file:
            for piece in pieces:
                file.write(piece)
                size += len(piece)
            file.flush()
            os.fsync(file.fileno())
        os.rename(temp_path, os.path.join(folder, name))
    except BaseException:
        _remove(temp_path)
        raise
    _sync_folder(folder)
    _remove_old(folder, own, keep)
    return size


def _sync_folder(folder: str) -> None:
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)


def _remove_old(folder: str, own: re.Pattern[str], keep: int) -> None:
    """Removes old recordings and abandoned files. Names sort by time; files that do not match `own` are left alone."""
    names = sorted(name for name in os.listdir(folder) if own.fullmatch(name))
    for name in [name for name in names if not name.endswith(".part")][:-keep]:
        _remove(os.path.join(folder, name))
    for name in [name for name in names if name.endswith(".part")]:
        path = os.path.join(folder, name)
        try:
            if time.time() - os.stat(path).st_mtime > ABANDONED_AFTER_S:
                _remove(path)
        except OSError:
            pass  # its writer has just renamed it


def _remove(path: str) -> None:
    try:
        os.remove(path)
    except OSError:
        pass
