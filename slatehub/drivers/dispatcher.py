"""Runs the core's dispatcher in the daemon: passes the time to it, executes its commands, and has it ask the balancer
in a greenlet of its own, once per turn of the event loop with all pending events. It holds the dispatcher's single
timer. It does not block, and does nothing that the dispatcher has not commanded."""

from __future__ import annotations

from typing import Any, Protocol

import gevent
from gevent.event import Event as GeventEvent

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
    """Sends attempts to nodes. Each attempt sent ends in exactly one call of `attempt_ended`, however often it is
    cancelled."""

    def send(self, attempt: Attempt) -> None: ...

    def cancel(self, attempt: Attempt) -> None: ...


class NodeSource(Protocol):
    """Supplies node list updates."""

    def watch(self, on: bool) -> None: ...


class IntentStore(Protocol):
    """Makes intents durable before an attempt is sent, and remembers how it ended. No method blocks."""

    def recorded_answer(self, job: Job) -> Answer | None:
        """Returns the answer if it is known already, so that nothing has to be sent; else None."""

    def record_intent(self, attempt: Attempt) -> None:
        """Records the intent. The result is one call of `intent_persisted` or `intent_rejected`, within the store's own
        time limit."""

    def record_outcome(self, attempt: Attempt, status: Status, response: Any) -> None: ...


class DispatcherDriver:
    """The interface of the core for front ends, attempt transports and the node source. `start` must be called before
    any other method."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        # endpoint -> when discovery reported that it drains or is gone, in microseconds
        self.unavailable_since = dispatcher.unavailable_since
        self.job_table = dispatcher.job_table
        self.node_ids: dict[int, str] = {}  # endpoint -> id of the node in the node list
        self.intent_store: IntentStore | None = None
        self.events_pending = GeventEvent()
        self.timer: Timer | None = None

    def start(self, transport: AttemptTransport, node_source: NodeSource) -> None:
        """Starts the greenlet that processes batches of events."""
        self.transport = transport
        self.node_source = node_source
        self.greenlet = gevent.spawn(self._run_batches)

    def submit(self, job: Job) -> bool:
        """Accepts a job whose request is complete. Returns False if a job with the same request id is still open."""
        known = self.intent_store.recorded_answer(job) if job.intent_register and self.intent_store else None
        accepted = self.dispatcher.submit(clock(), job, known)
        self._execute_commands()
        return accepted

    def caller_disconnected(self, job: Job) -> None:
        """Reports that the caller of a job has closed its connection."""
        self.dispatcher.caller_disconnected(clock(), job)
        self._execute_commands()

    def withdraw(self, job: Job) -> None:
        """Answers a job of which no attempt may begin any more."""
        self.dispatcher.withdraw(clock(), job)
        self._execute_commands()

    def attempt_ended(
        self, attempt: Attempt, status: Status, report: tuple[float, ...] = (), response: Any = None
    ) -> None:
        """Reports how an attempt ended, with the node's load report and its response, if any."""
        self.dispatcher.attempt_ended(clock(), attempt, status, report, response)
        self._execute_commands()

    def intent_persisted(self, attempt: Attempt) -> bool:
        """Reports that the intent of an attempt is durable. Returns whether the attempt is sent."""
        will_be_sent = self.dispatcher.intent_persisted(clock(), attempt)
        self._execute_commands()
        return will_be_sent

    def intent_rejected(self, attempt: Attempt, answer: Answer) -> None:
        """Answers the job without sending the attempt: its answer is already recorded, or its intent could not be."""
        self.dispatcher.intent_rejected(clock(), attempt, answer)
        self._execute_commands()

    def update_nodes(self, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        """Applies a node list update, or reports that a call to discovery failed (ListKind.FAILED)."""
        self.dispatcher.update_nodes(clock(), kind, version, entries)
        self._execute_commands()

    def forget_removed_nodes(self, max_removed: int) -> list[int]:
        """Drops the nodes removed longest ago until at most `max_removed` are left; returns their endpoints."""
        return self.dispatcher.forget_removed_nodes(max_removed)

    def update_peers(self, now: int, peers: Peers, until: int) -> None:
        """Applies the combined reports of other proxies, which expire at `until` (microseconds)."""
        self.dispatcher.update_peers(now, peers, until)
        self._execute_commands()

    def connection_opened(self) -> None:
        """Reports that a caller has opened a connection."""
        self.dispatcher.connection_opened(clock())

    def apply_settings(self, settings: Settings, max_jobs: int, recovery_config: RecoveryConfig) -> None:
        """Applies new settings."""
        self.dispatcher.apply_settings(settings, max_jobs, recovery_config)
        self._execute_commands()

    def stop(self) -> ShutdownSchedule:
        """Begins the shutdown of the process and returns its schedule."""
        schedule = self.dispatcher.stop(clock())
        self._execute_commands()
        return schedule

    # ------------------------------------------------------------ the greenlet that has the balancer asked

    def _run_batches(self) -> None:
        while True:
            self.events_pending.wait()
            self.events_pending.clear()
            self.dispatcher.process_batch(clock())
            try:
                self._execute_commands()
            except Exception as error:
                # A transport has failed to start an attempt, for instance: no caller may be left waiting.
                self.dispatcher.reset_after_fault(clock(), error)
                self._execute_commands()

    def _run_due_timers(self) -> None:
        self.timer = None
        self.dispatcher.run_due_timers(clock())
        self._execute_commands()

    def _execute_commands(self) -> None:
        """Executes all commands, then schedules the next batch and the timer. A command may call this method again."""
        while commands := self.dispatcher.take_commands():
            for command in commands:
                self._execute(command)
        if self.dispatcher.pending_events:
            self.events_pending.set()
        due = self.dispatcher.due()
        if due is not None and (self.timer is None or due < self.timer.due):
            if self.timer:
                self.timer.cancel()
            self.timer = Timer(due, self._run_due_timers)

    def _persist_intent(self, attempt: Attempt) -> None:
        """Records the intent. New settings may have removed the intent store since the request came in: without a store
        the request is refused, and not sent."""
        if self.intent_store:
            self.intent_store.record_intent(attempt)
        else:
            self.dispatcher.intent_rejected(clock(), attempt, Answer(AnswerStatus.REFUSED))

    def _execute(self, command: Command) -> None:
        if isinstance(command, DeliverAnswer):
            command.job.responder.answer(command.job, command.answer)
        elif isinstance(command, StartAttempt):
            self.transport.send(command.attempt)
        elif isinstance(command, PersistIntent):
            self._persist_intent(command.attempt)
        elif isinstance(command, PersistOutcome):
            if self.intent_store:
                self.intent_store.record_outcome(command.attempt, command.status, command.response)
        elif isinstance(command, CancelAttempt):
            self.transport.cancel(command.attempt)
        elif isinstance(command, WatchNodes):
            self.node_source.watch(command.enabled)
        elif isinstance(command, LogLine):
            log_event(
                command.topic,
                command.text,
                command.level,
                node=self.node_ids.get(command.endpoint),
                where=error_location(command.error),
            )
