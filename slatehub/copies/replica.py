"""The replica of one proxy: CASPaxos proposer, acceptor and group membership. Pure: it takes the time, messages and
durability notices, and returns messages, log records and results. The daemon, the model and the randomized simulation
drive the same class. It keeps the operations under way and the times of their retries. It counts replies of current
voters only, and no operation outlives its deadline: without a reachable quorum an operation fails immediately.

An operation reads a register at a quorum (prepare), applies its change function and writes at a quorum (accept). Each
accept also carries the proposer's next ballot as a promise, so a proposer that has just written a register can write it
again without the prepare phase. There is no leader: when a proxy is lost, the others continue without a pause."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from .acceptor import Acceptor
from .catchup import CatchUp
from .messages import (
    CONFIG_KEY,
    MAX_VALUE_BYTES,
    NO_BALLOT,
    NOT_A_VOTER,
    STALE_BALLOT,
    STALE_EPOCH,
    STORE_UNAVAILABLE,
    VOTER_BEHIND,
    Accept,
    Accepted,
    Ballot,
    CaughtUp,
    ConfigAdopted,
    ConfigRequest,
    ConfigResponse,
    GroupConfig,
    Heartbeat,
    KeysRequest,
    KeysResponse,
    LogRecord,
    Message,
    MessageBatch,
    Prepare,
    Promise,
    RangeDigests,
    RegisterState,
    Rejected,
    StatesRequest,
    StatesResponse,
    Voter,
)
from .messages import decode_config as config_of
from .reconfiguration import (
    ConfigChange,
    ReconfigurationError,
    Step,
    all_voters,
    finalized,
    is_quorum,
    joining_voters,
    voter_names,
    with_voter_added,
    with_voter_removed,
    with_voter_replaced,
)

MS = 1_000  # microseconds
SECOND = 1_000_000  # microseconds
# Maps the current value to the new one. An empty value means that the register was never written; None leaves it as is.
ChangeFunction = Callable[[bytes], bytes | None]
WRITTEN, UNCHANGED, NO_QUORUM, UNCERTAIN, NO_ROOM = "wrote", "left", "no majority", "perhaps", "no room"
MAX_CACHED_BALLOTS = 1024  # registers whose next, already promised ballot is kept
MAX_EPOCH_JUMP = 1 << 20  # epochs by which a received configuration may be ahead of the known one
MAX_DEFERRED_REPLIES = 4096  # replies that wait for the disk; further requests are rejected


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Timeouts and intervals in microseconds."""

    resend_us: int = 40 * MS  # before an unanswered request is sent again
    silence_us: int = 150 * MS  # without a reply to a request: the voter counts as unresponsive
    operation_limit_us: int = 400 * MS  # for a whole operation
    heartbeat_us: int = 200 * MS  # between two heartbeats to an unresponsive voter
    config_request_us: int = 300 * MS  # between two requests for the group configuration while it is unknown
    first_backoff_us: int = 4 * MS  # maximum random delay after the first conflict; doubles each time
    max_backoff_us: int = 64 * MS
    repair_us: int = 5 * SECOND  # between two comparisons with another voter
    rejoin_us: int = 500 * MS  # minimum before a proxy that lost its store asks to join as a new voter


@dataclass(frozen=True, slots=True)
class OperationResult:
    """How an operation ended. `value`: the register's value afterwards. `outcome`: with "perhaps" it is unknown whether
    the value was written; with "no majority" and "no room" it was not."""

    operation: int
    key: bytes
    outcome: str
    value: bytes = b""


@dataclass(slots=True)
class Operation:
    """An operation under way. Times in microseconds."""

    number: int
    key: bytes
    change: ChangeFunction
    expires_at_s: int  # seconds from the Unix epoch; 0: never
    deadline: int
    ballot: Ballot = NO_BALLOT
    next_ballot: Ballot = NO_BALLOT
    phase: str = "wait"  # wait, prepare, accept
    sent_at: int = 0
    next_check: int = 0  # time of the next resend or retry
    resends: int = 0
    conflicts: int = 0
    approvals: dict[Voter, Promise | None] = field(default_factory=dict)
    replied: set[str] = field(default_factory=set)  # names of voters with any reply, also a rejection
    state: RegisterState | None = None
    proposed: bytes | None = None
    accept_sent: bool = False


