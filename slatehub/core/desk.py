"""The sales desk: the core that stands between any front and any floor. It owns the jobs in hand, the Balancer, the
timers and the chain of stages. Events come in by its methods, each with its time; what is wanted done lies in `acts`
until the driver takes it. It must never look at a clock, touch a socket, know a protocol, block, or decide what the
module decides. The module is asked by `turn` only, with all waiting events in one batch."""

from __future__ import annotations

import re
from heapq import heappop, heappush
from typing import Any, Protocol

from paddlestep.balance import Balancer
from paddlestep.interface import (
    Action,
    Cancel,
    ClientGone,
    Entry,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    NewSettings,
    Outcome,
    Peers,
    Refuse,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    TimerFired,
    Watch,
)

from ..decisions.stop import PlannedStop
from .actions import Act, Kept, Say, WatchList, Withdraw
from .jobs import Answer, Attempt, Job, Verdict
from .recovery import OFF, Recovery, RecoveryTerms
from .stages import Admit, Advise, Book, Ledger, Relay, Route, SendOut, TakeIn, Vouch

TICK_LEAST_US = 1_000  # guards against settings by which the module would be rung without a pause
SERVER = re.compile(r"server ([0-9a-f]{12}) ")  # how the module names a node in a line for the log


class Recorder(Protocol):
    """Is told of each batch once the module is done with it. It must never raise, and never change what it is given."""

    def batch(self, now: int, names: list[str], events: list[Event], actions: list[Action] | None) -> None:
        """`names`: the callers' ids of the batch's arrivals, in their order. `actions` None: the module failed."""

    def fault(self, problem: Exception) -> None:
        """A new Balancer has taken the place of the one that was recorded."""


class Teller(Protocol):
    """Sees each turn of the module, to tell other proxies of it. It must never raise, and never change what it sees."""

    def batch(self, now: int, events: list[Event], actions: list[Action]) -> None: ...


