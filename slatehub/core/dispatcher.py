"""The dispatcher: the state machine between the fronts and the node clients. It holds the open jobs, the
Balancer, the timers and the chain of stages. Events come in by method calls, each with its time; what is to
be done is collected in `commands` until the driver takes it. The dispatcher must not read a clock, do I/O,
depend on a protocol, block, or make decisions that belong to the decision module (the Balancer). That module
is called by `process_batch` only, with all pending events in one batch."""

from __future__ import annotations

import re
from heapq import heappop, heappush
from typing import Any, Protocol

from paddlestep.balance import Balancer
from paddlestep.interface import (
    Action,
    Cancel,
    ClientGone,
    Effect,
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

from ..decisions.shutdown import ShutdownSchedule
from .commands import CancelAttempt, Command, LogLine, PersistOutcome, WatchNodes
from .jobs import Answer, AnswerStatus, Attempt, Job
from .recovery import OFF, Recovery, RecoveryConfig
from .stages import (
    Admit,
    Advise,
    HoldForIntent,
    JobTable,
    RecordOutcome,
    RegisterJob,
    Relay,
    Route,
    StartSending,
)

MIN_TICK_US = 1_000  # keeps settings with a smaller tick from waking the decision module without a pause
NODE_IN_LOG_TEXT = re.compile(r"server ([0-9a-f]{12}) ")  # how the decision module logs a node


class Recorder(Protocol):
    """Records each batch after the decision module has processed it. Must not raise or change its
    arguments."""

    def record_batch(
        self, now: int, request_ids: list[str], events: list[Event], actions: list[Action] | None
    ) -> None:
        """`request_ids`: the callers' ids of the batch's arrivals, in order. `actions` None: the decision
        module failed."""

    def record_fault(self, problem: Exception) -> None:
        """A new Balancer has replaced the one that was recorded."""


class BatchObserver(Protocol):
    """Observes each batch, to share load figures with other proxies. Must not raise or change its
    arguments."""

    def observe_batch(self, now: int, events: list[Event], actions: list[Action]) -> None: ...


class Dispatcher:
    """Runs the chain of stages. `max_jobs`: limit of open jobs. Times are microseconds that never go
    backwards."""

    def __init__(
        self, settings: Settings, seed: int, max_jobs: int, recovery_config: RecoveryConfig = OFF
    ) -> None:
        self.settings = settings
        self.max_jobs = max_jobs
        self.seed = seed
        self.balancer = Balancer(settings, seed)
        self.nodes: dict[int, Entry] = {}  # the node list as the decision module knows it
        self.unavailable_since: dict[int, int] = {}  # endpoint -> when it was reported as draining or removed
        self.pending_events: list[Event | Job] = []  # for the next batch
        self.commands: list[Command] = []
        self.timers: list[tuple[int, int]] = []  # heap of the decision module's timers, (due, token)
        self.timer_tokens: set[int] = set()  # tokens in `timers`
        self.recorder: Recorder | None = None
        self.batch_observer: BatchObserver | None = None
        self.peers_until = 0  # when the last news of other proxies expires; 0: there is none
        self.job_table = JobTable()
        self.recovery = Recovery(recovery_config, settings, seed)
        # The chain, in the order in which a job passes through it.
        self.register_job = RegisterJob(self.job_table, settings.max_attempts)
        self.admit = Admit(self.recovery)
        self.route = Route(self.job_table)
        self.hold_for_intent = HoldForIntent(self._emit)
        self.start_sending = StartSending(self._emit, self.job_table, self._runs_once)
        self.advise = Advise(self.recovery)
        self.relay = Relay(self.job_table, self.advise, self._emit)
        self.record_outcome = RecordOutcome(self.job_table)

    def _runs_once(self, job: Job) -> bool:
        return self.settings.classes[job.cls].effect is Effect.UNSAFE

    # ------------------------------------------------------------ commands out

    def _emit(self, command: Command) -> None:
        self.commands.append(command)

    def take_commands(self) -> list[Command]:
        """Returns the commands issued since the last call, in order."""
        commands, self.commands = self.commands, []
        return commands

    def due(self) -> int | None:
        """When `run_due_timers` should be called next, if nothing else happens first."""
        timer = self.timers[0][0] if self.timers else None
        # The next batch updates the recovery subsystem anyway. Reporting its due time as well while events
        # are pending would wake the driver in an endless loop.
        evaluation = None if self.pending_events else self.recovery.due()
        times = (self.job_table.next_deadline(), timer, evaluation, self.peers_until or None)
        return min((t for t in times if t is not None), default=None)

    # ------------------------------------------------------------ events in

    def submit(self, now: int, job: Job, known_answer: Answer | None = None) -> bool:
        """Accepts a complete request. Returns False if its request id is already in use. `known_answer`: its
        answer, if there is one already."""
        if not self.register_job(job):
            return False
        self.recovery.job_arrived(now, job)
        if known_answer:
            self._answer_job(job.number, known_answer, now)
        elif len(self.job_table.by_request_id) > self.max_jobs:
            # Over the configured limit: refused before it reaches the decision module.
            self._answer_job(job.number, Answer(AnswerStatus.REFUSED), now)
        else:
            self.pending_events.append(job)
        return True

    def caller_disconnected(self, now: int, job: Job) -> None:
        """The caller has disconnected; the job needs no answer any more."""
        if not job.answered:
            self.recovery.caller_left(now, job)
        self._abandon(job, None, now)

    def withdraw(self, now: int, job: Job) -> None:
        """No attempt of this job may begin any more, though its caller may still wait: it is answered now."""
        status = AnswerStatus.FAILED if job.may_have_run else AnswerStatus.REFUSED
        self._abandon(job, Answer(status), now)

    def attempt_ended(
        self, now: int, attempt: Attempt, status: Status, report: tuple[float, ...] = (), response: Any = None
    ) -> None:
        """The transport has finished an attempt. A served answer is delivered before the decision module
        processes the outcome."""
        if attempt.finished:
            return
        if attempt.job.intent_register and not attempt.awaiting_intent:
            self._emit(PersistOutcome(attempt, status, response))
        if status is Status.OK:
            self.relay(attempt.job, Answer(AnswerStatus.SERVED, response), now)
        self.pending_events.append(self.record_outcome(attempt, status, now, report))

    def intent_persisted(self, now: int, attempt: Attempt) -> bool:
        """The intent of a held attempt is durable. Returns whether the attempt is sent now; if not, it never
        will be."""
        if attempt.finished:
            return False
        if self.route.is_moot(attempt, now):
            self.attempt_ended(now, attempt, Status.MOOT)
            return False
        attempt.awaiting_intent = False
        self.start_sending(attempt)
        return True

    def intent_rejected(self, now: int, attempt: Attempt, answer: Answer) -> None:
        """A held attempt must not be sent: `answer` says what is known of its request, or that its intent
        could not be made durable."""
        if not attempt.finished:
            self._abandon(attempt.job, answer, now)
            self.attempt_ended(now, attempt, Status.MOOT)

    def _cancel(self, now: int, attempt: Attempt) -> None:
        if attempt.awaiting_intent:
            self.attempt_ended(now, attempt, Status.MOOT)  # the transport does not have it yet
        else:
            self._emit(CancelAttempt(attempt))

    def update_nodes(
        self, now: int, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()
    ) -> None:
        """An update of the node list; FAILED: the list could not be fetched."""
        if kind is not ListKind.FAILED:
            if kind is not ListKind.DELTA:
                entries += self._removed_entries(entries)
            for entry in entries:
                if entry.state is State.GONE:
                    self.nodes.pop(entry.endpoint, None)
                else:
                    self.nodes[entry.endpoint] = entry
                if entry.state is State.READY:
                    self.unavailable_since.pop(entry.endpoint, None)
                else:
                    self.unavailable_since.setdefault(entry.endpoint, now)
        self.pending_events.append(ListUpdate(kind, version, entries))

    def connection_opened(self, now: int) -> None:
        """A caller has opened a new connection."""
        self.recovery.connection_opened(now)

    def update_peers(self, now: int, peers: Peers, expires_at: int) -> None:
        """News from other proxies. It expires, so that old news has no effect when no more arrives."""
        self.pending_events.append(peers)
        self.recovery.set_proxy_count(peers.alive)
        self.peers_until = expires_at if peers.alive else 0

    def _removed_entries(self, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
        """Entries with state GONE for the nodes that are missing from this full list."""
        listed = {e.endpoint for e in entries}
        return tuple(
            Entry(n, State.GONE, e.since_us, e.weight, e.cell, e.kind, e.zone)
            for n, e in self.nodes.items()
            if n not in listed
        )

    def forget_removed_nodes(self, most: int) -> list[int]:
        """Forgets the removed nodes except for the last `most`, and returns them so that others can forget
        them too. Keeps the tables from growing with every id that a node has ever had."""
        removed = [n for n in self.unavailable_since if n not in self.nodes][:-most]
        for endpoint in removed:
            del self.unavailable_since[endpoint]
        return removed

    def apply_settings(
        self, settings: Settings, max_jobs: int, recovery_config: RecoveryConfig = OFF
    ) -> None:
        """Applies new settings to everything that arrives after this call."""
        self.settings = settings
        self.max_jobs = max_jobs
        self.register_job.max_attempts = settings.max_attempts
        self.recovery.apply_settings(recovery_config, settings)
        self.pending_events.append(NewSettings(settings))

    def stop(self, now: int) -> ShutdownSchedule:
        """The process has been asked to shut down. Open jobs must be answered by the end of the returned
        schedule; the front limits the deadlines of jobs that still arrive."""
        longest = max(kind.deadline_us for kind in self.settings.classes)
        schedule = ShutdownSchedule(now, longest, self.settings.siblings, self.balancer.service_us)
        self.recovery.shutdown = schedule
        self.job_table.cap_deadlines(schedule.answer_by)
        return schedule

    def run_due_timers(self, now: int) -> None:
        """Handles everything that is due by now: timers, expired news and deadlines."""
        while self.timers and self.timers[0][0] <= now:
            token = heappop(self.timers)[1]
            self.timer_tokens.discard(token)
            self.pending_events.append(TimerFired(token))
        if self.peers_until and self.peers_until <= now:
            self.update_peers(now, Peers(), 0)
        # The decision module answers earlier than this. If it fails to, the caller still gets an answer.
        for job in self.job_table.pop_overdue(now):
            self._abandon(job, Answer(AnswerStatus.DEADLINE_EXCEEDED), now)
        if not self.pending_events and (evaluation := self.recovery.due()) is not None and evaluation <= now:
            self._update_recovery(now)

    def _abandon(self, job: Job, answer: Answer | None, now: int) -> None:
        if self.relay(job, answer, now):
            self.pending_events.append(ClientGone(job.number))
            self.record_outcome.close(job)

    # ------------------------------------------------------------ the decision module

    def process_batch(self, now: int) -> None:
        """Passes all pending events to the decision module. Whatever it answers, and also if it fails, every
        open job still gets exactly one answer."""
        pending, self.pending_events = self.pending_events, []
        try:
            events = [self.admit(e, now) if isinstance(e, Job) else e for e in pending]
            actions = self._ask_balancer(now, pending, events)
            for action in actions:
                self._carry_out(action, now)
            if self.batch_observer:
                self.batch_observer.observe_batch(now, events, actions)
            self._update_recovery(now, events)
        except Exception as problem:
            self.reset_after_fault(now, problem)

    def _update_recovery(self, now: int, events: list[Event] | None = None) -> None:
        """Passes the outcomes to the recovery subsystem and collects its log lines."""
        for e in events or ():
            if isinstance(e, Outcome):
                self.recovery.outcome_recorded(now, e)
        self.commands += self.recovery.batch_processed(now, self.balancer.waiting, self.balancer.slots)

    def _ask_balancer(self, now: int, pending: list[Event | Job], events: list[Event]) -> list[Action]:
        if self.recorder is None:
            return self.balancer.handle(now, events)
        actions = None
        try:
            actions = self.balancer.handle(now, events)
            return actions
        finally:
            self.recorder.record_batch(
                now, [e.request_id for e in pending if isinstance(e, Job)], events, actions
            )

    def _carry_out(self, action: Action, now: int) -> None:
        if isinstance(action, Send):
            attempt = self.route(action, now)
            if attempt and self.route.is_moot(attempt, now):
                self.attempt_ended(now, attempt, Status.MOOT)
            elif attempt and not self.hold_for_intent(attempt):
                self.start_sending(attempt)
        elif isinstance(action, SetTimer):
            # The decision module works in ticks: a timer may fire up to one tick late, and there is then more
            # to do at once. The module sets a timer again for a token that it has forgotten; without this
            # check there would be as many timers for one distant moment as there were batches.
            tick = max(MIN_TICK_US, self.settings.tick_us)
            if action.token not in self.timer_tokens:
                self.timer_tokens.add(action.token)
                heappush(self.timers, (-(-(now + action.delay_us) // tick) * tick, action.token))
        elif isinstance(action, Refuse):
            self._answer_job(
                action.request, Answer(AnswerStatus.REFUSED, retry_after_us=action.retry_after_us), now
            )
        elif isinstance(action, Fail):
            self._answer_job(action.request, Answer(AnswerStatus.FAILED), now)
        elif isinstance(action, Cancel):
            job = self.job_table.jobs.get(action.request)
            if job and action.attempt < len(job.attempts) and not job.attempts[action.attempt].finished:
                self._cancel(now, job.attempts[action.attempt])
        elif isinstance(action, Watch):
            self._emit(WatchNodes(action.on))
        elif isinstance(action, Log):
            self._emit(_log_line(action.text))

    def _answer_job(self, number: int, answer: Answer, now: int) -> None:
        job = self.job_table.jobs.get(number)
        if job:
            self.relay(job, answer, now)
            self.record_outcome.close(job)

    def reset_after_fault(self, now: int, problem: Exception) -> None:
        """The decision module has failed and may have lost any job: answers all open jobs and starts a new
        Balancer from the node list. This keeps callers from waiting without an answer, but it fails every
        open job, so it is the last resort."""
        text = f"the decision module failed: {type(problem).__name__}: {problem}"
        self._emit(LogLine("fault", text, "error", error=problem))
        for job in list(self.job_table.jobs.values()):
            self.relay(job, Answer(AnswerStatus.FAILED), now)
            for attempt in job.attempts:
                if not attempt.finished:
                    self._cancel(now, attempt)
            self.record_outcome.close(job)
        self.pending_events.clear()
        self.timers.clear()
        self.timer_tokens.clear()
        self.balancer = Balancer(self.settings, self.seed + 1)
        self.pending_events.append(ListUpdate(ListKind.CACHED, 0, tuple(self.nodes.values())))
        if self.recorder:
            self.recorder.record_fault(problem)


def _log_line(text: str) -> LogLine:
    """Converts a log line of the decision module, which names a node by its number, so that the log can name
    the node itself."""
    found = NODE_IN_LOG_TEXT.match(text)
    level = "warning" if " ejected " in text else "info"
    return LogLine("module", text, level, int(found[1], 16) if found else 0)
