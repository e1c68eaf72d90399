"""The stages that a job passes through, and the job table they share. They are chained in
`Dispatcher.__init__`. A stage must not read a clock or do I/O: it emits commands instead."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from heapq import heapify, heappop, heappush

from paddlestep.interface import Arrival, Outcome, Send, Status

from .commands import Command, DeliverAnswer, PersistIntent, StartAttempt
from .jobs import Answer, AnswerStatus, Attempt, Job
from .recent_requests import RecentRequests
from .recovery import Recovery

Emit = Callable[[Command], None]


class JobTable:
    """The open jobs, by the number that the decision module uses and by the caller's request id."""

    def __init__(self) -> None:
        self.jobs: dict[int, Job] = {}
        self.by_request_id: dict[str, Job] = {}
        self.recent = RecentRequests()
        self.last_number = 0
        # Heap of (deadline, number). Answered jobs are removed when they reach the top.
        self.deadlines: list[tuple[int, int]] = []

    def add(self, job: Job) -> None:
        """Numbers the job and adds it."""
        self.last_number += 1
        job.number = self.last_number
        self.jobs[job.number] = self.by_request_id[job.request_id] = job
        heappush(self.deadlines, (job.deadline, job.number))
        # Keeps the deadlines of answered jobs, which may be hours ahead, from piling up.
        if len(self.deadlines) > 4 * len(self.by_request_id) + 64:
            self.deadlines = [entry for entry in self.deadlines if self._awaits_answer(entry[1])]
            heapify(self.deadlines)

    def cap_deadlines(self, latest: int) -> None:
        """Brings the deadline of every open job forward to `latest`, where it is later."""
        for job in self.jobs.values():
            job.deadline = min(job.deadline, latest)
        self.deadlines = [(job.deadline, number) for number, job in self.jobs.items() if not job.answered]
        heapify(self.deadlines)

    def _awaits_answer(self, number: int) -> bool:
        job = self.jobs.get(number)
        return job is not None and not job.answered

    def next_deadline(self) -> int | None:
        """The earliest deadline of an open job that has no answer yet."""
        while self.deadlines and not self._awaits_answer(self.deadlines[0][1]):
            heappop(self.deadlines)
        return self.deadlines[0][0] if self.deadlines else None

    def pop_overdue(self, now: int) -> list[Job]:
        """The unanswered jobs whose deadline has passed; each is returned once."""
        expired = []
        while (entry := self.next_deadline()) is not None and entry <= now:
            expired.append(self.jobs[heappop(self.deadlines)[1]])
        return expired


class RegisterJob:
    """First stage: adds a job to the table. Returns False if its request id is already in use: the nodes
    could not tell two jobs with one id apart. The same holds for one that must not run twice and may have
    run, whether or not its caller has waited for the answer."""

    def __init__(self, job_table: JobTable, max_attempts: int) -> None:
        self.job_table = job_table
        # For jobs that arrive from now on: a job keeps its number when the settings change later.
        self.max_attempts = max_attempts

    def __call__(self, job: Job) -> bool:
        if job.request_id in self.job_table.by_request_id or job.request_id in self.job_table.recent:
            return False
        job.max_attempts = self.max_attempts
        self.job_table.add(job)
        return True


class Admit:
    """Second stage: converts the job to the decision module's form, with the time left when the batch is
    processed, and the slots it must leave free for callers who were advised to come now."""

    def __init__(self, recovery: Recovery) -> None:
        self.recovery = recovery

    def __call__(self, job: Job, now: int) -> Arrival:
        left_us = max(0, job.deadline - now)
        reserve = self.recovery.reserved_slots(now, job)
        return Arrival(
            job.number,
            job.cls,
            job.tenant,
            left_us=left_us,
            repeat=job.is_retry,
            kept=job.came_on_time,
            reserve=reserve,
        )


