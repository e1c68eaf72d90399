"""The flight recorder: the last batches of events and actions of the decision module, kept in memory, and written to a
file when the module fails, when asked for, and at the end where that is wanted. It owns the ring and the files in its
folder. It must never change what it is shown, never raise, never hold up the hub for a write, and never grow beyond its
bounds. It is imported only where it is on."""

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

MAX_GENERATION_BYTES = 8 * 1024 * 1024  # of the batches of one generation
FAULTS_EVERY_S = 60.0  # between two files for faults: one that comes again must not push out the first one's
About = tuple[str, int, str, str]  # proxy, tier, version, SHA-256 of the module's text as it was loaded
LEFTOVER_S = 600.0  # an unfinished file of ours that is older will never be finished


class Generation:
    """A frozen module and the batches that it was given since."""

    def __init__(self, state: bytes) -> None:
        self.state = state
        self.batches: list[bytes] = []
        self.size_bytes = 0
        self.first = self.last = 0


class Ring:
    """Two generations: when the newer is full, the older goes. So at least half of `most` batches are there once so
    many have been, and never more than `most`."""

    def __init__(self, most: int, state: bytes) -> None:
        self.most = most
        self.older: Generation | None = None
        self.newer = Generation(state)

    def add(self, now: int, batch: bytes) -> bool:
        """Whether the generation is full: it is time to `begin` another."""
        newer = self.newer
        newer.first = newer.first or now
        newer.last = now
        newer.batches.append(batch)
        newer.size_bytes += len(batch)
        return len(newer.batches) * 2 >= self.most or newer.size_bytes >= MAX_GENERATION_BYTES

    def begin(self, state: bytes) -> None:
        self.older, self.newer = self.newer, Generation(state)

    def generations(self) -> list[Generation]:
        return [self.older, self.newer] if self.older else [self.newer]


