"""Drives the desk in the daemon: tells it the time, carries out its acts, and has the module asked in a greenlet of its
own, once a turn of the loop with all that waits. It owns the desk's one alarm. It must never block, and never act on
its own: what it does, the desk wanted."""

from __future__ import annotations

from typing import Any, Protocol

import gevent
from gevent.event import Event as Bell

from paddlestep.interface import Entry, ListKind, Peers, Settings, Status

from ..core.commands import (
    CancelAttempt,
    Command,
    DeliverAnswer,
    LogLine,
    PersistIntent,
    PersistOutcome,
    StartAttempt,
    WatchNodes,
)
from ..core.dispatcher import Dispatcher
from ..core.jobs import Answer, AnswerStatus, Attempt, Job
from ..core.recovery import RecoveryConfig
from ..decisions.shutdown import ShutdownSchedule
from ..observe.log import error_location, log_event
from .clock import Timer, clock


class AttemptTransport(Protocol):
    """Where attempts are made. Each attempt sent ends in one call of `attempt_ended`, however often it is withdrawn."""

    def send(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...


class NodeSource(Protocol):
    """Where news of the nodes comes from."""

    def watch(self, on: bool) -> None: ...


class IntentStore(Protocol):
    """What makes intents durable before an attempt goes out, and remembers how it ended. It never blocks."""

    def recorded_answer(self, job: Job) -> Answer | None:
        """What is to be answered without sending anything, where that is known already."""

    def record_intent(self, attempt: Attempt) -> None:
        """In one call of `intent_persisted` or `intent_rejected`, within its own limit of time."""

    def record_outcome(self, attempt: Attempt, status: Status, printed: Any) -> None: ...


class DispatcherDriver:
    """What fronts, floors and the listing talk to. `start` must be called before anything else comes in."""

    def __init__(self, desk: Dispatcher) -> None:
        self.dispatcher = desk
        self.unavailable_since = (
            desk.unavailable_since
        )  # endpoint -> when we were told that it drains or is gone
        self.job_table = desk.job_table
        self.node_ids: dict[int, str] = {}  # endpoint -> the node's id, as the list had it
        self.intent_store: IntentStore | None = None
        self.bell = Bell()
        self.timer: Timer | None = None

    def start(self, floor: AttemptTransport, listing: NodeSource) -> None:
        self.transport = floor
        self.node_source = listing
        self.greenlet = gevent.spawn(self._work)

    def submit(self, job: Job) -> bool:
        """A job has come in whole. False: its name is still in hand."""
        known = self.intent_store.recorded_answer(job) if job.intent_register and self.intent_store else None
        taken = self.dispatcher.submit(clock(), job, known)
        self._execute_commands()
        return taken

    def caller_disconnected(self, job: Job) -> None:
        self.dispatcher.caller_disconnected(clock(), job)
        self._execute_commands()

    def attempt_ended(
        self, attempt: Attempt, status: Status, report: tuple[float, ...] = (), printed: Any = None
    ) -> None:
        self.dispatcher.attempt_ended(clock(), attempt, status, report, printed)
        self._execute_commands()

    def intent_persisted(self, attempt: Attempt) -> bool:
        goes = self.dispatcher.intent_persisted(clock(), attempt)
        self._execute_commands()
        return goes

    def intent_rejected(self, attempt: Attempt, answer: Answer) -> None:
        self.dispatcher.intent_rejected(clock(), attempt, answer)
        self._execute_commands()

    def update_nodes(self, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        self.dispatcher.update_nodes(clock(), kind, version, entries)
        self._execute_commands()

    def forget_removed_nodes(self, most: int) -> list[int]:
        return self.dispatcher.forget_removed_nodes(most)

    def update_peers(self, now: int, news: Peers, until: int) -> None:
        """What other proxies tell, as far as it counts; it ends at `until`."""
        self.dispatcher.update_peers(now, news, until)
        self._execute_commands()

    def connection_opened(self) -> None:
        """A caller has made a new connection."""
        self.dispatcher.connection_opened(clock())

    def apply_settings(self, settings: Settings, most: int, terms: RecoveryConfig) -> None:
        self.dispatcher.apply_settings(settings, most, terms)
        self._execute_commands()

    def stop(self) -> ShutdownSchedule:
        """The process has been told to end: its time from here on."""
        stop = self.dispatcher.stop(clock())
        self._execute_commands()
        return stop

    # ------------------------------------------------------------ the one greenlet that has the module asked

    def _work(self) -> None:
        while True:
            self.bell.wait()
            self.bell.clear()
            self.dispatcher.process_batch(clock())
            try:
                self._execute_commands()
            except (
                Exception
            ) as problem:  # a floor that failed to start an attempt: nobody may be left waiting
                self.dispatcher.reset_after_fault(clock(), problem)
                self._execute_commands()

    def _ring(self) -> None:
        self.timer = None
        self.dispatcher.run_due_timers(clock())
        self._execute_commands()

    def _execute_commands(self) -> None:
        """Everything that is wanted done; then the next turn and the alarm. Acts may call back in here."""
        while acts := self.dispatcher.take_commands():
            for act in acts:
                self._do(act)
        if self.dispatcher.pending_events:
            self.bell.set()
        due = self.dispatcher.due()
        if due is not None and (self.timer is None or due < self.timer.due):
            if self.timer:
                self.timer.cancel()
            self.timer = Timer(due, self._ring)

    def _keep(self, attempt: Attempt) -> None:
        """Settings may have been swapped since the order came in: without a keeper it is refused, and not sent."""
        if self.intent_store:
            self.intent_store.record_intent(attempt)
        else:
            self.dispatcher.intent_rejected(clock(), attempt, Answer(AnswerStatus.REFUSED))

    def _do(self, act: Command) -> None:
        if isinstance(act, DeliverAnswer):
            act.job.responder.answer(act.job, act.answer)
        elif isinstance(act, StartAttempt):
            self.transport.send(act.attempt)
        elif isinstance(act, PersistIntent):
            self._keep(act.attempt)
        elif isinstance(act, PersistOutcome):
            if self.intent_store:
                self.intent_store.record_outcome(act.attempt, act.status, act.response)
        elif isinstance(act, CancelAttempt):
            self.transport.cancel(act.attempt)
        elif isinstance(act, WatchNodes):
            self.node_source.watch(act.enabled)
        elif isinstance(act, LogLine):
            log_event(
                act.topic,
                act.text,
                act.level,
                node=self.node_ids.get(act.endpoint),
                where=error_location(act.error),
            )
