"""The baseline `proxy.kind = "direct"`: a dispatcher that sends each job once, to a node drawn at random, with no
limit and no state about nodes. It has the interface of `slatehub.core.dispatcher.Dispatcher`. It stays this simple, as
the other kinds of proxy are compared with it."""

from __future__ import annotations

import random
from typing import Any

from paddlestep.interface import Entry, ListKind, Settings, State, Status
from slatehub.core.commands import CancelAttempt, Command, DeliverAnswer, StartAttempt, WatchNodes
from slatehub.core.jobs import Answer, AnswerStatus, Attempt, Job
from slatehub.core.recovery import RecoveryConfig
from slatehub.decisions.shutdown import MAX_DEADLINE_US, ShutdownSchedule

NO_LIMIT = 2**40
ANSWER_STATUSES = {
    Status.OK: AnswerStatus.SERVED,
    Status.FULL: AnswerStatus.REFUSED,
    Status.CONNECT_FAILED: AnswerStatus.REFUSED,
}


class DirectDispatcher:
    """Handles every event at once. It needs no batch, and a timer only to start watching the node list."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._nodes: dict[int, Entry] = {}
        self._ready: list[int] = []
        self._commands: list[Command] = []
        self._watch_at: int | None = None
        self.unavailable_since: dict[int, int] = {}
        self.pending_events: list[Any] = []

    def take_commands(self) -> list[Command]:
        commands, self._commands = self._commands, []
        return commands

    def due(self) -> int | None:
        return self._watch_at

    def run_due_timers(self, now: int) -> None:
        if self._watch_at is not None and self._watch_at <= now:
            self._watch_at = None
            self._commands.append(WatchNodes(True))

    def process_batch(self, now: int) -> None: ...

    def stop(self, now: int) -> ShutdownSchedule:
        return ShutdownSchedule(now, MAX_DEADLINE_US)

    def apply_settings(self, settings: Settings, most: int, terms: RecoveryConfig) -> None: ...

    def submit(self, now: int, job: Job) -> bool:
        if not self._ready:
            self._answer(job, Answer(AnswerStatus.REFUSED))
            return True
        attempt = Attempt(job, 0, self._rng.choice(self._ready), now, job.deadline)
        job.attempts.append(attempt)
        self._commands.append(StartAttempt(attempt))
        return True

    def caller_disconnected(self, now: int, job: Job) -> None:
        job.answered = True
        self._commands.extend(CancelAttempt(attempt) for attempt in job.attempts if not attempt.finished)

    def attempt_ended(
        self, now: int, attempt: Attempt, status: Status, report: tuple[float, ...], printed: Any
    ) -> None:
        attempt.finished = True
        attempt.exchange = None
        job = attempt.job
        if not job.answered:
            self._answer(job, Answer(ANSWER_STATUSES.get(status, AnswerStatus.FAILED), printed))
        job.attempts = []

    def _answer(self, job: Job, answer: Answer) -> None:
        job.answered = True
        self._commands.append(DeliverAnswer(job, answer))

    def update_nodes(
        self, now: int, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()
    ) -> None:
        """Starts a watch after the initial (cached) list, and again one second after a watch has failed."""
        if kind in (ListKind.FAILED, ListKind.CACHED):
            self._watch_at = now + 1_000_000 * (kind is ListKind.FAILED)
        if kind is not ListKind.FAILED:
            self._nodes = (self._nodes if kind is ListKind.DELTA else {}) | {e.endpoint: e for e in entries}
            self._ready = [n for n, e in self._nodes.items() if e.state is State.READY]
