"""The sales desk: the core that stands between any front and any machine room. It owns the Jobs in hand, the
Balancer, the clock and the chain of stages. Events come in by its methods, actions go out by the three small
interfaces below, so a second front can attach without a change here. It must never touch a socket or know a
protocol, never decide what the module decides, and never block: whoever is called from here returns at once.
Only its one greenlet calls the module, with all waiting events in one batch, and is never re-entered."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

import gevent
from gevent.event import Event as Bell

from paddlestep.balance import Balancer
from paddlestep.interface import (
    Action,
    Arrival,
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
    Probe,
    Probed,
    Refuse,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    TimerFired,
    Watch,
)

# ---------------------------------------------------------------- clock, alarms, log lines

_OFFSET = time.time_ns() // 1000 - time.monotonic_ns() // 1000


def clock() -> int:
    """Microseconds that never run backwards. They count from the Unix epoch as it stood at the program's start,
    so the start time of a node maps onto them by one fixed sum: the module takes a changed start for a restart."""
    return time.monotonic_ns() // 1000 + _OFFSET


def _nothing() -> None: ...


class Alarm:
    """One wait's own timer. gevent counts a timer from the time its loop last looked at the clock, which may be
    long past, so a ring that comes too early waits again for what is left."""

    __slots__ = ("due", "ring", "timer")

    def __init__(self, due: int, ring: Callable[[], None]) -> None:
        self.due = due
        self.ring = ring
        self._set()

    def _set(self) -> None:
        self.timer = gevent.get_hub().loop.timer(max(0, self.due - clock()) / 1e6)
        self.timer.start(self._fire, update=True)

    def _fire(self) -> None:
        self.timer.close()
        if clock() < self.due:
            self._set()
        else:
            ring, self.ring = self.ring, _nothing
            ring()

    def off(self) -> None:
        self.timer.stop()
        self.timer.close()
        self.ring = _nothing  # who was to be rung most often holds this alarm: a ring of references otherwise


_lines: dict[str, tuple[float, int]] = {}  # topic -> lines it may still print, when that was counted


def say(topic: str, text: str) -> None:
    """A log line, at most five at once and one a second for each topic. Topics are literals: they are few."""
    now = clock()
    left, at = _lines.get(topic, (5.0, now))
    left = min(5.0, left + (now - at) / 1e6)
    _lines[topic] = (left - 1 if left >= 1 else left, now)
    if left >= 1:
        line = "".join(c if c.isprintable() else "?" for c in text[:400])
        try:
            print(f"slatehub: {topic}: {line}", file=sys.stderr, flush=True)
        except (OSError, ValueError):
            pass  # nobody reads our log: no reason to stop serving


# ---------------------------------------------------------------- jobs and what the desk talks to


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    OVERDUE = "overdue"  # failed, for lack of time


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a job. What is printed comes from a machine and is passed on unread."""

    verdict: Verdict
    printed: Any = None
    retry_after_us: int = 0


class Screen(Protocol):
    """Where a job came from."""

    def answer(self, job: Job, answer: Answer) -> None: ...


class Floor(Protocol):
    """Where attempts are made. Each attempt sent ends in one call of `ended`, however often it is withdrawn."""

    def send(self, attempt: Attempt) -> None: ...

    def withdraw(self, attempt: Attempt) -> None: ...

    def probe(self, endpoint: int) -> None: ...


class Listing(Protocol):
    """Where news of the nodes comes from."""

    def watch(self, on: bool) -> None: ...


class Job:
    """A request, from its last byte until its final answer and the end of its last attempt."""

    __slots__ = (
        "account", "alarm", "answered", "attempts", "cls", "deadline", "name", "number", "order", "repeat", "screen",
    )  # fmt: skip

    def __init__(
        self, name: str, cls: int, account: int, deadline: int, order: Any, screen: Screen, repeat: bool = False
    ) -> None:
        self.name = name
        self.cls = cls
        self.account = account
        self.deadline = deadline
        self.order = order  # what the front and the machines say of it; nothing here reads it
        self.screen = screen
        self.repeat = repeat
        self.number = 0
        self.attempts: list[Attempt] = []
        self.answered = False
        self.alarm: Alarm | None = None


class Attempt:
    """One Send: its place among the job's attempts, where it goes and until when."""

    __slots__ = ("deadline", "endpoint", "errand", "job", "number", "over", "sent")

    def __init__(self, job: Job, number: int, endpoint: int, sent: int, deadline: int) -> None:
        self.job = job
        self.number = number
        self.endpoint = endpoint
        self.sent = sent
        self.deadline = deadline
        self.over = False
        self.errand: Any = None  # the floor's own


# ---------------------------------------------------------------- the stages