class Route:
    """Third stage: turns a Send of the decision module into an attempt with a deadline. Returns None for an
    unknown job."""

    def __init__(self, job_table: JobTable) -> None:
        self.job_table = job_table

    def __call__(self, action: Send, now: int) -> Attempt | None:
        job = self.job_table.jobs.get(action.request)
        if job is None:
            return None
        deadline = min(job.deadline, now + action.timeout_us) if action.timeout_us > 0 else job.deadline
        attempt = Attempt(job, len(job.attempts), action.endpoint, now, deadline)
        job.attempts.append(attempt)
        return attempt

    def is_moot(self, attempt: Attempt, now: int) -> bool:
        """Whether it must not be sent: the job is answered, past its deadline or out of attempts."""
        return attempt.job.answered or attempt.deadline <= now or attempt.number >= attempt.job.max_attempts


class HoldForIntent:
    """Between the third and the fourth stage: holds an attempt that must not run twice until its intent is
    durable. Nothing of it is sent before. Returns False if it need not wait."""

    def __init__(self, emit: Emit) -> None:
        self.emit = emit

    def __call__(self, attempt: Attempt) -> bool:
        if not attempt.job.intent_register:
            return False
        attempt.awaiting_intent = True
        self.emit(PersistIntent(attempt))
        return True


class StartSending:
    """Fourth stage: hands the attempt to the transport, which reports its end on its own. The id of a request
    that must not run twice (`runs_once`) is remembered from here on."""

    def __init__(self, emit: Emit, job_table: JobTable, runs_once: Callable[[Job], bool]) -> None:
        self.emit = emit
        self.job_table = job_table
        self.runs_once = runs_once

    def __call__(self, attempt: Attempt) -> None:
        if self.runs_once(attempt.job):
            self.job_table.recent.add(attempt.job.request_id)
        self.emit(StartAttempt(attempt))


class Advise:
    """Part of the fifth stage: adds to a refusal when to retry, if the settings allow it. It never delays an
    answer."""

    def __init__(self, recovery: Recovery) -> None:
        self.recovery = recovery

    def __call__(self, job: Job, answer: Answer, now: int) -> Answer:
        self.recovery.job_answered(now, job, answer.status)
        if answer.status is not AnswerStatus.REFUSED:
            return answer
        wait = self.recovery.advise(now, job, answer)
        return answer if wait == answer.retry_after_us else replace(answer, retry_after_us=wait)


class Relay:
    """Fifth stage: delivers the one final answer to the job's responder, at once. All answers pass through
    here, and only the first of each job is delivered."""

    def __init__(self, job_table: JobTable, advise: Advise, emit: Emit) -> None:
        self.job_table = job_table
        self.advise = advise
        self.emit = emit

    def __call__(self, job: Job, answer: Answer | None, now: int) -> bool:
        if job.answered:
            return False
        job.answered = True
        self.job_table.by_request_id.pop(job.request_id, None)
        if answer:  # None: the caller has disconnected
            self.emit(DeliverAnswer(job, self.advise(job, answer, now)))
        return True


class RecordOutcome:
    """Last stage: converts the end of an attempt to the decision module's Outcome, once per attempt, and
    removes a job from the table with its last attempt."""

    def __init__(self, job_table: JobTable) -> None:
        self.job_table = job_table

    def __call__(self, attempt: Attempt, status: Status, now: int, report: tuple[float, ...]) -> Outcome:
        attempt.finished = True
        attempt.exchange = None
        job = attempt.job
        job.may_have_run = job.may_have_run or not status.never_ran
        self.close(job)
        elapsed_us = max(0, now - attempt.sent_at)
        return Outcome(job.number, attempt.number, attempt.endpoint, status, elapsed_us, job.answered, report)

    def close(self, job: Job) -> None:
        """Removes an answered job from the table once all its attempts have ended."""
        if job.answered and not job.has_attempt_under_way:
            self.job_table.jobs.pop(job.number, None)
            if not job.may_have_run:
                self.job_table.recent.discard(job.request_id)
            # Each attempt refers to the job: the cycle would keep its body until the garbage collector runs.
            job.attempts = []
