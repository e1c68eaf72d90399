"""The ledger of orders in the daemon: intents before an attempt goes out, outcomes after it, both as registers of the
group. It owns which attempts wait for the group. It must never let one go out whose intent is not on a majority, never
make a caller wait beyond a bound, and never send what may have run."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Protocol

from ..core.jobs import Answer, AnswerStatus, Attempt, Job, NodeResponse
from ..decisions.idempotency import (
    ClaimIntent,
    ClaimResult,
    IdempotencyRecord,
    WriteOutcome,
    completed_record,
    decode_idempotency_record,
    intent_record,
    never_ran_record,
    result_for_repeat,
)
from ..drivers.clock import clock
from ..observe.log import log_event
from ..settings.operator import LedgerConfig
from .replica import UNCERTAIN, UNCHANGED, WRITTEN, Change, OperationResult

CLAIM_US = 400_000  # for an intent: then its caller is told to come again
OUTCOME_US = 3_000_000
TRIES = 5  # to write down how an attempt ended, or that it never ran
BACK_US = 1_000_000  # when to come back while no majority is there


Tell = Callable[[OperationResult], None]


class Registers(Protocol):
    """The registers."""

    def propose(self, key: bytes, change: Change, until: int, done: Tell, limit: int = 0) -> None: ...

    def has_quorum(self) -> bool: ...

    def local_value(self, key: bytes) -> bytes:
        """What is known of this register here, without asking: it may be old."""


class AttemptOwner(Protocol):
    node_ids: dict[int, str]

    def intent_persisted(self, attempt: Attempt) -> bool: ...

    def intent_rejected(self, attempt: Attempt, answer: Answer) -> None: ...


class IdempotencyLedger:
    """`proof`: what the end of an attempt proves, as `nodes.outcomes` says; `names`: of classes, by their numbers."""

    def __init__(
        self, group: Registers, desk: AttemptOwner, terms: LedgerConfig, proof: Callable[[Any], str],
        names: Callable[[Job], tuple[str, str]], seed: int,
    ) -> None:  # fmt: skip
        self.registers, self.attempt_owner, self.settings, self.proof, self.names = (
            group,
            desk,
            terms,
            proof,
            names,
        )
        self.rng = Random(seed ^ clock())
        self.open: dict[Attempt, IdempotencyRecord] = {}  # whose intent has been asked for
        self.counts = dict.fromkeys(("claimed", "same", "ran", "doubt", "other", "refused", "unwritten"), 0)

    # ------------------------------------------------------------ before it is sent

    def recorded_answer(self, job: Job) -> Answer | None:
        """A repeat whose answer is held here is answered at once, under whatever load; what a node has done is a fact,
        however old the news. Without a majority such an order is refused at once, and only such ones."""
        value = self.registers.local_value(job.intent_register)
        entry = decode_idempotency_record(value) if value else None
        if entry and entry.mark == self._mark(job) and result_for_repeat(entry) is ClaimResult.REPLAYABLE:
            self.counts["same"] += 1
            return self._answer(ClaimResult.REPLAYABLE, entry)
        return None if self.registers.has_quorum() else self._refusal()

    def record_intent(self, attempt: Attempt) -> None:
        job = attempt.job
        if not job.claim_token:
            job.claim_token = self.rng.getrandbits(62) | 1
        node = self.attempt_owner.node_ids.get(attempt.endpoint, "")
        cls, tenant = self.names(job)
        now = clock()
        entry = intent_record(
            job.claim_token, self._mark(job), job.request_id, cls, tenant, node, attempt.number, now // 1000
        )
        claim = ClaimIntent(entry)
        self.open[attempt] = entry
        left = max(1, min(CLAIM_US, attempt.deadline - now))
        self.registers.propose(
            job.intent_register, claim, self._until(), partial(self._claimed, attempt, claim), left
        )

    def _claimed(self, attempt: Attempt, claim: ClaimIntent, result: OperationResult) -> None:
        if result.outcome == WRITTEN:
            self.counts["claimed"] += 1
            if not self.attempt_owner.intent_persisted(attempt):
                self._never(attempt)  # its caller has gone, or its time: another try may go on as new
            return
        if result.outcome == UNCERTAIN:
            self._never(attempt)
        else:
            self.open.pop(attempt, None)
        if result.outcome == UNCHANGED and claim.existing:
            self.counts[claim.result.value if claim.result.value in self.counts else "doubt"] += 1
            self.attempt_owner.intent_rejected(attempt, self._answer(claim.result, claim.existing))
        elif result.outcome == UNCHANGED:
            self.attempt_owner.intent_rejected(
                attempt,
                Answer(AnswerStatus.OUTCOME_UNKNOWN, "this order was written down by a later version"),
            )
        else:
            self.attempt_owner.intent_rejected(attempt, self._refusal())

    def _refusal(self) -> Answer:
        self.counts["refused"] += 1
        return Answer(AnswerStatus.REFUSED, retry_after_us=BACK_US)

    @staticmethod
    def _answer(finding: ClaimResult, entry: IdempotencyRecord) -> Answer:
        if finding is ClaimResult.REPLAYABLE:
            return Answer(AnswerStatus.SERVED, NodeResponse(entry.body or b"", entry.kind))
        if finding is ClaimResult.KEY_REUSED:
            return Answer(AnswerStatus.KEY_REUSED, "this order key stands for another order")
        node, when = entry.node or "a node", _moment(entry.at_ms)
        if finding is ClaimResult.COMPLETED_WITHOUT_BODY:
            return Answer(
                AnswerStatus.OUTCOME_UNKNOWN, f"executed by {node}, answered {when}; the answer is not held"
            )
        return Answer(
            AnswerStatus.OUTCOME_UNKNOWN, f"sent to {node} at {when}, outcome unknown; nothing was sent now"
        )

    # ------------------------------------------------------------ after it has ended

    def record_outcome(self, attempt: Attempt, status: Any, printed: Any) -> None:
        entry = self.open.pop(attempt, None)
        if entry is None:
            return
        proof, at = self.proof(status), clock() // 1000
        if proof == "never":
            self._write(attempt.job.intent_register, never_ran_record(entry, at))
        elif proof == "ran":
            whole = isinstance(printed, NodeResponse) and printed.body_stream is None
            body = bytes(printed.body) if whole else None
            self._write(
                attempt.job.intent_register,
                completed_record(entry, at, printed.content_type if whole else "", body),
            )

    def _never(self, attempt: Attempt) -> None:
        if entry := self.open.pop(attempt, None):
            self._write(attempt.job.intent_register, never_ran_record(entry, clock() // 1000))

    def _write(self, key: bytes, entry: IdempotencyRecord, tries: int = TRIES) -> None:
        def again(result: OperationResult) -> None:
            if result.outcome in (WRITTEN, UNCHANGED):
                return
            if tries > 1:
                self.schedule(OUTCOME_US, lambda: self._write(key, entry, tries - 1))
            else:
                self.counts["unwritten"] += 1
                log_event("ledger", "how an order ended could not be written down: its repeats are told so", "warning",
                    request=entry.request)  # fmt: skip

        self.registers.propose(key, WriteOutcome(entry), self._until(), again, OUTCOME_US)

    schedule: Callable[[int, Callable[[], None]], Any]  # after so many microseconds

    def _until(self) -> int:
        return clock() // 1_000_000 + self.settings.keep_s

    @staticmethod
    def _mark(job: Job) -> int:
        return job.fingerprint >> 1


def _moment(ms: int) -> str:
    from datetime import UTC, datetime

    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds")
