"""One proxy's end of the group: what it is asked to change, and what it answers as a voter. Pure: time, messages and
"this is durable now" in; messages, records and results out. The daemon, the model and the explorer drive this same
machine. It owns the operations under way and when they are tried again. It must never count an answer of who does not
vote, and never let an operation outlive its limit: who cannot have a majority is told so at once.

An operation reads a register at a majority (prepare), applies its change, and writes at a majority (accept). A proposer
that has just written a register has the next ballot promised along with it, and writes again without reading. There is
no leader: with a machine gone the others go on without a pause."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random

from .acceptor import Acceptor
from .catchup import CatchUp
from .messages import (
    BEHIND,
    BROKEN,
    CONFIG_KEY,
    EPOCH,
    LATE,
    NO_VOTER,
    NONE,
    VALUE_MOST,
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

MS = 1_000
SECOND = 1_000_000
Change = Callable[
    [bytes], bytes | None
]  # what is to stand there in place of this, b"": nothing did; None: leave it
WRITTEN, UNCHANGED, NO_QUORUM, UNCERTAIN, NO_ROOM = "wrote", "left", "no majority", "perhaps", "no room"
AGAIN_MOST = 1024  # registers of which the next ballot is kept
EPOCHS_MOST = 1 << 20  # by which a group is ahead of the one that we know, at the most
UNSENT_MOST = 4096  # answers that wait for the disk; who asks beyond is told that we cannot


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """Times in microseconds."""

    resend: int = 40 * MS
    silent: int = 150 * MS  # without a word though asked: is not waited for any more
    limit: int = 400 * MS  # of an operation
    hello: int = 200 * MS  # between two tries to hear one that is silent
    ask: int = 300 * MS  # between two questions who votes, while it is not known
    backoff: int = 4 * MS  # at most, after the first clash of two; doubles
    backoff_most: int = 64 * MS
    repair: int = 5 * SECOND  # between two comparisons with another voter
    rejoin: int = 500 * MS  # at the least, before who has lost its store asks to be taken for a new voter


@dataclass(frozen=True, slots=True)
class OperationResult:
    """How an operation ended. `value`: what stands there then; "perhaps": nobody knows whether it was written, "no
    majority" and "no room": it was not."""

    operation: int
    key: bytes
    outcome: str
    value: bytes = b""


@dataclass(slots=True)
class Operation:
    number: int
    key: bytes
    change: Change
    until: int  # seconds: how long it is to be kept; 0: for good
    limit: int
    ballot: Ballot = NONE
    then: Ballot = NONE
    phase: str = "wait"  # wait, prepare, accept
    sent: int = 0
    next: int = 0  # when it is looked at again
    resent: int = 0
    clashes: int = 0
    yes: dict[Voter, Promise | None] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)  # who has answered, whatever
    row: RegisterState | None = None
    proposed: bytes | None = None
    wrote: bool = False  # an accept went out