class Ledger:
    """What the stages share: the jobs in hand, by the number the module knows and by the caller's name."""

    def __init__(self) -> None:
        self.jobs: dict[int, Job] = {}
        self.names: dict[str, Job] = {}
        self.last = 0


class TakeIn:
    """First stage: a job enters the ledger. False where its name is still in hand: two jobs under one name could
    not be told apart by the machines."""

    def __init__(self, ledger: Ledger, overdue: Callable[[Job], None]) -> None:
        self.ledger = ledger
        self.overdue = overdue

    def __call__(self, job: Job) -> bool:
        ledger = self.ledger
        if job.name in ledger.names:
            return False
        ledger.last += 1
        job.number = ledger.last
        ledger.jobs[job.number] = ledger.names[job.name] = job
        # The module answers before this; guards against a fault that would leave the caller without an answer.
        job.alarm = Alarm(job.deadline, lambda: self.overdue(job))
        return True


class Admit:
    """Second stage: the job as the module sees it, with the time left at the moment of the batch."""

    def __call__(self, job: Job, now: int) -> Arrival:
        left = max(0, job.deadline - now)
        return Arrival(job.number, job.cls, job.account, left_us=left, repeat=job.repeat)


class Route:
    """Third stage: the module's Send becomes an attempt with its limit of time; None for a job it does not hold."""

    def __init__(self, ledger: Ledger, most: int) -> None:
        self.ledger = ledger
        self.most = most

    def __call__(self, action: Send, now: int) -> Attempt | None:
        job = self.ledger.jobs.get(action.request)
        if job is None:
            return None
        limit = min(job.deadline, now + action.timeout_us) if action.timeout_us > 0 else job.deadline
        attempt = Attempt(job, len(job.attempts), action.endpoint, now, limit)
        job.attempts.append(attempt)
        return attempt

    def moot(self, attempt: Attempt, now: int) -> bool:
        """Whether it must not go out: the job is over, out of time, or out of attempts."""
        return attempt.job.answered or attempt.deadline <= now or attempt.number >= self.most


class SendOut:
    """Fourth stage: the attempt goes to the floor, which reports its end on its own."""

    def __init__(self, floor: Floor) -> None:
        self.floor = floor

    def __call__(self, attempt: Attempt) -> None:
        self.floor.send(attempt)


class Relay:
    """Fifth stage: the one final answer goes to where the job came from, at once. All answers pass here, and
    only the first of a job gets through."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    def __call__(self, job: Job, answer: Answer | None) -> bool:
        if job.answered:
            return False
        job.answered = True
        if job.alarm:
            job.alarm.off()
            job.alarm = None
        self.ledger.names.pop(job.name, None)
        if answer:  # None: the caller has gone
            job.screen.answer(job, answer)
        return True


class Book:
    """Last stage: the outcome as the module gets it, once an attempt; a job leaves the ledger with its last."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger

    def __call__(self, attempt: Attempt, status: Status, now: int, report: tuple[float, ...]) -> Outcome:
        attempt.over = True
        attempt.errand = None
        job = attempt.job
        self.close(job)
        lag = max(0, now - attempt.sent)
        return Outcome(job.number, attempt.number, attempt.endpoint, status, lag, job.answered, report)

    def close(self, job: Job) -> None:
        if job.answered and all(a.over for a in job.attempts):
            self.ledger.jobs.pop(job.number, None)
            job.attempts = []  # each holds the job: a ring in which its body would wait for the collector