class SalesDesk:
    """Runs the chain. `most`: jobs in hand at once. Times are microseconds that never run backwards."""

    def __init__(self, settings: Settings, seed: int, most: int, terms: RecoveryTerms = OFF) -> None:
        self.settings = settings
        self.most = most
        self.seed = seed
        self.balancer = Balancer(settings, seed)
        self.nodes: dict[int, Entry] = {}  # the list as the module holds it
        self.left: dict[int, int] = {}  # endpoint -> when we were told that it drains or is gone
        self.waiting: list[Event | Job] = []  # for the next turn
        self.acts: list[Act] = []
        self.timers: list[tuple[int, int]] = []  # (due, token) of the module: a heap
        self.tokens: set[int] = set()  # of these timers
        self.recorder: Recorder | None = None
        self.teller: Teller | None = None
        self.peers_until = 0  # when the news of other proxies ends, if none follows; 0: there is none
        self.ledger = Ledger()
        self.recovery = Recovery(terms, settings, seed)
        # The chain, in the order in which a job meets it.
        self.take_in = TakeIn(self.ledger, settings.max_attempts)
        self.admit = Admit(self.recovery)
        self.route = Route(self.ledger)
        self.vouch = Vouch(self._emit)
        self.send_out = SendOut(self._emit)
        self.advise = Advise(self.recovery)
        self.relay = Relay(self.ledger, self.advise, self._emit)
        self.book = Book(self.ledger)

    # ------------------------------------------------------------ acts out

    def _emit(self, act: Act) -> None:
        self.acts.append(act)

    def take_acts(self) -> list[Act]:
        """What is wanted done since the last call, in order."""
        acts, self.acts = self.acts, []
        return acts

    def due(self) -> int | None:
        """When `ring` should be called next, if nothing else happens first."""
        timer = self.timers[0][0] if self.timers else None
        # A turn that is to come looks after the recovery subsystem anyway: an alarm for it now would ring without end.
        look = None if self.waiting else self.recovery.due()
        times = (self.ledger.first_end(), timer, look, self.peers_until or None)
        return min((t for t in times if t is not None), default=None)

    # ------------------------------------------------------------ events in

    def order(self, now: int, job: Job, known: Answer | None = None) -> bool:
        """A job has come in whole. False: its name is still in hand. `known`: its answer, if there is one already."""
        if not self.take_in(job):
            return False
        self.recovery.came(now, job)
        if known:
            self._final(job.number, known, now)
        elif len(self.ledger.names) > self.most:
            self._final(
                job.number, Answer(Verdict.REFUSED), now
            )  # the settings turn it away before the module
        else:
            self.waiting.append(job)
        return True

    def gone(self, now: int, job: Job) -> None:
        """The caller has left; nothing is owed any more."""
        if not job.answered:
            self.recovery.left(now, job)
        self._give_up(job, None, now)

    def ended(
        self, now: int, attempt: Attempt, status: Status, report: tuple[float, ...] = (), printed: Any = None
    ) -> None:
        """The floor is done with an attempt. A served answer goes out before the module hears of it."""
        if attempt.over:
            return
        if attempt.job.promise and not attempt.held:
            self._emit(Kept(attempt, status, printed))
        if status is Status.OK:
            self.relay(attempt.job, Answer(Verdict.SERVED, printed), now)
        self.waiting.append(self.book(attempt, status, now, report))

    def cleared(self, now: int, attempt: Attempt) -> bool:
        """The intent of a held attempt is durable. Whether it goes out; otherwise it never will."""
        if attempt.over:
            return False
        if self.route.moot(attempt, now):
            self.ended(now, attempt, Status.MOOT)
            return False
        attempt.held = False
        self.send_out(attempt)
        return True

    def settled(self, now: int, attempt: Attempt, answer: Answer) -> None:
        """A held attempt is not to go out: this is known of its order, or no intent could be made durable."""
        if not attempt.over:
            self._give_up(attempt.job, answer, now)
            self.ended(now, attempt, Status.MOOT)

    def _withdraw(self, now: int, attempt: Attempt) -> None:
        if attempt.held:
            self.ended(now, attempt, Status.MOOT)  # nobody else knows of it yet
        else:
            self._emit(Withdraw(attempt))

    def listed(self, now: int, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        """News of the nodes, or that there is none to be had (FAILED)."""
        if kind is not ListKind.FAILED:
            if kind is not ListKind.DELTA:
                entries += self._missing(entries)
            for entry in entries:
                if entry.state is State.GONE:
                    self.nodes.pop(entry.endpoint, None)
                else:
                    self.nodes[entry.endpoint] = entry
                if entry.state is State.READY:
                    self.left.pop(entry.endpoint, None)
                else:
                    self.left.setdefault(entry.endpoint, now)
        self.waiting.append(ListUpdate(kind, version, entries))

    def connected(self, now: int) -> None:
        """A caller has made a new connection."""
        self.recovery.connected(now)

    def peers(self, now: int, news: Peers, until: int) -> None:
        """What other proxies tell. It ends by itself, so that no news goes on binding when nobody tells any."""
        self.waiting.append(news)
        self.recovery.share(news.alive)
        self.peers_until = until if news.alive else 0

    def _missing(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Who was on the list and is not on this whole one: gone."""
        fresh = {e.endpoint for e in entries}
        return tuple(
            Entry(n, State.GONE, e.since_us, e.weight, e.cell, e.kind, e.zone)
            for n, e in self.nodes.items()
            if n not in fresh
        )

    def long_gone(self, most: int) -> list[int]:
        """Nodes that are gone, but for the last `most` of them: nothing of these need be known any more, and what was
        known here is forgotten. Guards against tables that grow with every id that a node has ever had."""
        gone = [n for n in self.left if n not in self.nodes][:-most]
        for endpoint in gone:
            del self.left[endpoint]
        return gone

    def resettle(self, settings: Settings, most: int, terms: RecoveryTerms = OFF) -> None:
        """The settings have been read anew: whatever comes in after this goes by them."""
        self.settings = settings
        self.most = most
        self.take_in.most = settings.max_attempts
        self.recovery.resettle(terms, settings)
        self.waiting.append(NewSettings(settings))

    def stop(self, now: int) -> PlannedStop:
        """The process has been told to end. What is in hand has until then; what comes is the front's to limit."""
        longest = max(kind.deadline_us for kind in self.settings.classes)
        stop = PlannedStop(now, longest, self.settings.siblings, self.balancer.service_us)
        self.recovery.stop = stop
        self.ledger.hurry(stop.answer_by)
        return stop

    def ring(self, now: int) -> None:
        """Time has passed: what is due by now."""
        while self.timers and self.timers[0][0] <= now:
            token = heappop(self.timers)[1]
            self.tokens.discard(token)
            self.waiting.append(TimerFired(token))
        if self.peers_until and self.peers_until <= now:
            self.peers(now, Peers(), 0)
        # The module answers before this; guards against a fault that would leave the caller without an answer.
        for job in self.ledger.overdue(now):
            self._give_up(job, Answer(Verdict.OVERDUE), now)
        if not self.waiting and (look := self.recovery.due()) is not None and look <= now:
            self._look(now)

    def _give_up(self, job: Job, answer: Answer | None, now: int) -> None:
        if self.relay(job, answer, now):
            self.waiting.append(ClientGone(job.number))
            self.book.close(job)

    # ------------------------------------------------------------ the module's turn

    def turn(self, now: int) -> None:
        """Asks the module with everything that waits. Whatever it answers, or fails with, every job in hand is still
        owed one answer."""
        waiting, self.waiting = self.waiting, []
        try:
            events = [self.admit(e, now) if isinstance(e, Job) else e for e in waiting]
            actions = self._asked(now, waiting, events)
            for action in actions:
                self._act(action, now)
            if self.teller:
                self.teller.batch(now, events, actions)
            self._look(now, events)
        except Exception as problem:
            self.recover(now, problem)

    def _look(self, now: int, events: list[Event] | None = None) -> None:
        """What the recovery subsystem makes of it: lines for the log."""
        for e in events or ():
            if isinstance(e, Outcome):
                self.recovery.booked(now, e)
        self.acts += self.recovery.turned(now, self.balancer.waiting, self.balancer.slots)

    def _asked(self, now: int, waiting: list[Event | Job], events: list[Event]) -> list[Action]:
        if self.recorder is None:
            return self.balancer.handle(now, events)
        actions = None
        try:
            actions = self.balancer.handle(now, events)
            return actions
        finally:
            self.recorder.batch(now, [e.name for e in waiting if isinstance(e, Job)], events, actions)

    def _act(self, action: Action, now: int) -> None:
        if isinstance(action, Send):
            attempt = self.route(action, now)
            if attempt and self.route.moot(attempt, now):
                self.ended(now, attempt, Status.MOOT)
            elif attempt and not self.vouch(attempt):
                self.send_out(attempt)
        elif isinstance(action, SetTimer):
            # The module thinks in ticks; a timer may come up to one late, and then finds more to do at once. It asks
            # anew for one that it has forgotten: guards against as many timers for one far moment as there were turns.
            tick = max(TICK_LEAST_US, self.settings.tick_us)
            if action.token not in self.tokens:
                self.tokens.add(action.token)
                heappush(self.timers, (-(-(now + action.delay_us) // tick) * tick, action.token))
        elif isinstance(action, Refuse):
            self._final(action.request, Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us), now)
        elif isinstance(action, Fail):
            self._final(action.request, Answer(Verdict.FAILED), now)
        elif isinstance(action, Cancel):
            job = self.ledger.jobs.get(action.request)
            if job and action.attempt < len(job.attempts) and not job.attempts[action.attempt].over:
                self._withdraw(now, job.attempts[action.attempt])
        elif isinstance(action, Watch):
            self._emit(WatchList(action.on))
        elif isinstance(action, Log):
            self._emit(_worded(action.text))

    def _final(self, number: int, answer: Answer, now: int) -> None:
        job = self.ledger.jobs.get(number)
        if job:
            self.relay(job, answer, now)
            self.book.close(job)

    def recover(self, now: int, problem: Exception) -> None:
        """The module has failed and may have forgotten any job: all in hand are answered, and a new one goes on
        from the list. Guards against callers left waiting; harms every job in hand, so it is the last resort."""
        text = f"the decision module failed: {type(problem).__name__}: {problem}"
        self._emit(Say("fault", text, "error", problem=problem))
        for job in list(self.ledger.jobs.values()):
            self.relay(job, Answer(Verdict.FAILED), now)
            for attempt in job.attempts:
                if not attempt.over:
                    self._withdraw(now, attempt)
            self.book.close(job)
        self.waiting.clear()
        self.timers.clear()
        self.tokens.clear()
        self.balancer = Balancer(self.settings, self.seed + 1)
        self.waiting.append(ListUpdate(ListKind.CACHED, 0, tuple(self.nodes.values())))
        if self.recorder:
            self.recorder.fault(problem)


def _worded(text: str) -> Say:
    """A line of the module's. It calls a node by its number; whoever reads the log wants to know which that is."""
    found = SERVER.match(text)
    level = "warning" if " ejected " in text else "info"
    return Say("module", text, level, int(found[1], 16) if found else 0)