class Replica:
    """`store`: the number of this proxy's store, 0: it has none and only asks the others; `founders`: names that may
    found the group; `founding`: the store is empty and never was anything else."""

    def __init__(
        self, name: str, store: int, founders: Iterable[str], now: int, rng: Random, terms: ReplicaConfig | None = None,
        most: int = 100_000, founding: bool = False,
    ) -> None:  # fmt: skip
        self.self_voter = Voter(name, store)
        self.founders = tuple(sorted(set(founders)))
        self.terms, self.rng = terms or ReplicaConfig(), rng
        self.acceptor = Acceptor(most)
        self.founding = founding and name in self.founders
        self.config = GroupConfig()
        self.config_mark = 0  # the record that holds it
        self.caught_up_epoch = 0  # epoch up to whose begin all is here
        self.proposer = rng.getrandbits(62) | 1
        self.counter = 0
        self.number = rng.getrandbits(31)
        self.operations: dict[int, Operation] = {}
        self.queues: dict[bytes, deque[Operation]] = {}
        self.cached_ballots: OrderedDict[bytes, tuple[Ballot, bytes]] = OrderedDict()
        self.heard_at: dict[str, int] = {}
        self.store_ids: OrderedDict[str, int] = OrderedDict()  # the number that each last spoke under
        self.founders_seen: dict[str, tuple[int, int]] = {}
        self.unresponsive: dict[str, int] = {}  # who is not waited for -> since when
        self.woke = now
        self.store_failure = ""
        self.durable_index = 0
        self.deferred_replies: deque[tuple[int, str, Message]] = deque()  # answers that wait for a record
        self.out: list[tuple[str, Message]] = []
        self.loop: deque[Message] = deque()  # to ourselves
        self.done: list[OperationResult] = []
        self.log_lines: list[str] = []  # for the log
        self.soonest = now  # no operation is to be looked at before
        self.next_ask = self.next_hello = now
        self.next_repair = now + self.terms.repair
        self.next_rejoin = 0
        self.next_expiry = 0
        self.config_changes: dict[int, ConfigChange] = {}
        self.catchup = CatchUp(self)
        self.counts = {"refused": 0, "clashes": 0, "no_majority": 0, "strangers": 0, "resent": 0}

    def restore(self, records: Iterable[LogRecord], now: int) -> None:
        """What an earlier life of this store wrote down, in order."""
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

    # ------------------------------------------------------------ what others ask

    @property
    def is_voter(self) -> bool:
        return self.self_voter in all_voters(self.config)

    def has_quorum(self) -> bool:
        """Whether a majority may be there, as far as is known."""
        return is_quorum(self.config, [v for v in all_voters(self.config) if self._there(v)])

    def _there(self, voter: Voter) -> bool:
        """A proxy that bears its name with another store is not that voter."""
        if voter.name == self.self_voter.name:
            return voter == self.self_voter and not self.store_failure
        return (
            voter.name not in self.unresponsive
            and self.store_ids.get(voter.name, voter.store_id) == voter.store_id
        )

    def propose(self, now: int, key: bytes, change: Change, until: int = 0, limit: int = 0) -> int:
        """Begins an operation; its number. The result lies in `done` at the limit at the latest, at once where there is
        no majority to be had."""
        self.number = (self.number + 1) & 0xFFFFFFFF
        op = Operation(self.number, key, change, until, now + (limit or self.terms.limit))
        if not self.has_quorum():
            self._end(op, NO_QUORUM)
            return op.number
        self.operations[op.number] = op
        self.soonest = min(self.soonest, op.limit)
        queue = self.queues.setdefault(key, deque())
        queue.append(op)
        if len(queue) == 1:
            self._begin(now, op)
        self._run_loop(now)
        return op.number

    def drain_output(self) -> tuple[list[LogRecord], list[tuple[str, Message]], list[OperationResult]]:
        """Records to be written down, in order; messages that may go out at once; results."""
        records, self.acceptor.pending_records = self.acceptor.pending_records, []
        out, self.out = self.out, []
        done, self.done = self.done, []
        return records, out, done

    def mark_durable(self, now: int, mark: int) -> None:
        """All records up to this one are durable."""
        self.durable_index = max(self.durable_index, mark)
        while self.deferred_replies and self.deferred_replies[0][0] <= self.durable_index:
            _, name, message = self.deferred_replies.popleft()
            self._send(name, message)
        self.catchup.persisted(now, self.durable_index)
        self._run_loop(now)

    def snapshot(self) -> Iterator[LogRecord]:
        """All that a checkpoint must hold. Records that come meanwhile are newer."""
        yield ConfigAdopted(self.config)
        yield CaughtUp(self.caught_up_epoch)
        yield from self.acceptor.snapshot()

    def fail_store(self, why: str) -> None:
        """The store takes nothing any more. From now on this one only asks: it says neither yes nor what it holds."""
        self.store_failure = self.store_failure or why
        self.deferred_replies.clear()
        self.log_lines.append(f"the store has failed, this one no longer votes: {why}")

    def next_deadline(self) -> int:
        times = [self.soonest] if self.operations else []
        if self.unresponsive:
            times.append(self.next_hello)
        if not self.config.epoch or self._wiped:
            times.append(self.next_ask)
        if self.is_voter:
            times += [self.next_repair, self.next_expiry]
        times += self.catchup.due()
        return min(times, default=self.woke + 60 * SECOND)

    # ------------------------------------------------------------ time

    def advance(self, now: int, late: int = 0) -> None:
        """Whatever is due. `late`: by how much this turn comes too late: who was frozen accuses nobody of silence."""
        if late > self.terms.silent // 2:
            self.woke = now
        self.soonest = now + SECOND
        for op in list(self.operations.values()):
            if op.limit <= now:
                self._over(now, op)
            elif op.next <= now and self.queues[op.key][0] is op:
                self._look(now, op)
        for op in self.operations.values():  # who waits for another on the same register has a limit only
            self.soonest = min(self.soonest, op.limit, op.next if self.queues[op.key][0] is op else op.limit)
        if self.unresponsive and self.next_hello <= now:
            self.next_hello = now + self.terms.hello
            for name in self.unresponsive:
                self._send(name, Heartbeat(False))
        self._who_votes(now)
        self.catchup.advance(now)
        if self.is_voter and self.next_expiry <= now:
            looked = self.acceptor.expire(now // SECOND)
            self.next_expiry = now + (20 * MS if looked else 10 * SECOND)
        self._run_loop(now)

    def _look(self, now: int, op: Operation) -> None:
        if op.phase == "wait":
            self._begin(now, op)
            return
        quiet = now - max(op.sent, self.woke)
        for name in voter_names(self.config):
            unheard = self.heard_at.get(name, 0) < max(op.sent, self.woke)
            if (
                name not in op.asked
                and name != self.self_voter.name
                and unheard
                and quiet >= self.terms.silent
            ):
                if name not in self.unresponsive:
                    self.log_lines.append(f"{name} is silent")
                self.unresponsive.setdefault(name, now)
                self.next_hello = min(self.next_hello, now + self.terms.hello)
        if not self.has_quorum():
            self._end(op, UNCERTAIN if op.wrote else NO_QUORUM)
            return
        op.resent += 1
        self.counts["resent"] += 1
        self._ask(now, op, [v for v in voter_names(self.config) if v not in op.asked])

    def _over(self, now: int, op: Operation) -> None:
        self._end(op, UNCERTAIN if op.wrote else NO_QUORUM, now)

    # ------------------------------------------------------------ an operation

    def _begin(self, now: int, op: Operation) -> None:
        """Its next try, from the beginning."""
        op.yes, op.asked, op.resent, op.sent = {}, set(), 0, now
        kept = self.cached_ballots.pop(op.key, None)
        if kept and not op.wrote:
            op.ballot, value = kept
            self._write(now, op, value)
            return
        op.ballot = self._ballot()
        op.phase = "prepare"
        self._ask(now, op, voter_names(self.config))

    def _ballot(self) -> Ballot:
        """Odd ones are ours to begin with, the even one behind it is promised along."""
        self.counter = (max(self.counter, self.acceptor.highest) + 2) | 1
        return Ballot(self.counter, self.proposer)

    def _ask(self, now: int, op: Operation, to: Iterable[str]) -> None:
        op.next = now + self.terms.resend * (1 + op.resent)
        self.soonest = min(self.soonest, op.next)
        epoch = self.config.epoch
        message: Message
        if op.phase == "prepare":
            message = Prepare(op.number, epoch, op.key, op.ballot)
        else:
            assert op.row
            message = Accept(op.number, epoch, op.row, op.then)
        for name in to:
            self._send(name, message)

    def _promised(self, now: int, op: Operation, voter: Voter, message: Promise) -> None:
        if op.phase != "prepare" or message.ballot != op.ballot:
            return
        op.yes[voter] = message
        if not is_quorum(self.config, op.yes):
            return
        best = max((p for p in op.yes.values() if p), key=lambda p: (p.accepted, p.value))
        if op.proposed is not None and best.value == op.proposed:
            self._write(now, op, best.value, ours=True)
        else:
            self._write(now, op, best.value)

    def _write(self, now: int, op: Operation, found: bytes, ours: bool = False) -> None:
        """`ours`: what was found is what an earlier try of this operation wrote: it is only written again."""
        wanted = found if ours else op.change(found)
        if wanted is None:
            self._end(op, UNCHANGED, now, found)
            return
        if len(wanted) > VALUE_MOST:
            raise ValueError(f"a value of {len(wanted)} bytes, {VALUE_MOST} at most")
        op.proposed = wanted
        op.yes, op.asked, op.resent, op.sent, op.phase = {}, set(), 0, now, "accept"
        op.row = RegisterState(op.key, op.ballot, op.until, wanted)
        op.then = Ballot(op.ballot.counter + 1, self.proposer)
        self.counter = max(self.counter, op.then.counter)
        op.wrote = True
        self._ask(now, op, voter_names(self.config))

    def _accepted(self, now: int, op: Operation, voter: Voter, message: Accepted) -> None:
        if op.phase != "accept" or message.ballot != op.ballot:
            return
        op.yes[voter] = None
        if is_quorum(self.config, op.yes):
            assert op.row
            if op.key != CONFIG_KEY:
                self.cached_ballots[op.key] = (op.then, op.row.value)
                if len(self.cached_ballots) > AGAIN_MOST:
                    self.cached_ballots.popitem(last=False)
            self._end(op, WRITTEN, now, op.row.value)

    def _refused(self, now: int, op: Operation, message: Rejected) -> None:
        if message.ballot != op.ballot or op.phase == "wait":
            return
        self.counts["refused"] += 1
        self.counter = max(self.counter, message.counter)
        if message.reason == LATE:
            # One voter may be behind the times alone, so only what makes a majority impossible ends the try.
            against = {v for v in all_voters(self.config) if v.name in op.asked and v not in op.yes}
            if is_quorum(self.config, set(all_voters(self.config)) - against):
                return
            self.counts["clashes"] += 1
            most = min(self.terms.backoff_most, self.terms.backoff << op.clashes)
            op.clashes = min(16, op.clashes + 1)
            op.phase, op.next = "wait", now + int(most * self.rng.random())
            self.soonest = min(self.soonest, op.next)
        elif message.reason in (EPOCH, BEHIND):
            return  # the group as it is now follows, or is on its way
        else:
            left = {v for v in all_voters(self.config) if v.name not in op.asked or v in op.yes}
            if not is_quorum(self.config, left):
                why = NO_QUORUM if message.reason in (BROKEN, NO_VOTER) else NO_ROOM
                self._end(op, UNCERTAIN if op.wrote else why, now)

    def _end(self, op: Operation, how: str, now: int = 0, value: bytes = b"") -> None:
        if how == NO_QUORUM:
            self.counts["no_majority"] += 1
        self.operations.pop(op.number, None)
        queue = self.queues.get(op.key)
        if queue and queue[0] is op:
            queue.popleft()
            if not queue:
                del self.queues[op.key]
            else:
                queue[0].phase, queue[0].next = "wait", now
                if now:
                    self._begin(now, queue[0])
        elif queue and op in queue:
            queue.remove(op)
        result = OperationResult(op.number, op.key, how, value)
        if op.number in self.config_changes:
            self._turned(now, self.config_changes.pop(op.number), result)
        else:
            self.done.append(result)

    # ------------------------------------------------------------ messages in

    def receive(self, now: int, sender: str, bundle: MessageBatch) -> None:
        """What another proxy says, under a good key."""
        self.heard_at[sender] = now
        if len(self.heard_at) > 2048:
            self.heard_at = {sender: now}
        if bundle.store_id:
            self.store_ids[sender] = bundle.store_id
            self.store_ids.move_to_end(sender)
            if len(self.store_ids) > 2048:
                self.store_ids.popitem(last=False)
        if sender in self.unresponsive:
            del self.unresponsive[sender]
            self.log_lines.append(f"{sender} is heard again")
        for item in bundle.messages:
            self._heard(now, Voter(sender, bundle.store_id), item)
        self._run_loop(now)

    def _run_loop(self, now: int) -> None:
        while self.loop:
            self._heard(now, self.self_voter, self.loop.popleft())

    def _heard(self, now: int, voter: Voter, item: Message) -> None:
        if isinstance(item, (Prepare, Accept)):
            self._vote(now, voter, item)
        elif isinstance(item, (Promise, Accepted, Rejected)):
            self._answered(now, voter, item)
        elif isinstance(item, Heartbeat):
            if not item.is_reply:
                self._send(voter.name, Heartbeat(True))
        elif isinstance(item, ConfigRequest):
            self._asked(now, voter, item)
        elif isinstance(item, ConfigResponse):
            self._adopt(now, item.config)
        elif isinstance(item, (RangeDigests, KeysRequest, KeysResponse, StatesRequest, StatesResponse)):
            self.catchup.heard(now, voter, item)

    def _answered(self, now: int, voter: Voter, item: Promise | Accepted | Rejected) -> None:
        op = self.operations.get(item.operation)
        if op is None:
            return
        if voter not in all_voters(self.config):
            self.counts["strangers"] += 1
            if not isinstance(item, Rejected):
                return
        if item.ballot == op.ballot:
            op.asked.add(voter.name)
        if isinstance(item, Promise):
            self._promised(now, op, voter, item)
        elif isinstance(item, Accepted):
            self._accepted(now, op, voter, item)
        else:
            if item.reason == BEHIND and item.ballot == op.ballot and op.phase != "wait":
                self._send(voter.name, ConfigResponse(self.config))
                op.asked.discard(voter.name)  # it can answer once it knows
                self._ask(now, op, [voter.name])
            self._refused(now, op, item)

    def _vote(self, now: int, voter: Voter, item: Prepare | Accept) -> None:
        """As a voter: an answer goes out once what it says is durable."""
        ballot = item.ballot if isinstance(item, Prepare) else item.state.ballot
        answer: Message
        why = self._unable(item.epoch)
        if why is not None:
            if why == EPOCH:
                self._send(voter.name, ConfigResponse(self.config))
            self._send(
                voter.name,
                Rejected(item.operation, ballot, self.acceptor.min_counter, why, self.config.epoch),
            )
            return
        if isinstance(item, Prepare):
            answer, mark = self._prepared(now, item)
        else:
            answer, mark = self.acceptor.accept(item)
        if mark > self.durable_index:
            self.deferred_replies.append((mark, voter.name, answer))
        else:
            self._send(voter.name, answer)

    def _prepared(self, now: int, item: Prepare) -> tuple[Message, int]:
        return self.acceptor.prepare(now // SECOND, item)

    def _unable(self, epoch: int) -> int | None:
        if epoch < self.config.epoch:
            return EPOCH
        if epoch > self.config.epoch:
            return BEHIND
        if not self.is_voter:
            return NO_VOTER
        if self.store_failure or len(self.deferred_replies) >= UNSENT_MOST:
            return BROKEN
        return None

    # ------------------------------------------------------------ who votes

    @property
    def _wiped(self) -> bool:
        """Our name votes, with a store that we no longer have."""
        return (
            bool(self.self_voter.store_id)
            and not self.is_voter
            and self.self_voter.name in voter_names(self.config)
        )

    def _who_votes(self, now: int) -> None:
        if self.config.epoch and not self._wiped:
            return
        if self.next_ask > now:
            return
        self.next_ask = now + self.terms.ask
        if not self.config.epoch:
            for name in self.founders:
                if name != self.self_voter.name:
                    self._send(name, ConfigRequest(0, self.founding))
            self._found(now)
        elif not self.store_failure:
            self._rejoin(now)

    def _found(self, now: int) -> None:
        """The first of the founders makes the group, once all of them are there and none has ever had one: so a machine
        that lost its disk cannot make a second group beside the first."""
        if not self.founding or self.self_voter.name != self.founders[0]:
            return
        fresh = {n: store for n, (store, at) in self.founders_seen.items() if now - at < 4 * self.terms.ask}
        if all(name in fresh or name == self.self_voter.name for name in self.founders):
            voters = sorted([self.self_voter, *(Voter(name, store) for name, store in fresh.items())])
            self._adopt(now, GroupConfig(1, tuple(voters)))

    def _asked(self, now: int, voter: Voter, item: ConfigRequest) -> None:
        if self.config.epoch > item.epoch:
            self._send(voter.name, ConfigResponse(self.config))
        elif self.founding and item.founding and voter.name in self.founders:
            self.founders_seen[voter.name] = (voter.store_id, now)

    def _adopt(self, now: int, config: GroupConfig) -> None:
        """The group as it is now: written down, and told, once that is durable."""
        if config.epoch <= self.config.epoch:
            return
        if (
            not config.voters or config.epoch > self.config.epoch + EPOCHS_MOST
        ):  # nobody could ever change it again
            self.counts["strangers"] += 1
            return
        self.config = config
        self.founding = False
        self.cached_ballots.clear()
        mark = self.config_mark = self.acceptor.append_record(ConfigAdopted(config))
        for voter in all_voters(config):
            if voter != self.self_voter:
                self.deferred_replies.append((mark, voter.name, ConfigResponse(config)))
        self.log_lines.append(f"epoch {config.epoch}: {_worded(config)}")
        for op in self.operations.values():
            if self.queues[op.key][0] is op:
                op.phase, op.next = "wait", now
                op.asked, op.yes = set(), {}
                self.soonest = now
        self.next_rejoin = now + self.terms.rejoin
        self.catchup.began(now)

    def _rejoin(self, now: int) -> None:
        """Asks to vote with the store that we have now in place of the one that we lost. It counts once it has caught
        up, and not before."""
        if not self.next_rejoin:
            self.next_rejoin = now + self.terms.rejoin
        if now >= self.next_rejoin and not self.config_changes and self.has_quorum():
            self.next_rejoin = now + int(self.terms.rejoin * (1 + self.rng.random()))
            name, me = self.self_voter.name, self.self_voter
            self._turn(now, lambda group: with_voter_replaced(group, name, me))

    def change_voters(self, now: int, what: str, name: str, new: str = "") -> str:
        """An operator's wish: add NAME, remove NAME, replace NAME by NEW. Why it cannot be, or "": it has begun."""
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
        self._turn(now, step)
        return ""

    def _turn(self, now: int, step: Step) -> None:
        turn = ConfigChange(step, self.config)
        number = self.propose(now, CONFIG_KEY, turn, limit=4 * self.terms.limit)
        if number in self.operations:
            self.config_changes[number] = turn

    def _turned(self, now: int, turn: ConfigChange, result: OperationResult) -> None:
        """A change of who votes has been decided, or not."""
        now = now or self.woke
        if result.outcome == WRITTEN:
            self._adopt(now, config_of(result.value))
        if turn.why:
            self.log_lines.append(f"who votes stays as it is: {turn.why}")
        if self.config.old_voters and not joining_voters(self.config):
            self.settle(now)

    def settle(self, now: int) -> None:
        """The newcomer has caught up, or there is none: the change is over."""
        if self.config.old_voters and not self.config_changes and self.has_quorum():
            self._turn(now, finalized)

    def has_caught_up(self) -> None:
        self.caught_up_epoch = self.config.epoch
        self.log_lines.append(
            f"has caught up with epoch {self.config.epoch}: {len(self.acceptor.registers)} registers"
        )

    def write_caught(self) -> int:
        return self.acceptor.append_record(CaughtUp(self.config.epoch))

    def _send(self, name: str, message: Message) -> None:
        if name == self.self_voter.name:
            self.loop.append(message)
        else:
            self.out.append((name, message))


def _worded(group: GroupConfig) -> str:
    voters = ", ".join(v.name for v in group.voters)
    old = ", ".join(v.name for v in group.old_voters)
    return f"{voters} vote" + (f"; until the change is over, {old} too" if old else "")
