"""Simulates a group of proxies that replicate registers, on virtual time: real replica state machines
(`slatehub.copies`), a network that loses, duplicates and delays datagrams, disks that lose what was not
yet durable, and clients whose history is checked. A run is determined by its seed. The replicas are only
driven through their public interface.

Each client operation appends a token of its own to a register, so the final value is the order in which all
operations took effect. A register is linearizable if every response is consistent with that order, and every
operation that had ended before another began comes before it (as in Kingsbury and Alvaro, Elle, 2020, for
lists)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any

from slatehub.copies.messages import LogRecord, Message, MessageBatch, decode_record, pack, unpack
from slatehub.copies.replica import UNCERTAIN, UNCHANGED, WRITTEN, OperationResult, Replica, ReplicaConfig

from .network import PeerNetwork

EPOCH = 1_700_000_000_000_000
MS = 1_000
SECOND = 1_000_000
TOKEN_BYTES = 6  # bytes


@dataclass(slots=True)
class Disk:
    """`synced`: records that survive a crash; `unsynced`: written and not yet durable."""

    store: int
    synced: list[LogRecord] = field(default_factory=list)
    unsynced: list[LogRecord] = field(default_factory=list)
    busy: bool = False
    delay: int = 200  # mean duration of a sync, microseconds
    full: bool = False
    fresh: bool = True


@dataclass(slots=True)
class Operation:
    """One client operation, as recorded in the history."""

    key: bytes
    token: bytes
    began: int
    ended: int = 0
    outcome: str = ""
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class AppendToken:
    """The change that an operation makes to a register: appends one token."""

    token: bytes

    def __call__(self, found: bytes) -> bytes:
        """Appends the token once. An earlier attempt of this operation may have been accepted and followed by
        other tokens; then the value is only written again, as the value found need not have been decided."""
        return found if self.token in tokens(found) else found + self.token


ReplicaFactory = Callable[[str, int, int, Random, bool], Replica]


class ReplicaSimulation:
    """`names` are the founding voters. `crash` keeps the disk unless `wipe` is set. `running`: the replicas
    that run, by name."""

    def __init__(
        self,
        seed: int,
        names: list[str],
        terms: ReplicaConfig | None = None,
        build: ReplicaFactory | None = None,
    ) -> None:
        self.rng = Random(seed)
        self.net = PeerNetwork(Random(seed + 1))
        self.founders = list(names)
        self.terms = terms or ReplicaConfig()
        self.build = build or self._default_build
        self.now = EPOCH
        self.disks: dict[str, Disk] = {}
        self.running: dict[str, Replica] = {}
        self.lives: dict[str, int] = {}
        self.frozen: dict[str, list[tuple[str, bytes]]] = {}
        self.clocks: dict[str, int] = {}  # offset of each node's clock, microseconds
        self.history: list[Operation] = []
        self.open_operations: dict[tuple[str, int, int], Operation] = {}
        self.lines: list[tuple[int, str, str]] = []
        self._queue: list[tuple[int, int, str, str, Any]] = []
        self._sequence = 0
        self._next_wakeup: dict[str, int] = {}
        self.tokens = 0
        self.messages_sent = 0
        self.reuse_store_id = (
            False  # deliberate fault: a node that lost its storage keeps its identity as a voter
        )
        self.copies_override: Callable[[int, str, str], int] | None = (
            None  # number of copies of datagram n that arrive
        )

    def _default_build(self, name: str, store: int, now: int, rng: Random, founding: bool) -> Replica:
        return Replica(name, store, self.founders, now, rng, self.terms, founding=founding)

    # ------------------------------------------------------------ nodes

    def start(self, *names: str) -> None:
        for name in names:
            disk = self.disks.get(name)
            if disk is None:
                disk = self.disks[name] = Disk(self.rng.getrandbits(62) | 1)
            self.lives[name] = self.lives.get(name, 0) + 1
            replica = self.build(
                name, disk.store, self._clock(name), Random(self.rng.getrandbits(60)), disk.fresh
            )
            replica.restore([decode_record(pack(r)) for r in disk.synced], self._clock(name))
            self.running[name] = replica
            self._next_wakeup.pop(name, None)
            self._process_output(name)

    def _clock(self, name: str) -> int:
        return self.now + self.clocks.get(name, 0)

    def crash(self, name: str, wipe: bool = False) -> None:
        """Crashes a node. Records that are not durable are lost, except for a random prefix that reached the
        disk."""
        if self.running.pop(name, None):
            disk = self.disks[name]
            disk.synced += disk.unsynced[: self.rng.randrange(len(disk.unsynced) + 1)]
            disk.unsynced.clear()
            disk.busy = disk.full = False
            for key in [k for k in self.open_operations if k[0] == name]:
                self._end_operation(self.open_operations.pop(key), UNCERTAIN, b"")
        self.frozen.pop(name, None)
        self.lives[name] = self.lives.get(name, 0) + 1
        if wipe and name in self.disks:
            store = self.disks.pop(name).store
            if self.reuse_store_id:
                self.disks[name] = Disk(store, fresh=False)

    def freeze(self, name: str) -> None:
        if name in self.running:
            self.frozen.setdefault(name, [])

    def unfreeze(self, name: str) -> None:
        for sender, data in self.frozen.pop(name, [])[:200]:
            self._receive(name, sender, data)
        if name in self.running:
            self._advance_replica(name)

    def fill_disk(self, name: str) -> None:
        """Makes the node's disk refuse further writes."""
        if name in self.running:
            self.disks[name].full = True

    # ------------------------------------------------------------ clients

    def append_token(self, name: str, key: bytes) -> Operation | None:
        """Starts a client operation at this node that appends a token to the register `key`."""
        if name not in self.running or name in self.frozen:
            return None
        self.tokens += 1
        operation = Operation(key, self.tokens.to_bytes(TOKEN_BYTES, "big"), self.now)
        self.history.append(operation)
        replica = self.running[name]
        number = replica.propose(self._clock(name), key, AppendToken(operation.token))
        self.open_operations[name, self.lives[name], number] = operation
        self._process_output(name)
        return operation

    def _end_operation(self, operation: Operation, how: str, value: bytes) -> None:
        operation.ended, operation.outcome, operation.value = self.now, how, value

    # ------------------------------------------------------------ time

    def run(self, span: int) -> None:
        end = self.now + span
        while self._queue and self._queue[0][0] <= end:
            due, _, kind, name, what = heappop(self._queue)
            self.now = max(self.now, due)
            if kind == "call":
                what()
            elif name not in self.running:
                continue
            elif kind == "data":
                if name in self.frozen:
                    self.frozen[name].append(what)
                else:
                    self._receive(name, *what)
            elif kind == "synced":
                self._synced(name, what)
            elif self._next_wakeup.get(name) == due and name not in self.frozen and what == self.lives[name]:
                self._advance_replica(name)
        self.now = end

    def call_after(self, span: int, call: Callable[[], Any]) -> None:
        self._schedule(self.now + span, "call", "", call)

    def _receive(self, name: str, sender: str, data: bytes) -> None:
        self.running[name].receive(self._clock(name), sender, unpack(data))
        self._process_output(name)

    def _advance_replica(self, name: str) -> None:
        self.running[name].advance(
            self._clock(name), max(0, self.now - self._next_wakeup.get(name, self.now))
        )
        self._process_output(name)

    def _process_output(self, name: str) -> None:
        replica = self.running[name]
        records, out, done = replica.drain_output()
        self.disks[name].unsynced += records
        self._sync(name)
        by: dict[str, list[Message]] = {}
        for to, message in out:
            by.setdefault(to, []).append(message)
        for to, messages in by.items():
            self._send(name, to, pack(MessageBatch(replica.self_voter.store_id, messages[:64])))
        for result in done:
            self._result(name, result)
        self.lines += [(self.now, name, line) for line in replica.log_lines]
        replica.log_lines.clear()
        due = max(self.now + 1, replica.next_deadline() - self.clocks.get(name, 0))
        if (
            name not in self._next_wakeup
            or due < self._next_wakeup[name]
            or self._next_wakeup[name] <= self.now
        ):
            self._next_wakeup[name] = due
            self._schedule(due, "ring", name, self.lives[name])

    def _send(self, name: str, to: str, data: bytes) -> None:
        self.messages_sent += 1
        copies = self.net.deliveries(name, to, data)
        if self.copies_override:
            copies = copies[:1] * self.copies_override(self.messages_sent, name, to)
        for wait, copy in copies:
            self._schedule(self.now + wait, "data", to, (name, copy))

    def _sync(self, name: str) -> None:
        disk = self.disks[name]
        if disk.unsynced and not disk.busy:
            if disk.full:
                if not self.running[name].store_failure:
                    self.running[name].fail_store("no space left")
                return
            disk.busy = True
            delay = 1 + int(disk.delay * 2 * self.rng.random())
            self._schedule(self.now + delay, "synced", name, (self.lives[name], len(disk.unsynced)))

    def _synced(self, name: str, what: tuple[int, int]) -> None:
        life, count = what
        disk, replica = self.disks[name], self.running[name]
        if life != self.lives[name]:
            return
        disk.busy = False
        if disk.full:
            replica.fail_store("no space left")
        else:
            disk.synced += disk.unsynced[:count]
            del disk.unsynced[:count]
            disk.fresh = disk.fresh and not disk.synced
            # The disk continues while the process is frozen; the process is notified of the sync when it resumes.
            if name in self.frozen:
                self.call_after(0, lambda: self._mark_durable_later(name, life, count))
                return
            replica.mark_durable(self._clock(name), replica.durable_index + count)
        self._process_output(name)

    def _mark_durable_later(self, name: str, life: int, count: int) -> None:
        if life != self.lives[name] or name not in self.running:
            return
        if name in self.frozen:
            self.call_after(10 * MS, lambda: self._mark_durable_later(name, life, count))
            return
        self.running[name].mark_durable(self._clock(name), self.running[name].durable_index + count)
        self._process_output(name)

    def _result(self, name: str, result: OperationResult) -> None:
        operation = self.open_operations.pop((name, self.lives[name], result.operation), None)
        if operation:
            self._end_operation(operation, result.outcome, result.value)

    def _schedule(self, due: int, kind: str, name: str, what: Any) -> None:
        self._sequence += 1
        heappush(self._queue, (due, self._sequence, kind, name, what))

    # ------------------------------------------------------------ checks

    def read(self, key: bytes) -> bytes | None:
        """Reads a register through a majority: runs an operation of its own, tried at each running node."""
        for _ in range(40):
            for name in sorted(self.running):
                operation = self.append_token(name, key)
                self.run(SECOND)
                if operation and operation.outcome == WRITTEN:
                    return operation.value
        return None