class FlightRecorder:
    """`balancer` gives the module in use, `nodes` the nodes' ids by number. What can fail fails here, before anything
    is recorded; from then on a failure is a line in the log, and the end of the recording."""

    def __init__(
        self, balancer: Callable[[], Balancer], nodes: Callable[[], dict[int, str]], batches: int
    ) -> None:
        self.balancer = balancer
        self.nodes = nodes
        self.encoder = flight.Writer()
        self.ring: Ring | None = Ring(batches, flight.freeze(balancer()))
        self.about: About = ("", 0, "", "")
        self.folder, self.keep = "", 1
        self.faulted = -FAULTS_EVERY_S
        self.write_greenlet: gevent.Greenlet[..., None] | None = None

    def configure(self, about: About, batches: int, folder: str, keep: int) -> None:
        """Terms that may change while it runs; what has been recorded stays."""
        self.about, self.folder, self.keep = about, folder, keep
        if self.ring:
            self.ring.most = batches

    # ------------------------------------------------------------ what the desk tells

    def record_batch(
        self, now: int, names: list[str], events: list[Event], actions: list[Action] | None
    ) -> None:
        if self.ring is None:
            return
        try:
            full = self.ring.add(now, self.encoder.batch(now, names, events, actions))
            if full and actions is not None:  # a module that has failed is nothing to go on from
                self.ring.begin(flight.freeze(self.balancer()))
        except Exception as problem:
            self._end(problem)

    def record_fault(self, problem: Exception) -> None:
        now = time.monotonic()
        if now - self.faulted < FAULTS_EVERY_S:
            log_event("recorder", "a further fault within a minute: no file for it", "warning")
        elif self.write("fault", f"{type(problem).__name__}: {problem}"[:400]):
            self.faulted = now
        try:
            if self.ring:
                self.ring = Ring(self.ring.most, flight.freeze(self.balancer()))
        except Exception as own:
            self._end(own)

    def _end(self, problem: Exception) -> None:
        self.ring = None
        log_event("recorder", f"has failed and is off: {type(problem).__name__}: {problem}", "error")

    # ------------------------------------------------------------ files

    def write(self, reason: str, problem: str = "") -> bool:
        """Has all that is in the ring written, by a thread; the hub only hands it over. False where it cannot."""
        if self.ring is None:
            log_event("recorder", "has failed before and is off: nothing to write", "error")
        elif self.write_greenlet:
            log_event("recorder", f"still at the last file: none for {reason}", "warning")
        else:
            now = datetime.now(UTC)
            head, pieces = self._contents(self.ring.generations(), now, reason, problem)
            name = f"{_safe(head.proxy)}-{now:%Y%m%dT%H%M%S.%fZ}-{reason}.flight"
            self.write_greenlet = gevent.spawn(self._written, name, head, pieces)
            return True
        return False

    def finish(self, on_stop: bool, patience_s: float = 10.0) -> None:
        """At the program's end: a file of all if wanted, and no more waiting for a disk than that."""
        if self.write_greenlet:
            self.write_greenlet.join(patience_s)
        if on_stop:
            self.write("stop")
        if self.write_greenlet:
            self.write_greenlet.join(patience_s)

    def _contents(
        self, parts: list[Generation], now: datetime, reason: str, problem: str
    ) -> tuple[flight.Head, Iterable[bytes]]:
        batches = [batch for part in parts for batch in part.batches]
        head = flight.Head(
            *self.about, platform.python_version(), reason, problem,
            now.isoformat(timespec="milliseconds").replace("+00:00", "Z"), len(batches),
            parts[0].first, max(part.last for part in parts), flight.kinds(),
        )  # fmt: skip
        return head, flight.layout(head, parts[0].state, dict(self.nodes()), batches)

    def _written(self, name: str, head: flight.Head, pieces: Iterable[bytes]) -> None:
        own = re.compile(rf"\.?{_safe(head.proxy)}-\d{{8}}T[\d.]+Z-[a-z]+\.flight(\.part)?")
        path = os.path.join(self.folder, name)
        told: dict[str, Any] = {"file": path, "reason": head.reason, "batches": head.batches}
        try:
            size = gevent.get_hub().threadpool.apply(save, (self.folder, name, pieces, own, self.keep))
            log_event("recorder", "a recording has been written", bytes=size, **told)
        except Exception as problem:
            log_event(
                "recorder", f"cannot write a recording: {type(problem).__name__}: {problem}", "error", **told
            )
        finally:
            self.write_greenlet = None


def _safe(name: str) -> str:
    """A proxy's name as part of a file's."""
    return re.sub(r"[^A-Za-z0-9_]", "_", name)[:80] or "proxy"


def save(folder: str, name: str, pieces: Iterable[bytes], own: re.Pattern[str], keep: int) -> int:
    """Writes a file whole or not at all, drops the oldest of our own beyond `keep`, and returns its size. It runs in a
    thread: it must touch nothing but its arguments, and never the log."""
    part = os.path.join(folder, f".{name}.part")
    size = 0
    try:
        with open(part, "xb") as file:
            for piece in pieces:
                file.write(piece)
                size += len(piece)
            file.flush()
            os.fsync(file.fileno())
        os.rename(part, os.path.join(folder, name))
    except BaseException:
        _remove(part)
        raise
    _sync(folder)
    _clear(folder, own, keep)
    return size


def _sync(folder: str) -> None:
    place = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(place)
    finally:
        os.close(place)


def _clear(folder: str, own: re.Pattern[str], keep: int) -> None:
    """Names sort by their time. What is not named as we name ours is never touched."""
    mine = sorted(name for name in os.listdir(folder) if own.fullmatch(name))
    for name in [name for name in mine if not name.endswith(".part")][:-keep]:
        _remove(os.path.join(folder, name))
    for name in [name for name in mine if name.endswith(".part")]:
        path = os.path.join(folder, name)
        try:
            if time.time() - os.stat(path).st_mtime > LEFTOVER_S:
                _remove(path)
        except OSError:
            pass  # its writer has just finished it


def _remove(path: str) -> None:
    try:
        os.remove(path)
    except OSError:
        pass