class Replica:
    """`store`: id of this proxy's store; 0: it has none and only proposes to the others. `founders`: names of the
    proxies that may create the group. `founding`: the store is empty and has never been used. `max_registers`: limit
    of the acceptor."""

    def __init__(
        self, name: str, store: int, founders: Iterable[str], now: int, rng: Random,
        timings: ReplicaConfig | None = None, max_registers: int = 100_000, founding: bool = False,
    ) -> None:  # fmt: skip
        self.self_voter = Voter(name, store)
        self.founders = tuple(sorted(set(founders)))
        self.timings, self.rng = timings or ReplicaConfig(), rng
        self.acceptor = Acceptor(max_registers)
        self.founding = founding and name in self.founders
        self.config = GroupConfig()
        self.config_index = 0  # index of the log record that holds `config`
        self.caught_up_epoch = 0  # all that was decided before the start of this epoch is stored here
        self.proposer = rng.getrandbits(62) | 1
        self.counter = 0
        self.last_operation = rng.getrandbits(31)
        self.operations: dict[int, Operation] = {}
        self.queues: dict[bytes, deque[Operation]] = {}
        self.cached_ballots: OrderedDict[bytes, tuple[Ballot, bytes]] = OrderedDict()
        self.heard_at: dict[str, int] = {}
        self.store_ids: OrderedDict[str, int] = OrderedDict()  # store id in each proxy's latest message
        self.founders_seen: dict[str, tuple[int, int]] = {}
        self.unresponsive: dict[str, int] = {}  # voters that are not waited for, and since when
        self.resumed_at = now
        self.store_failure = ""
        self.durable_index = 0
        # (log record index, recipient, reply)
        self.deferred_replies: deque[tuple[int, str, Message]] = deque()
        self.outgoing: list[tuple[str, Message]] = []
        self.self_messages: deque[Message] = deque()  # messages to this replica itself
        self.results: list[OperationResult] = []
        self.log_lines: list[str] = []
        self.next_operation_check = now  # earliest `next_check` or deadline of an operation
        self.next_config_request = self.next_heartbeat = now
        self.next_repair = now + self.timings.repair_us
        self.next_rejoin = 0
        self.next_expiry = 0
        self.config_changes: dict[int, ConfigChange] = {}
        self.catchup = CatchUp(self)
        self.counts = {"refused": 0, "clashes": 0, "no_majority": 0, "strangers": 0, "resent": 0}

    def restore(self, records: Iterable[LogRecord], now: int) -> None:
        """Replays the log records of this store, in order."""
        records = list(records)
        self.acceptor.restore(records, now // SECOND)
        self.counter = self.acceptor.highest
        for record in records:
            if isinstance(record, ConfigAdopted) and record.config.epoch > self.config.epoch:
                self.config = record.config
            elif isinstance(record, CaughtUp):
                self.caught_up_epoch = max(self.caught_up_epoch, record.epoch)
        if self.config.epoch or self.acceptor.registers:
            self.founding = False

    # ------------------------------------------------------------ interface

    @property
    def is_voter(self) -> bool:
        """Whether this proxy, with this store, is a voter."""
        return self.self_voter in all_voters(self.config)

    def has_quorum(self) -> bool:
        """Whether a quorum seems reachable."""
        return is_quorum(self.config, [v for v in all_voters(self.config) if self._is_reachable(v)])

    def _is_reachable(self, voter: Voter) -> bool:
        """A proxy with the voter's name and another store id is a different voter."""
        if voter.name == self.self_voter.name:
            return voter == self.self_voter and not self.store_failure
        return (
            voter.name not in self.unresponsive
            and self.store_ids.get(voter.name, voter.store_id) == voter.store_id
        )

    def propose(
        self, now: int, key: bytes, change: ChangeFunction, expires_at_s: int = 0, limit_us: int = 0
    ) -> int:
        """Starts an operation and returns its number. `expires_at_s`: expiry of the value in seconds from the Unix
        epoch, 0: never. `limit_us`: timeout in microseconds, 0: the default. The result is in `results` by the
        deadline, or immediately when no quorum is reachable."""
        self.last_operation = (self.last_operation + 1) & 0xFFFFFFFF
        op = Operation(
            self.last_operation,
            key,
            change,
            expires_at_s,
            now + (limit_us or self.timings.operation_limit_us),
        )
        if not self.has_quorum():
            self._finish(op, NO_QUORUM)
            return op.number
        self.operations[op.number] = op
        self.next_operation_check = min(self.next_operation_check, op.deadline)
        queue = self.queues.setdefault(key, deque())
        queue.append(op)
        if len(queue) == 1:
            self._start_attempt(now, op)
        self._handle_self_messages(now)
        return op.number

    def drain_output(self) -> tuple[list[LogRecord], list[tuple[str, Message]], list[OperationResult]]:
        """Log records to write, in order; messages that may be sent immediately; results."""
        records, self.acceptor.pending_records = self.acceptor.pending_records, []
        out, self.outgoing = self.outgoing, []
        done, self.results = self.results, []
        return records, out, done

    def mark_durable(self, now: int, index: int) -> None:
        """All log records up to `index` are durable: sends the replies that depend on them."""
        self.durable_index = max(self.durable_index, index)
        while self.deferred_replies and self.deferred_replies[0][0] <= self.durable_index:
            _, name, message = self.deferred_replies.popleft()
            self._send(name, message)
        self.catchup.mark_durable(now, self.durable_index)
        self._handle_self_messages(now)

    def snapshot(self) -> Iterator[LogRecord]:
        """All records of a checkpoint. Records appended while it is being taken are newer."""
        yield ConfigAdopted(self.config)
        yield CaughtUp(self.caught_up_epoch)
        yield from self.acceptor.snapshot()

    def fail_store(self, reason: str) -> None:
        """The store takes no more records. From now on this replica only proposes: it neither votes nor serves its
        registers."""
        self.store_failure = self.store_failure or reason
        self.deferred_replies.clear()
        self.log_lines.append(f"the store has failed, this replica no longer votes: {reason}")

    def next_deadline(self) -> int:
        """The time, in microseconds, at which `advance` must be called next."""
        times = [self.next_operation_check] if self.operations else []
        if self.unresponsive:
            times.append(self.next_heartbeat)
        if not self.config.epoch or self._has_lost_store:
            times.append(self.next_config_request)
        if self.is_voter:
            times += [self.next_repair, self.next_expiry]
        times += self.catchup.deadlines()
        return min(times, default=self.resumed_at + 60 * SECOND)

    # ------------------------------------------------------------ time

    def advance(self, now: int, late: int = 0) -> None:
        """Does all that is due. `late`: delay of this call in microseconds. After a long delay of this process the
        timeouts of the other voters start again, as their replies may still be unread."""
        if late > self.timings.silence_us // 2:
            self.resumed_at = now
        self.next_operation_check = now + SECOND
        for op in list(self.operations.values()):
            if op.deadline <= now:
                self._expire_operation(now, op)
            elif op.next_check <= now and self.queues[op.key][0] is op:
                self._check_operation(now, op)
        for op in self.operations.values():  # queued behind another on its register: deadline only
            self.next_operation_check = min(
                self.next_operation_check,
                op.deadline,
                op.next_check if self.queues[op.key][0] is op else op.deadline,
            )
        if self.unresponsive and self.next_heartbeat <= now:
            self.next_heartbeat = now + self.timings.heartbeat_us
            for name in self.unresponsive:
                self._send(name, Heartbeat(False))
        self._find_group(now)
        self.catchup.advance(now)
        if self.is_voter and self.next_expiry <= now:
            checked = self.acceptor.expire(now // SECOND)
            self.next_expiry = now + (20 * MS if checked else 10 * SECOND)
        self._handle_self_messages(now)

    def _check_operation(self, now: int, op: Operation) -> None:
        if op.phase == "wait":
            self._start_attempt(now, op)
            return
        silent_for = now - max(op.sent_at, self.resumed_at)
        for name in voter_names(self.config):
            no_message = self.heard_at.get(name, 0) < max(op.sent_at, self.resumed_at)
            if (
                name not in op.replied
                and name != self.self_voter.name
                and no_message
                and silent_for >= self.timings.silence_us
            ):
                if name not in self.unresponsive:
                    self.log_lines.append(f"{name} does not answer")
                self.unresponsive.setdefault(name, now)
                self.next_heartbeat = min(self.next_heartbeat, now + self.timings.heartbeat_us)
        if not self.has_quorum():
            self._finish(op, UNCERTAIN if op.accept_sent else NO_QUORUM)
            return
        op.resends += 1
        self.counts["resent"] += 1
        self._send_requests(now, op, [v for v in voter_names(self.config) if v not in op.replied])

    def _expire_operation(self, now: int, op: Operation) -> None:
        self._finish(op, UNCERTAIN if op.accept_sent else NO_QUORUM, now)

    # ------------------------------------------------------------ an operation

    def _start_attempt(self, now: int, op: Operation) -> None:
        """Starts a new attempt, with the cached ballot if there is one."""
        op.approvals, op.replied, op.resends, op.sent_at = {}, set(), 0, now
        kept = self.cached_ballots.pop(op.key, None)
        if kept and not op.accept_sent:
            op.ballot, value = kept
            self._send_accept(now, op, value)
            return
        op.ballot = self._new_ballot()
        op.phase = "prepare"
        self._send_requests(now, op, voter_names(self.config))

    def _new_ballot(self) -> Ballot:
        """A new ballot has an odd counter; the even one after it is promised along with the accept."""
        self.counter = (max(self.counter, self.acceptor.highest) + 2) | 1
        return Ballot(self.counter, self.proposer)

    def _send_requests(self, now: int, op: Operation, to: Iterable[str]) -> None:
        op.next_check = now + self.timings.resend_us * (1 + op.resends)
        self.next_operation_check = min(self.next_operation_check, op.next_check)
        epoch = self.config.epoch
        message: Message
        if op.phase == "prepare":
            message = Prepare(op.number, epoch, op.key, op.ballot)
        else:
            assert op.state
            message = Accept(op.number, epoch, op.state, op.next_ballot)
        for name in to:
            self._send(name, message)

    def _handle_promise(self, now: int, op: Operation, voter: Voter, message: Promise) -> None:
        if op.phase != "prepare" or message.ballot != op.ballot:
            return
        op.approvals[voter] = message
        if not is_quorum(self.config, op.approvals):
            return
        best = max((p for p in op.approvals.values() if p), key=lambda p: (p.accepted, p.value))
        if op.proposed is not None and best.value == op.proposed:
            self._send_accept(now, op, best.value, ours=True)
        else:
            self._send_accept(now, op, best.value)

    def _send_accept(self, now: int, op: Operation, found: bytes, ours: bool = False) -> None:
        """`ours`: `found` was written by an earlier attempt of this operation, so it is written again unchanged."""
        new_value = found if ours else op.change(found)
        if new_value is None:
            self._finish(op, UNCHANGED, now, found)
            return
        if len(new_value) > MAX_VALUE_BYTES:
            raise ValueError(f"value has {len(new_value)} bytes; the limit is {MAX_VALUE_BYTES}")
        op.proposed = new_value
        op.approvals, op.replied, op.resends, op.sent_at, op.phase = {}, set(), 0, now, "accept"
        op.state = RegisterState(op.key, op.ballot, op.expires_at_s, new_value)
        op.next_ballot = Ballot(op.ballot.counter + 1, self.proposer)
        self.counter = max(self.counter, op.next_ballot.counter)
        op.accept_sent = True
        self._send_requests(now, op, voter_names(self.config))

    def _handle_accepted(self, now: int, op: Operation, voter: Voter, message: Accepted) -> None:
        if op.phase != "accept" or message.ballot != op.ballot:
            return
        op.approvals[voter] = None
        if is_quorum(self.config, op.approvals):
            assert op.state
            if op.key != CONFIG_KEY:
                self.cached_ballots[op.key] = (op.next_ballot, op.state.value)
                if len(self.cached_ballots) > MAX_CACHED_BALLOTS:
                    self.cached_ballots.popitem(last=False)
            self._finish(op, WRITTEN, now, op.state.value)

    def _handle_rejected(self, now: int, op: Operation, message: Rejected) -> None:
        if message.ballot != op.ballot or op.phase == "wait":
            return
        self.counts["refused"] += 1
        self.counter = max(self.counter, message.counter)
        if message.reason == STALE_BALLOT:
            # A single voter may hold an outdated state: the attempt ends only when no quorum is possible any more.
            lost = {v for v in all_voters(self.config) if v.name in op.replied and v not in op.approvals}
            if is_quorum(self.config, set(all_voters(self.config)) - lost):
                return
            self.counts["clashes"] += 1
            limit = min(self.timings.max_backoff_us, self.timings.first_backoff_us << op.conflicts)
            op.conflicts = min(16, op.conflicts + 1)
            op.phase, op.next_check = "wait", now + int(limit * self.rng.random())
            self.next_operation_check = min(self.next_operation_check, op.next_check)
        elif message.reason in (STALE_EPOCH, VOTER_BEHIND):
            return  # the current configuration follows, or was sent to the voter
        else:
            possible = {v for v in all_voters(self.config) if v.name not in op.replied or v in op.approvals}
            if not is_quorum(self.config, possible):
                failure = NO_QUORUM if message.reason in (STORE_UNAVAILABLE, NOT_A_VOTER) else NO_ROOM
                self._finish(op, UNCERTAIN if op.accept_sent else failure, now)

    def _finish(self, op: Operation, outcome: str, now: int = 0, value: bytes = b"") -> None:
        if outcome == NO_QUORUM:
            self.counts["no_majority"] += 1
        self.operations.pop(op.number, None)
        queue = self.queues.get(op.key)
        if queue and queue[0] is op:
            queue.popleft()
            if not queue:
                del self.queues[op.key]
            else:
                queue[0].phase, queue[0].next_check = "wait", now
                if now:
                    self._start_attempt(now, queue[0])
        elif queue and op in queue:
            queue.remove(op)
        result = OperationResult(op.number, op.key, outcome, value)
        if op.number in self.config_changes:
            self._config_change_finished(now, self.config_changes.pop(op.number), result)
        else:
            self.results.append(result)

    # ------------------------------------------------------------ messages in

    def receive(self, now: int, sender: str, batch: MessageBatch) -> None:
        """Handles an authenticated message batch of another proxy."""
        self.heard_at[sender] = now
        if len(self.heard_at) > 2048:
            self.heard_at = {sender: now}
        if batch.store_id:
            self.store_ids[sender] = batch.store_id
            self.store_ids.move_to_end(sender)
            if len(self.store_ids) > 2048:
                self.store_ids.popitem(last=False)
        if sender in self.unresponsive:
            del self.unresponsive[sender]
            self.log_lines.append(f"{sender} answers again")
        for message in batch.messages:
            self._handle_message(now, Voter(sender, batch.store_id), message)
        self._handle_self_messages(now)

    def _handle_self_messages(self, now: int) -> None:
        while self.self_messages:
            self._handle_message(now, self.self_voter, self.self_messages.popleft())

    def _handle_message(self, now: int, voter: Voter, message: Message) -> None:
        if isinstance(message, (Prepare, Accept)):
            self._handle_vote_request(now, voter, message)
        elif isinstance(message, (Promise, Accepted, Rejected)):
            self._handle_reply(now, voter, message)
        elif isinstance(message, Heartbeat):
            if not message.is_reply:
                self._send(voter.name, Heartbeat(True))
        elif isinstance(message, ConfigRequest):
            self._handle_config_request(now, voter, message)
        elif isinstance(message, ConfigResponse):
            self._adopt_config(now, message.config)
        elif isinstance(message, (RangeDigests, KeysRequest, KeysResponse, StatesRequest, StatesResponse)):
            self.catchup.receive(now, voter, message)

    def _handle_reply(self, now: int, voter: Voter, message: Promise | Accepted | Rejected) -> None:
        op = self.operations.get(message.operation)
        if op is None:
            return
        if voter not in all_voters(self.config):
            self.counts["strangers"] += 1
            if not isinstance(message, Rejected):
                return
        if message.ballot == op.ballot:
            op.replied.add(voter.name)
        if isinstance(message, Promise):
            self._handle_promise(now, op, voter, message)
        elif isinstance(message, Accepted):
            self._handle_accepted(now, op, voter, message)
        else:
            if message.reason == VOTER_BEHIND and message.ballot == op.ballot and op.phase != "wait":
                self._send(voter.name, ConfigResponse(self.config))
                op.replied.discard(voter.name)  # it can answer with the new configuration
                self._send_requests(now, op, [voter.name])
            self._handle_rejected(now, op, message)

    def _handle_vote_request(self, now: int, voter: Voter, message: Prepare | Accept) -> None:
        """Answers a request as a voter. The reply is sent once the log records behind it are durable."""
        ballot = message.ballot if isinstance(message, Prepare) else message.state.ballot
        answer: Message
        reason = self._vote_refusal(message.epoch)
        if reason is not None:
            if reason == STALE_EPOCH:
                self._send(voter.name, ConfigResponse(self.config))
            self._send(
                voter.name,
                Rejected(message.operation, ballot, self.acceptor.min_counter, reason, self.config.epoch),
            )
            return
        if isinstance(message, Prepare):
            answer, index = self._prepare(now, message)
        else:
            answer, index = self.acceptor.accept(message)
        if index > self.durable_index:
            self.deferred_replies.append((index, voter.name, answer))
        else:
            self._send(voter.name, answer)

    def _prepare(self, now: int, message: Prepare) -> tuple[Message, int]:
        return self.acceptor.prepare(now // SECOND, message)

    def _vote_refusal(self, epoch: int) -> int | None:
        if epoch < self.config.epoch:
            return STALE_EPOCH
        if epoch > self.config.epoch:
            return VOTER_BEHIND
        if not self.is_voter:
            return NOT_A_VOTER
        if self.store_failure or len(self.deferred_replies) >= MAX_DEFERRED_REPLIES:
            return STORE_UNAVAILABLE
        return None

    # ------------------------------------------------------------ group configuration

    @property
    def _has_lost_store(self) -> bool:
        """Whether the voter of this name has a store that this proxy no longer has."""
        return (
            bool(self.self_voter.store_id)
            and not self.is_voter
            and self.self_voter.name in voter_names(self.config)
        )

    def _find_group(self, now: int) -> None:
        if self.config.epoch and not self._has_lost_store:
            return
        if self.next_config_request > now:
            return
        self.next_config_request = now + self.timings.config_request_us
        if not self.config.epoch:
            for name in self.founders:
                if name != self.self_voter.name:
                    self._send(name, ConfigRequest(0, self.founding))
            self._create_group(now)
        elif not self.store_failure:
            self._rejoin(now)

    def _create_group(self, now: int) -> None:
        """The first founder creates the group once all founders are present and none has ever been in a group. This way
        a proxy that lost its disk cannot create a second group beside the first."""
        if not self.founding or self.self_voter.name != self.founders[0]:
            return
        present = {
            n: store
            for n, (store, at) in self.founders_seen.items()
            if now - at < 4 * self.timings.config_request_us
        }
        if all(name in present or name == self.self_voter.name for name in self.founders):
            voters = sorted([self.self_voter, *(Voter(name, store) for name, store in present.items())])
            self._adopt_config(now, GroupConfig(1, tuple(voters)))

    def _handle_config_request(self, now: int, voter: Voter, message: ConfigRequest) -> None:
        if self.config.epoch > message.epoch:
            self._send(voter.name, ConfigResponse(self.config))
        elif self.founding and message.founding and voter.name in self.founders:
            self.founders_seen[voter.name] = (voter.store_id, now)

    def _adopt_config(self, now: int, config: GroupConfig) -> None:
        """Adopts a newer configuration, and logs it. It is passed on once it is durable."""
        if config.epoch <= self.config.epoch:
            return
        # An implausibly high epoch could never be raised again.
        if not config.voters or config.epoch > self.config.epoch + MAX_EPOCH_JUMP:
            self.counts["strangers"] += 1
            return
        self.config = config
        self.founding = False
        self.cached_ballots.clear()
        index = self.config_index = self.acceptor.append_record(ConfigAdopted(config))
        for voter in all_voters(config):
            if voter != self.self_voter:
                self.deferred_replies.append((index, voter.name, ConfigResponse(config)))
        self.log_lines.append(f"epoch {config.epoch}: {_describe_voters(config)}")
        for op in self.operations.values():
            if self.queues[op.key][0] is op:
                op.phase, op.next_check = "wait", now
                op.replied, op.approvals = set(), {}
                self.next_operation_check = now
        self.next_rejoin = now + self.timings.rejoin_us
        self.catchup.config_changed(now)

    def _rejoin(self, now: int) -> None:
        """Proposes this proxy's new store as a voter in place of the lost one. It counts only after catching up."""
        if not self.next_rejoin:
            self.next_rejoin = now + self.timings.rejoin_us
        if now >= self.next_rejoin and not self.config_changes and self.has_quorum():
            self.next_rejoin = now + int(self.timings.rejoin_us * (1 + self.rng.random()))
            name, voter = self.self_voter.name, self.self_voter
            self._propose_config(now, lambda group: with_voter_replaced(group, name, voter))

    def change_voters(self, now: int, what: str, name: str, new: str = "") -> str:
        """Starts an operator's change: add NAME, remove NAME, replace NAME by NEW. Returns the reason when it is not
        possible, or "" when it has started."""
        group = self.config
        if not group.epoch:
            return "there is no group yet"
        store = self.store_ids.get(
            new or name, self.self_voter.store_id if (new or name) == self.self_voter.name else 0
        )
        if what != "remove" and not store:
            return f"{new or name} is not there, or has no store"
        try:
            voter = Voter(new or name, store or 1)
            step: Step = {
                "add": lambda g: with_voter_added(g, voter), "replace": lambda g: with_voter_replaced(g, name, voter),
                "remove": lambda g: with_voter_removed(g, name),
            }[what]  # fmt: skip
            step(group)
        except ReconfigurationError as problem:
            return str(problem)
        if not self.has_quorum():
            return "no majority is there"
        self._propose_config(now, step)
        return ""

    def _propose_config(self, now: int, step: Step) -> None:
        change = ConfigChange(step, self.config)
        number = self.propose(now, CONFIG_KEY, change, limit_us=4 * self.timings.operation_limit_us)
        if number in self.operations:
            self.config_changes[number] = change

    def _config_change_finished(self, now: int, change: ConfigChange, result: OperationResult) -> None:
        """Handles the result of a configuration change."""
        now = now or self.resumed_at
        if result.outcome == WRITTEN:
            self._adopt_config(now, config_of(result.value))
        if change.failure:
            self.log_lines.append(f"the voters stay unchanged: {change.failure}")
        if self.config.old_voters and not joining_voters(self.config):
            self.finalize_config(now)

    def finalize_config(self, now: int) -> None:
        """Ends the joint configuration once the joining voter has caught up, or when no voter joins."""
        if self.config.old_voters and not self.config_changes and self.has_quorum():
            self._propose_config(now, finalized)

    def mark_caught_up(self) -> None:
        """Records in memory that this replica has caught up with the current epoch."""
        self.caught_up_epoch = self.config.epoch
        self.log_lines.append(
            f"has caught up with epoch {self.config.epoch}: {len(self.acceptor.registers)} registers"
        )

    def append_caught_up(self) -> int:
        """Appends the log record CaughtUp and returns its index."""
        return self.acceptor.append_record(CaughtUp(self.config.epoch))

    def _send(self, name: str, message: Message) -> None:
        if name == self.self_voter.name:
            self.self_messages.append(message)
        else:
            self.outgoing.append((name, message))


def _describe_voters(group: GroupConfig) -> str:
    voters = ", ".join(v.name for v in group.voters)
    old = ", ".join(v.name for v in group.old_voters)
    return f"{voters} vote" + (f"; until the change is over, {old} too" if old else "")
