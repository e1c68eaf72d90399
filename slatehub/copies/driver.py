"""Drives one proxy's end of the group in the daemon: the folder, one thread that writes, the fleet's link, one alarm.
It owns the thread and the order in which records go to disk. It must never decide, never let the hub wait for a disk,
and never say that a record is durable before the log has."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import gevent
from gevent.event import Event as Bell
from gevent.threadpool import ThreadPool

from ..drivers.clock import Timer, clock
from ..fleet.driver import FleetDriver
from ..observe.log import error_location, log_event
from ..settings.operator import CopiesConfig
from ..store.files import DiskFolder
from ..store.write_ahead_log import RecoveryResult, StoreError, WriteAheadLog
from .messages import TOPIC, LogRecord, Message, MessageBatch, MessageError, decode_record, pack, unpack
from .replica import Change, OperationResult, Replica

AGAIN_S = 0.3  # between two tries to have the folder while another process of this proxy holds it
FINISH_S = 0.3
BATCH = 512  # records written at once
PIECE = 200  # records of a checkpoint made at once, so that nobody waits for them
LIVE_LEAST = 4 * 1024 * 1024  # bytes of log below which nothing is compacted
TIMES = 3  # as large as what lives: then it is
ROOM = 1_000  # bytes of messages in one datagram


class CopiesDriver:
    """`done` of `propose` is called with the result, once, perhaps at once."""

    def __init__(self, name: str, terms: CopiesConfig, link: FleetDriver, seed: int) -> None:
        self.name, self.terms, self.fleet = name, terms, link
        self.rng = Random(seed ^ clock())
        self.log: WriteAheadLog | None = None
        self.replica = self._machine(0, False)
        self.pool: ThreadPool | None = None
        self.pending_records: deque[LogRecord] = deque()
        self.bell = Bell()
        self.waiting: dict[int, Callable[[OperationResult], None]] = {}
        self.timer: Timer | None = None
        self.greenlets: list[Any] = []
        self.failure = "not open yet"
        self.live = 0  # bytes of the last checkpoint
        self.recovered: RecoveryResult | None = None
        self.counts = {"words": 0, "syncs": 0, "records": 0, "compacted": 0}

    def _machine(self, store: int, founding: bool) -> Replica:
        return Replica(
            self.name, store, self.terms.voters, clock(), self.rng, most=self.terms.most, founding=founding
        )  # fmt: skip

    # ------------------------------------------------------------ begin and end

    def open(self) -> None:
        """From here on it takes part, as soon as the folder is to be had; a proxy without one asks the others."""
        self.fleet.raise_receive_limit()
        self.pool = ThreadPool(1)
        self.greenlets = [gevent.spawn(self._write)]
        if not self.terms.folder:
            self.failure = ""
            self._listen()

    def _listen(self) -> None:
        """Not before the store has been read: what an empty machine wrote down, and whom it owed a result, would count
        for the one that takes its place, and a record would pass for durable that is not."""
        self.fleet.peer.handlers[TOPIC] = self._heard
        self._after()

    def _begin(self) -> bool:
        """Reads the folder. Whether there is anything to write to from now on."""
        told = False
        while self.log is None:
            try:
                self.log, self.recovered = self._there(_opened, self.terms.folder, self.terms.sync)
            except (OSError, StoreError) as problem:
                self.failure = f"{self.terms.folder}: {getattr(problem, 'strerror', None) or problem}"
                if not told:
                    log_event("copies", f"no store yet, trying on: {self.failure}", "warning")
                told = True
                gevent.sleep(AGAIN_S)
        self._restored(self.log, self.recovered or RecoveryResult())
        return True

    def _restored(self, log: WriteAheadLog, found: RecoveryResult) -> None:
        for line in found.damage:
            log_event("copies", f"damaged, counts as a new voter until it has caught up: {line}", "error")
        if found.is_copy:
            log_event("copies", "this folder was copied from elsewhere: counts as a new voter", "error")
        records = []
        for body in found.records:
            try:
                records.append(decode_record(body))
            except (
                MessageError
            ) as problem:  # of a later version: what it said is not known, so nothing may hang on it
                self.failure = f"a record of another version: {problem}"
                self.replica.fail_store(self.failure)
                self._listen()
                return
        self.replica = self._machine(log.store_id, found.is_new)
        self.replica.restore(records, clock())
        self.live = log.size
        self.failure = ""
        cut = (
            f", {found.truncated_bytes} bytes of writes that were cut short are gone"
            if found.truncated_bytes
            else ""
        )
        log_event("copies", f"store {log.store_id:016x}: {len(records)} records read{cut}")
        self._listen()

    def drain(self) -> None:
        """A planned end: what is under way, how the last orders ended above all, has a moment to be decided."""
        for _ in range(int(FINISH_S / 0.01)):
            if not self.replica.operations:
                return
            gevent.sleep(0.01)

    def close(self) -> None:
        for greenlet in self.greenlets:
            greenlet.kill()
        self.greenlets = []
        self.fleet.peer.handlers.pop(TOPIC, None)
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.log and self.pool is not None:
            log, self.log = self.log, None
            rest = [pack(r) for r in self.pending_records]
            self._there(_closed, log, rest)
        self.pool = None

    # ------------------------------------------------------------ asked

    def propose(
        self, key: bytes, change: Change, until: int, done: Callable[[OperationResult], None], limit: int = 0
    ) -> None:
        number = self.replica.propose(clock(), key, change, until, limit)
        self.waiting[number] = done
        self._after()

    def broadcast(self, topic: int, body: bytes) -> None:
        self.fleet.broadcast(topic, body)

    def change_voters(self, what: str, name: str, new: str) -> str:
        why = self.replica.change_voters(clock(), what, name, new)
        self._after()
        return why

    def local_value(self, key: bytes) -> bytes:
        row = self.replica.acceptor.get(key)
        return row.value if row else b""

    def has_quorum(self) -> bool:
        return self.replica.has_quorum()

    # ------------------------------------------------------------ the link

    def _heard(self, now: int, sender: str, body: bytes) -> None:
        try:
            bundle = unpack(body)
        except MessageError:
            self.counts["words"] += 1
            return
        self.replica.receive(now, sender, bundle)
        self._after()

    def _turn(self) -> None:
        wanted, self.timer = self.timer, None
        try:
            now = clock()
            self.replica.advance(now, max(0, now - wanted.due) if wanted else 0)
        except Exception as problem:
            log_event(
                "fault",
                f"copies: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )
        self._after()

    def _after(self) -> None:
        """Everything that the machine wants done, in order: records to the thread, messages out, results told."""
        records, out, done = self.replica.drain_output()
        if records:
            self.pending_records.extend(records)
            self.bell.set()
        by: dict[str, list[Message]] = {}
        for name, message in out:
            by.setdefault(name, []).append(message)
        for name, messages in by.items():
            for body in bundled(self.replica.self_voter.store_id, messages):
                self.fleet.send_payload(name, TOPIC, body)
        for line in self.replica.log_lines:
            log_event("copies", line)
        self.replica.log_lines.clear()
        for result in done:
            if tell := self.waiting.pop(result.operation, None):
                tell(result)
        due = max(self.replica.next_deadline(), clock() + 1_000)
        if self.timer is None or due < self.timer.due:
            if self.timer:
                self.timer.cancel()
            self.timer = Timer(due, self._turn)

    # ------------------------------------------------------------ the disk

    def _there(self, act: Callable[..., Any], *args: Any) -> Any:
        """In the thread, while other greenlets have their turn. What it raises is raised here, and is nobody else's:
        the pool would write a fault of its own to the log."""
        assert self.pool is not None
        found, problem = self.pool.apply(_caught, (act, args))
        if problem:
            raise problem
        return found

    def _write(self) -> None:
        """A greenlet: hands the thread what has come meanwhile, all at once, and goes on when it is durable."""
        if not self.terms.folder or not self._begin():
            return
        while True:
            self.bell.wait()
            self.bell.clear()
            while self.pending_records and not self.replica.store_failure:
                self._commit(
                    [self.pending_records.popleft() for _ in range(min(BATCH, len(self.pending_records)))]
                )
                if (
                    self.log
                    and self.log.size > max(LIVE_LEAST, TIMES * self.live)
                    and not self.replica.store_failure
                ):
                    self._compact()

    def _commit(self, some: list[LogRecord]) -> None:
        assert self.log
        try:
            self._there(self.log.commit, [pack(r) for r in some])
        except (StoreError, OSError) as problem:
            self._fail(str(problem))
            return
        self.counts["syncs"] += 1
        self.counts["records"] += len(some)
        self.replica.mark_durable(clock(), self.replica.durable_index + len(some))
        self._after()

    def _fail(self, why: str) -> None:
        self.failure = f"{self.terms.folder}: {why}"
        self.replica.fail_store(self.failure)
        log_event(
            "copies",
            f"the store has failed, this proxy no longer votes until it is started anew: {why}",
            "error",
        )
        self.pending_records.clear()
        self._after()

    def _compact(self) -> None:
        """What lives goes into a checkpoint, a piece at a time; records go on being written in between."""
        assert self.log
        try:
            checkpoint = self._there(self.log.checkpoint)
            size = 0
            for piece in pieces(self.replica.snapshot(), PIECE):
                bodies = [pack(r) for r in piece]
                size += sum(map(len, bodies))
                self._there(checkpoint.append, bodies)
                if self.pending_records:
                    self._commit(
                        [self.pending_records.popleft() for _ in range(min(BATCH, len(self.pending_records)))]
                    )
                if self.replica.store_failure:
                    return
            self._there(checkpoint.finish)
            self.live = size
            self.counts["compacted"] += 1
        except (StoreError, OSError) as problem:
            self._fail(str(problem))

    # ------------------------------------------------------------ shown

    def status(self) -> dict[str, Any]:
        """All of it, as JSON."""
        machine, group = self.replica, self.replica.config
        waits = len(machine.deferred_replies)
        return {
            "name": self.name, "store": f"{machine.self_voter.store_id:016x}",
            "problem": self.failure or machine.store_failure,
            "epoch": group.epoch, "voters": [_shown(v) for v in group.voters],
            "before": [_shown(v) for v in group.old_voters],
            "votes": machine.is_voter, "majority": machine.has_quorum(),
            "caught_up": not machine.catchup.is_catching_up,
            "silent": sorted(machine.unresponsive), "registers": len(machine.acceptor.registers),
            "log_bytes": self.log.size if self.log else 0, "waiting": waits, "under_way": len(machine.operations),
            "mended": machine.catchup.repaired_count, "counts": machine.counts | self.counts,
        }  # fmt: skip


def _shown(voter: Any) -> dict[str, str]:
    return {"name": voter.name, "store": f"{voter.store_id:016x}"}


def bundled(store: int, messages: list[Message]) -> Iterator[bytes]:
    """As few datagrams as they fit into."""
    part: list[Message] = []
    room = ROOM
    for message in messages:
        size = len(pack(message))
        if part and (size > room or len(part) >= 64):
            yield pack(MessageBatch(store, part))
            part, room = [], ROOM
        part.append(message)
        room -= size
    if part:
        yield pack(MessageBatch(store, part))


def pieces(records: Iterator[LogRecord], size: int) -> Iterator[list[LogRecord]]:
    piece: list[LogRecord] = []
    for one in records:
        piece.append(one)
        if len(piece) >= size:
            yield piece
            piece = []
    if piece:
        yield piece


def _caught(act: Callable[..., Any], args: tuple[Any, ...]) -> tuple[Any, Exception | None]:
    try:
        return act(*args), None
    except Exception as problem:
        return None, problem


def _opened(folder: str, sync: bool) -> tuple[WriteAheadLog, RecoveryResult]:
    files = DiskFolder(folder, sync)
    log = WriteAheadLog(files)
    try:
        found = log.open()
        if found.damage or found.is_copy:
            log.assign_new_store_id(found.records)
    except BaseException:
        files.close()
        raise
    return log, found


def _closed(log: WriteAheadLog, rest: list[bytes]) -> None:
    try:
        if rest and not log.failure:
            log.commit(rest)
    except StoreError:
        pass
    log.close()