def tokens(value: bytes) -> list[bytes]:
    """Splits a register's value into its tokens."""
    return [value[i : i + TOKEN_BYTES] for i in range(0, len(value), TOKEN_BYTES)]


def linearizability_violations(history: list[Operation]) -> list[str]:
    """Violations of linearizability in a history, in order of time, each with the shortest history that shows
    it. The last operation on each register must be one that was answered."""
    found: list[str] = []
    for key in sorted({operation.key for operation in history}):
        ops = [operation for operation in history if operation.key == key]
        found += _register_violations(key, ops)
    return found


def _register_violations(key: bytes, ops: list[Operation]) -> list[str]:
    done = [op for op in ops if op.outcome == WRITTEN]
    if not done:
        return []
    final = tokens(max(done, key=lambda op: (op.ended, len(op.value))).value)
    position = {token: i for i, token in enumerate(final)}
    found = []
    if len(position) < len(final):
        found.append(f"{key.hex()[:6]}: a token appears twice")
    for op in done:
        seen = tokens(op.value)
        if seen != final[: len(seen)] or op.token not in seen:
            text = (
                f"token {_short(op.token)} was answered {_token_list(seen)}, final value {_token_list(final)}"
            )
            found.append(f"{key.hex()[:6]}: {text}")
    for op in ops:
        if op.outcome not in (WRITTEN, UNCERTAIN, "") and op.outcome != UNCHANGED and op.token in position:
            found.append(
                f"{key.hex()[:6]}: token {_short(op.token)} was reported as not written, yet is in the register"
            )
    order = sorted((op for op in ops if op.token in position), key=lambda op: position[op.token])
    latest = 0
    for op in order:
        if op.ended and op.outcome == WRITTEN and op.ended < latest:
            found.append(
                f"{key.hex()[:6]}: token {_short(op.token)} comes after one that began after its end"
            )
        latest = max(latest, op.began)
    return found


def _short(token: bytes) -> str:
    return str(int.from_bytes(token, "big"))


def _token_list(some: list[bytes]) -> str:
    return "[" + " ".join(map(_short, some)) + "]"
