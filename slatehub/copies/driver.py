"""Runs the replica of one proxy in the daemon, with the store folder, one writer thread, the fleet link and one timer.
The driver keeps the order of log records on their way to disk. It makes no decisions of its own, never blocks the
gevent hub on disk I/O, and reports a record as durable only after the write-ahead log has synced it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import gevent
from gevent.event import Event
from gevent.threadpool import ThreadPool

from ..drivers.clock import Timer, clock
from ..fleet.driver import FleetDriver
from ..observe.log import error_location, log_event
from ..settings.operator import CopiesConfig
from ..store.files import DiskFolder
from ..store.write_ahead_log import RecoveryResult, StoreError, WriteAheadLog
from .messages import (
    REPLICA_TOPIC,
    LogRecord,
    Message,
    MessageBatch,
    MessageError,
    decode_record,
    pack,
    unpack,
)
from .replica import ChangeFunction, OperationResult, Replica

OPEN_RETRY_S = 0.3  # between two attempts to open the folder while another process holds its lock
DRAIN_S = 0.3  # for the operations under way at a planned shutdown
MAX_COMMIT_RECORDS = 512  # records per commit
CHECKPOINT_PART_RECORDS = 200  # records per write of a checkpoint: commits do not wait for a whole one
MIN_COMPACT_BYTES = 4 * 1024 * 1024  # a smaller log is not compacted
COMPACT_RATIO = 3  # the log is compacted when it exceeds the last checkpoint this many times
MAX_DATAGRAM_BYTES = 1_000  # bytes of messages in one datagram


class CopiesDriver:
    """`propose` calls `done` exactly once with the result, possibly before it returns."""

    def __init__(self, name: str, settings: CopiesConfig, fleet: FleetDriver, seed: int) -> None:
        self.name, self.settings, self.fleet = name, settings, fleet
        self.rng = Random(seed ^ clock())
        self.log: WriteAheadLog | None = None
        self.replica = self._new_replica(0, False)
        self.pool: ThreadPool | None = None
        self.pending_records: deque[LogRecord] = deque()
        self.records_ready = Event()
        self.callbacks: dict[int, Callable[[OperationResult], None]] = {}
        self.timer: Timer | None = None
        self.greenlets: list[Any] = []
        self.failure = "not open yet"
        self.checkpoint_bytes = 0  # size of the last checkpoint
        self.recovery: RecoveryResult | None = None
        self.counts = {"words": 0, "syncs": 0, "records": 0, "compacted": 0}

    def _new_replica(self, store: int, founding: bool) -> Replica:
        return Replica(
            self.name, store, self.settings.voters, clock(), self.rng,
            max_registers=self.settings.most, founding=founding,
        )  # fmt: skip

    # ------------------------------------------------------------ start and stop

    def open(self) -> None:
        """Starts the replica once the folder can be locked. A proxy without a folder only proposes to the others."""
        self.fleet.raise_receive_limit()
        self.pool = ThreadPool(1)
        self.greenlets = [gevent.spawn(self._write_loop)]
        if not self.settings.folder:
            self.failure = ""
            self._listen()

    def _listen(self) -> None:
        """Starts to receive messages. With a folder, the store must have been read before. Otherwise the log records
        and open operations of the empty replica would count for the restored one that replaces it, and a record could
        pass for durable that is not."""
        self.fleet.peer.handlers[REPLICA_TOPIC] = self._receive
        self._process_output()

    def _open_store(self) -> bool:
        """Opens the log and restores the replica, retrying until the folder is available. Always returns True."""
        reported = False
        while self.log is None:
            try:
                self.log, self.recovery = self._run_in_thread(
                    _open_log, self.settings.folder, self.settings.sync
                )
            except (OSError, StoreError) as error:
                self.failure = f"{self.settings.folder}: {getattr(error, 'strerror', None) or error}"
                if not reported:
                    log_event("copies", f"cannot open the store yet, retrying: {self.failure}", "warning")
                reported = True
                gevent.sleep(OPEN_RETRY_S)
        self._restore(self.log, self.recovery or RecoveryResult())
        return True

    def _restore(self, log: WriteAheadLog, found: RecoveryResult) -> None:
        for line in found.damage:
            log_event("copies", f"damaged, counts as a new voter until it has caught up: {line}", "error")
        if found.is_copy:
            log_event("copies", "this folder was copied from elsewhere: counts as a new voter", "error")
        records = []
        for body in found.records:
            try:
                records.append(decode_record(body))
            except MessageError as error:
                # A record of a later version: its meaning is unknown, so this store must not vote.
                self.failure = f"a record of another version: {error}"
                self.replica.fail_store(self.failure)
                self._listen()
                return
        self.replica = self._new_replica(log.store_id, found.is_new)
        self.replica.restore(records, clock())
        self.checkpoint_bytes = log.size
        self.failure = ""
        truncated = (
            f", {found.truncated_bytes} bytes of incomplete writes removed" if found.truncated_bytes else ""
        )
        log_event("copies", f"store {log.store_id:016x}: {len(records)} records read{truncated}")
        self._listen()

    def drain(self) -> None:
        """At a planned shutdown, gives the operations under way time to finish, above all the outcomes of the last
        requests."""
        for _ in range(int(DRAIN_S / 0.01)):
            if not self.replica.operations:
                return
            gevent.sleep(0.01)

    def close(self) -> None:
        """Stops receiving and writing, commits the pending records and closes the store."""
        for greenlet in self.greenlets:
            greenlet.kill()
        self.greenlets = []
        self.fleet.peer.handlers.pop(REPLICA_TOPIC, None)
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if self.log and self.pool is not None:
            log, self.log = self.log, None
            rest = [pack(r) for r in self.pending_records]
            self._run_in_thread(_close_log, log, rest)
        self.pool = None

    # ------------------------------------------------------------ interface

    def propose(
        self,
        key: bytes,
        change: ChangeFunction,
        expires_at_s: int,
        done: Callable[[OperationResult], None],
        limit_us: int = 0,
    ) -> None:
        """Starts an operation on a register; see `Replica.propose`."""
        number = self.replica.propose(clock(), key, change, expires_at_s, limit_us)
        self.callbacks[number] = done
        self._process_output()

    def broadcast(self, topic: int, body: bytes) -> None:
        """Sends the payload to all reachable members."""
        self.fleet.broadcast(topic, body)

    def change_voters(self, what: str, name: str, new: str) -> str:
        """Starts an operator's change of the voters. Returns the reason for a refusal, or ""."""
        why = self.replica.change_voters(clock(), what, name, new)
        self._process_output()
        return why

    def local_value(self, key: bytes) -> bytes:
        """The value of the register in the local store, possibly outdated; empty if there is none."""
        row = self.replica.acceptor.get(key)
        return row.value if row else b""

    def has_quorum(self) -> bool:
        """Whether a quorum seems reachable."""
        return self.replica.has_quorum()

    # ------------------------------------------------------------ fleet link

    def _receive(self, now: int, sender: str, body: bytes) -> None:
        try:
            batch = unpack(body)
        except MessageError:
            self.counts["words"] += 1
            return
        self.replica.receive(now, sender, batch)
        self._process_output()

    def _on_timer(self) -> None:
        timer, self.timer = self.timer, None
        try:
            now = clock()
            self.replica.advance(now, max(0, now - timer.due) if timer else 0)
        except Exception as error:
            log_event(
                "fault",
                f"copies: {type(error).__name__}: {error}",
                "error",
                where=error_location(error),
            )
        self._process_output()

    def _process_output(self) -> None:
        """Handles the output of the replica, in order: records to the writer, messages to the fleet link, results to
        their callbacks."""
        records, out, done = self.replica.drain_output()
        if records:
            self.pending_records.extend(records)
            self.records_ready.set()
        by_recipient: dict[str, list[Message]] = {}
        for name, message in out:
            by_recipient.setdefault(name, []).append(message)
        for name, messages in by_recipient.items():
            for body in batches(self.replica.self_voter.store_id, messages):
                self.fleet.send_payload(name, REPLICA_TOPIC, body)
        for line in self.replica.log_lines:
            log_event("copies", line)
        self.replica.log_lines.clear()
        for result in done:
            if callback := self.callbacks.pop(result.operation, None):
                callback(result)
        due = max(self.replica.next_deadline(), clock() + 1_000)
        if self.timer is None or due < self.timer.due:
            if self.timer:
                self.timer.cancel()
            self.timer = Timer(due, self._on_timer)

    # ------------------------------------------------------------ disk

    def _run_in_thread(self, act: Callable[..., Any], *args: Any) -> Any:
        """Calls `act` in the writer thread while other greenlets run. Its exceptions are returned and raised here: the
        thread pool would also write them to the log."""
        assert self.pool is not None
        found, error = self.pool.apply(_call_catching, (act, args))
        if error:
            raise error
        return found

    def _write_loop(self) -> None:
        """Greenlet that commits all records pending since the last commit together, one commit at a time."""
        if not self.settings.folder or not self._open_store():
            return
        while True:
            self.records_ready.wait()
            self.records_ready.clear()
            while self.pending_records and not self.replica.store_failure:
                self._commit(
                    [
                        self.pending_records.popleft()
                        for _ in range(min(MAX_COMMIT_RECORDS, len(self.pending_records)))
                    ]
                )
                if (
                    self.log
                    and self.log.size > max(MIN_COMPACT_BYTES, COMPACT_RATIO * self.checkpoint_bytes)
                    and not self.replica.store_failure
                ):
                    self._compact()

    def _commit(self, records: list[LogRecord]) -> None:
        assert self.log
        try:
            self._run_in_thread(self.log.commit, [pack(r) for r in records])
        except (StoreError, OSError) as error:
            self._fail(str(error))
            return
        self.counts["syncs"] += 1
        self.counts["records"] += len(records)
        self.replica.mark_durable(clock(), self.replica.durable_index + len(records))
        self._process_output()

    def _fail(self, reason: str) -> None:
        self.failure = f"{self.settings.folder}: {reason}"
        self.replica.fail_store(self.failure)
        log_event(
            "copies",
            f"the store has failed, this proxy does not vote until it is restarted: {reason}",
            "error",
        )
        self.pending_records.clear()
        self._process_output()

    def _compact(self) -> None:
        """Writes the current state into a checkpoint, part by part; new records are committed in between."""
        assert self.log
        try:
            checkpoint = self._run_in_thread(self.log.checkpoint)
            size = 0
            for part in split(self.replica.snapshot(), CHECKPOINT_PART_RECORDS):
                bodies = [pack(r) for r in part]
                size += sum(map(len, bodies))
                self._run_in_thread(checkpoint.append, bodies)
                if self.pending_records:
                    self._commit(
                        [
                            self.pending_records.popleft()
                            for _ in range(min(MAX_COMMIT_RECORDS, len(self.pending_records)))
                        ]
                    )
                if self.replica.store_failure:
                    return
            self._run_in_thread(checkpoint.finish)
            self.checkpoint_bytes = size
            self.counts["compacted"] += 1
        except (StoreError, OSError) as error:
            self._fail(str(error))

    # ------------------------------------------------------------ status

    def status(self) -> dict[str, Any]:
        """The status as a tree for JSON."""
        replica, group = self.replica, self.replica.config
        waiting = len(replica.deferred_replies)
        return {
            "name": self.name, "store": f"{replica.self_voter.store_id:016x}",
            "problem": self.failure or replica.store_failure,
            "epoch": group.epoch, "voters": [_voter_tree(v) for v in group.voters],
            "before": [_voter_tree(v) for v in group.old_voters],
            "votes": replica.is_voter, "majority": replica.has_quorum(),
            "caught_up": not replica.catchup.is_catching_up,
            "silent": sorted(replica.unresponsive), "registers": len(replica.acceptor.registers),
            "log_bytes": self.log.size if self.log else 0, "waiting": waiting, "under_way": len(replica.operations),
            "mended": replica.catchup.repaired_count, "counts": replica.counts | self.counts,
        }  # fmt: skip


