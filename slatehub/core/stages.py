"""The stages that a job passes, each a unit of its own, and the ledger they share. Their chain stands in
`Dispatcher.__init__`. No stage may look at a clock or do anything to the outside: what it wants goes out as acts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heapify, heappop, heappush

from paddlestep.interface import Arrival, Outcome, Send, Status

from .commands import Command, DeliverAnswer, PersistIntent, StartAttempt
from .jobs import Answer, AnswerStatus, Attempt, Job
from .recovery import Recovery

Emit = Callable[[Command], None]


class JobTable:
    """What the stages share: the jobs in hand, by the number the module knows and by the caller's name."""

    def __init__(self) -> None:
        self.jobs: dict[int, Job] = {}
        self.by_request_id: dict[str, Job] = {}
        self.last_number = 0
        self.deadlines: list[
            tuple[int, int]
        ] = []  # (deadline, number): a heap; who is answered leaves it when met

    def add(self, job: Job) -> None:
        self.last_number += 1
        job.number = self.last_number
        self.jobs[job.number] = self.by_request_id[job.request_id] = job
        heappush(self.deadlines, (job.deadline, job.number))
        if (
            len(self.deadlines) > 4 * len(self.by_request_id) + 64
        ):  # guards against deadlines of hours that outlive their jobs
            self.deadlines = [end for end in self.deadlines if self._open(end[1])]
            heapify(self.deadlines)

    def hurry(self, by: int) -> None:
        """Nobody in hand has longer than this."""
        for job in self.jobs.values():
            job.deadline = min(job.deadline, by)
        self.deadlines = [(job.deadline, number) for number, job in self.jobs.items() if not job.answered]
        heapify(self.deadlines)

    def _open(self, number: int) -> bool:
        job = self.jobs.get(number)
        return job is not None and not job.answered

    def next_deadline(self) -> int | None:
        """When the first job in hand that has no answer yet runs out of time."""
        while self.deadlines and not self._open(self.deadlines[0][1]):
            heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None

    def overdue(self, now: int) -> list[Job]:
        """The jobs without an answer whose time is up; each is named once."""
        late = []
        while (end := self.next_deadline()) is not None and end <= now:
            late.append(self.jobs[heappop(self.deadlines)[1]])
        return late


class TakeIn:
    """First stage: a job enters the ledger. False where its name is still in hand: two jobs under one name could
    not be told apart by the machines."""

    def __init__(self, ledger: JobTable, most: int) -> None:
        self.job_table = ledger
        self.most = (
            most  # attempts, of a job that comes in now: it keeps that number whatever the settings say later
        )

    def __call__(self, job: Job) -> bool:
        if job.request_id in self.job_table.by_request_id:
            return False
        job.most = self.most
        self.job_table.add(job)
        return True


class Admit:
    """Second stage: the job as the module sees it, with the time left at the moment of the batch, and what it has to
    leave to those who were told to come now."""

    def __init__(self, recovery: Recovery) -> None:
        self.recovery = recovery

    def __call__(self, job: Job, now: int) -> Arrival:
        left = max(0, job.deadline - now)
        reserve = self.recovery.reserve(now, job)
        return Arrival(
            job.number,
            job.cls,
            job.tenant,
            left_us=left,
            repeat=job.is_retry,
            kept=job.came_on_time,
            reserve=reserve,
        )


class Route:
    """Third stage: the module's Send becomes an attempt with its limit of time; None for a job it does not hold."""

    def __init__(self, ledger: JobTable) -> None:
        self.job_table = ledger

    def __call__(self, action: Send, now: int) -> Attempt | None:
        job = self.job_table.jobs.get(action.request)
        if job is None:
            return None
        limit = min(job.deadline, now + action.timeout_us) if action.timeout_us > 0 else job.deadline
        attempt = Attempt(job, len(job.attempts), action.endpoint, now, limit)
        job.attempts.append(attempt)
        return attempt

    def moot(self, attempt: Attempt, now: int) -> bool:
        """Whether it must not go out: the job is over, out of time, or out of attempts."""
        return attempt.job.answered or attempt.deadline <= now or attempt.number >= attempt.job.most


class Vouch:
    """Between the third and the fourth stage: an attempt that must not run twice waits until its intent is durable.
    Nothing of it goes out before. False where it need not wait."""

    def __init__(self, emit: Emit) -> None:
        self.emit = emit

    def __call__(self, attempt: Attempt) -> bool:
        if not attempt.job.intent_register:
            return False
        attempt.held = True
        self.emit(PersistIntent(attempt))
        return True


class SendOut:
    """Fourth stage: the attempt goes to the floor, which reports its end on its own."""

    def __init__(self, emit: Emit) -> None:
        self.emit = emit

    def __call__(self, attempt: Attempt) -> None:
        self.emit(StartAttempt(attempt))


class Advise:
    """Beside the fifth stage: a refusal says when to come back, where the settings allow it. No answer is held back."""

    def __init__(self, recovery: Recovery) -> None:
        self.recovery = recovery

    def __call__(self, job: Job, answer: Answer, now: int) -> Answer:
        self.recovery.answered(now, job, answer.status)
        if answer.status is not AnswerStatus.REFUSED:
            return answer
        wait = self.recovery.advise(now, job, answer)
        return answer if wait == answer.retry_after_us else replace(answer, retry_after_us=wait)


class Relay:
    """Fifth stage: the one final answer goes to where the job came from, at once. All answers pass here, and
    only the first of a job gets through."""

    def __init__(self, ledger: JobTable, advise: Advise, emit: Emit) -> None:
        self.job_table = ledger
        self.advise = advise
        self.emit = emit

    def __call__(self, job: Job, answer: Answer | None, now: int) -> bool:
        if job.answered:
            return False
        job.answered = True
        self.job_table.by_request_id.pop(job.request_id, None)
        if answer:  # None: the caller has gone
            self.emit(DeliverAnswer(job, self.advise(job, answer, now)))
        return True


class Book:
    """Last stage: the outcome as the module gets it, once an attempt; a job leaves the ledger with its last."""

    def __init__(self, ledger: JobTable) -> None:
        self.job_table = ledger

    def __call__(self, attempt: Attempt, status: Status, now: int, report: tuple[float, ...]) -> Outcome:
        attempt.finished = True
        attempt.exchange = None
        job = attempt.job
        self.close(job)
        lag = max(0, now - attempt.sent_at)
        return Outcome(job.number, attempt.number, attempt.endpoint, status, lag, job.answered, report)

    def close(self, job: Job) -> None:
        if job.answered and all(a.finished for a in job.attempts):
            self.job_table.jobs.pop(job.number, None)
            job.attempts = []  # each holds the job: a ring in which its body would wait for the collector