class SalesDesk:
    """Runs the chain. `open` must be called before anything else comes in."""

    def __init__(self, settings: Settings, seed: int, most: int) -> None:
        self.settings = settings
        self.most = most  # jobs in hand
        self.seed = seed
        self.balancer = Balancer(settings, seed)
        self.nodes: dict[int, Entry] = {}  # the list as the module holds it
        self.left: dict[int, int] = {}  # endpoint -> when we were told that it drains or is gone
        self.waiting: list[Event | Job] = []
        self.bell = Bell()
        self.timers: set[Alarm] = set()
        self.ledger = Ledger()

    def open(self, floor: Floor, listing: Listing) -> None:
        self.floor = floor
        self.listing = listing
        # The chain, in the order in which a job meets it.
        self.take_in = TakeIn(self.ledger, self._overdue)
        self.admit = Admit()
        self.route = Route(self.ledger, self.settings.max_attempts)
        self.send_out = SendOut(floor)
        self.relay = Relay(self.ledger)
        self.book = Book(self.ledger)
        self.greenlet = gevent.spawn(self._work)

    # ------------------------------------------------------------ events in

    def order(self, job: Job) -> bool:
        """A job has come in whole. False: its name is still in hand."""
        if not self.take_in(job):
            return False
        if len(self.ledger.names) > self.most:
            self._final(job.number, Answer(Verdict.REFUSED))  # the settings turn it away before the module
        else:
            self._post(job)
        return True

    def gone(self, job: Job) -> None:
        """The caller has left; nothing is owed any more."""
        if self.relay(job, None):
            self._post(ClientGone(job.number))
            self.book.close(job)

    def ended(self, attempt: Attempt, status: Status, report: tuple[float, ...] = (), printed: Any = None) -> None:
        """The floor is done with an attempt. A served answer goes out before the module hears of it."""
        if attempt.over:
            return
        if status is Status.OK:
            self.relay(attempt.job, Answer(Verdict.SERVED, printed))
        self._post(self.book(attempt, status, clock(), report))

    def probed(self, endpoint: int, status: Status, lag: int, report: tuple[float, ...]) -> None:
        self._post(Probed(endpoint, status, lag, report))

    def listed(self, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        """News of the nodes, or that there is none to be had (FAILED)."""
        if kind is not ListKind.FAILED:
            if kind is not ListKind.DELTA:
                fresh = {e.endpoint for e in entries}
                entries += tuple(
                    Entry(n, State.GONE, e.since_us, e.weight, e.cell, e.kind, e.zone)
                    for n, e in self.nodes.items()
                    if n not in fresh and e.state is not State.GONE
                )
            for entry in entries:
                self.nodes[entry.endpoint] = entry
                if entry.state is State.READY:
                    self.left.pop(entry.endpoint, None)
                else:
                    self.left.setdefault(entry.endpoint, clock())
        self._post(ListUpdate(kind, version, entries))

    def resettle(self, settings: Settings, most: int) -> None:
        """The settings have been read anew: whatever comes in after this goes by them."""
        self.settings = settings
        self.most = most
        self.route.most = settings.max_attempts
        self._post(NewSettings(settings))

    def _post(self, event: Event | Job) -> None:
        self.waiting.append(event)
        self.bell.set()

    def _overdue(self, job: Job) -> None:
        if self.relay(job, Answer(Verdict.OVERDUE)):
            self._post(ClientGone(job.number))
            self.book.close(job)

    # ------------------------------------------------------------ the one greenlet that asks the module

    def _work(self) -> None:
        while True:
            self.bell.wait()
            self.bell.clear()
            waiting, self.waiting = self.waiting, []
            now = clock()
            events = [self.admit(e, now) if isinstance(e, Job) else e for e in waiting]
            try:
                actions = self.balancer.handle(now, events)
                for action in actions:
                    self._act(action, now)
            except Exception as problem:
                self._recover(problem)

    def _act(self, action: Action, now: int) -> None:
        if isinstance(action, Send):
            attempt = self.route(action, now)
            if attempt and self.route.moot(attempt, now):
                self.ended(attempt, Status.MOOT)
            elif attempt:
                self.send_out(attempt)
        elif isinstance(action, SetTimer):
            # The module thinks in ticks; a timer may come up to one late, and then finds more to do at once.
            tick = max(1, self.settings.tick_us)
            self._remind(-(-(now + action.delay_us) // tick) * tick, action.token)
        elif isinstance(action, Refuse):
            self._final(action.request, Answer(Verdict.REFUSED, retry_after_us=action.retry_after_us))
        elif isinstance(action, Fail):
            self._final(action.request, Answer(Verdict.FAILED))
        elif isinstance(action, Cancel):
            job = self.ledger.jobs.get(action.request)
            if job and action.attempt < len(job.attempts) and not job.attempts[action.attempt].over:
                self.floor.withdraw(job.attempts[action.attempt])
        elif isinstance(action, Probe):
            self.floor.probe(action.endpoint)
        elif isinstance(action, Watch):
            self.listing.watch(action.on)
        elif isinstance(action, Log):
            say("module", action.text)

    def _final(self, number: int, answer: Answer) -> None:
        job = self.ledger.jobs.get(number)
        if job:
            self.relay(job, answer)
            self.book.close(job)

    def _remind(self, due: int, token: int) -> None:
        def ring() -> None:
            self.timers.discard(alarm)
            self._post(TimerFired(token))

        alarm = Alarm(due, ring)
        self.timers.add(alarm)

    def _recover(self, problem: Exception) -> None:
        """The module has failed and may have forgotten any job: all in hand are answered, and a new one goes on
        from the list. Guards against callers left waiting; harms every job in hand, so it is the last resort."""
        say("fault", f"the decision module failed: {type(problem).__name__}: {problem}")
        for job in list(self.ledger.jobs.values()):
            self.relay(job, Answer(Verdict.FAILED))
            for attempt in job.attempts:
                if not attempt.over:
                    self.floor.withdraw(attempt)
            self.book.close(job)
        self.waiting.clear()
        self.bell.clear()
        self.balancer = Balancer(self.settings, self.seed + 1)
        self._post(ListUpdate(ListKind.CACHED, 0, tuple(e for e in self.nodes.values() if e.state != State.GONE)))
