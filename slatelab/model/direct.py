"""The yardstick `proxy.kind = "direct"`: a desk that sends each job to a node drawn at random, once, with no
limit and no memory. It has the surface of `slatehub.core.desk.SalesDesk`, and must never be any wiser than
this."""

from __future__ import annotations

import random
from typing import Any

from paddlestep.interface import Entry, ListKind, Settings, State, Status
from slatehub.core.actions import Act, Deliver, Start, WatchList, Withdraw
from slatehub.core.jobs import Answer, Attempt, Job, Verdict
from slatehub.core.recovery import RecoveryTerms
from slatehub.decisions.stop import MOST_US, PlannedStop

NO_LIMIT = 2**40
VERDICTS = {Status.OK: Verdict.SERVED, Status.FULL: Verdict.REFUSED, Status.CONNECT_FAILED: Verdict.REFUSED}


class DirectDesk:
    """Everything is done at once; it asks for no turn and no alarm but to begin its watch of the list."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._nodes: dict[int, Entry] = {}
        self._ready: list[int] = []
        self._acts: list[Act] = []
        self._watch_at: int | None = None
        self.left: dict[int, int] = {}
        self.waiting: list[Any] = []

    def take_acts(self) -> list[Act]:
        acts, self._acts = self._acts, []
        return acts

    def due(self) -> int | None:
        return self._watch_at

    def ring(self, now: int) -> None:
        if self._watch_at is not None and self._watch_at <= now:
            self._watch_at = None
            self._acts.append(WatchList(True))

    def turn(self, now: int) -> None: ...

    def stop(self, now: int) -> PlannedStop:
        return PlannedStop(now, MOST_US)

    def resettle(self, settings: Settings, most: int, terms: RecoveryTerms) -> None: ...

    def order(self, now: int, job: Job) -> bool:
        if not self._ready:
            self._answer(job, Answer(Verdict.REFUSED))
            return True
        attempt = Attempt(job, 0, self._rng.choice(self._ready), now, job.deadline)
        job.attempts.append(attempt)
        self._acts.append(Start(attempt))
        return True

    def gone(self, now: int, job: Job) -> None:
        job.answered = True
        self._acts.extend(Withdraw(attempt) for attempt in job.attempts if not attempt.over)

    def ended(
        self, now: int, attempt: Attempt, status: Status, report: tuple[float, ...], printed: Any
    ) -> None:
        attempt.over = True
        attempt.errand = None
        job = attempt.job
        if not job.answered:
            self._answer(job, Answer(VERDICTS.get(status, Verdict.FAILED), printed))
        job.attempts = []

    def _answer(self, job: Job, answer: Answer) -> None:
        job.answered = True
        self._acts.append(Deliver(job, answer))

    def listed(self, now: int, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        """Asks for a watch on hearing the list that it starts with, and again a second after one has
        failed."""
        if kind in (ListKind.FAILED, ListKind.CACHED):
            self._watch_at = now + 1_000_000 * (kind is ListKind.FAILED)
        if kind is not ListKind.FAILED:
            self._nodes = (self._nodes if kind is ListKind.DELTA else {}) | {e.endpoint: e for e in entries}
            self._ready = [n for n, e in self._nodes.items() if e.state is State.READY]