def _voter_tree(voter: Any) -> dict[str, str]:
    return {"name": voter.name, "store": f"{voter.store_id:016x}"}


def batches(store: int, messages: list[Message]) -> Iterator[bytes]:
    """Packs the messages, in order, into batches of one datagram each."""
    part: list[Message] = []
    room = MAX_DATAGRAM_BYTES
    for message in messages:
        size = len(pack(message))
        if part and (size > room or len(part) >= 64):
            yield pack(MessageBatch(store, part))
            part, room = [], MAX_DATAGRAM_BYTES
        part.append(message)
        room -= size
    if part:
        yield pack(MessageBatch(store, part))


def split(records: Iterator[LogRecord], size: int) -> Iterator[list[LogRecord]]:
    """Splits the records into lists of at most `size`."""
    part: list[LogRecord] = []
    for record in records:
        part.append(record)
        if len(part) >= size:
            yield part
            part = []
    if part:
        yield part


def _call_catching(act: Callable[..., Any], args: tuple[Any, ...]) -> tuple[Any, Exception | None]:
    try:
        return act(*args), None
    except Exception as error:
        return None, error


def _open_log(folder: str, sync: bool) -> tuple[WriteAheadLog, RecoveryResult]:
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


def _close_log(log: WriteAheadLog, rest: list[bytes]) -> None:
    try:
        if rest and not log.failure:
            log.commit(rest)
    except StoreError:
        pass
    log.close()
