"""The idempotency ledger in the daemon: the intent of each attempt is recorded before it is sent, its outcome after it
has ended, both in the replicated registers. The ledger keeps the attempts that wait for their intent. No attempt is
sent before its intent is on a quorum, no caller waits longer than a fixed limit, and a request that may have been
executed is never sent again."""

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
from .replica import UNCERTAIN, UNCHANGED, WRITTEN, ChangeFunction, OperationResult

INTENT_TIMEOUT_US = 400_000  # to record an intent; afterwards the caller is asked to retry
OUTCOME_TIMEOUT_US = 3_000_000  # to record an outcome, and the delay before the next attempt to record it
OUTCOME_ATTEMPTS = 5  # to record an outcome, or that the attempt never ran
RETRY_AFTER_US = 1_000_000  # retry time given to callers while no quorum is reachable


ResultCallback = Callable[[OperationResult], None]


class Registers(Protocol):
    """The replicated registers."""

    def propose(
        self, key: bytes, change: ChangeFunction, expires_at_s: int, done: ResultCallback, limit_us: int = 0
    ) -> None: ...

    def has_quorum(self) -> bool: ...

    def local_value(self, key: bytes) -> bytes:
        """The value of the register in the local store, possibly outdated. Sends no messages."""


class AttemptOwner(Protocol):
    """The dispatcher, as the ledger sees it."""

    node_ids: dict[int, str]

    def intent_persisted(self, attempt: Attempt) -> bool: ...

    def intent_rejected(self, attempt: Attempt, answer: Answer) -> None: ...


class IdempotencyLedger:
    """`evidence`: what the end of an attempt proves about its execution (see `nodes.outcomes`). `names`: class and
    tenant of a job by name. `schedule` must be set before use."""

    def __init__(
        self, registers: Registers, attempt_owner: AttemptOwner, settings: LedgerConfig, evidence: Callable[[Any], str],
        names: Callable[[Job], tuple[str, str]], seed: int,
    ) -> None:  # fmt: skip
        self.registers, self.attempt_owner, self.settings, self.evidence, self.names = (
            registers,
            attempt_owner,
            settings,
            evidence,
            names,
        )
        self.rng = Random(seed ^ clock())
        # Attempts whose intent has been proposed or recorded.
        self.open_intents: dict[Attempt, IdempotencyRecord] = {}
        self.counts = dict.fromkeys(("claimed", "same", "ran", "doubt", "other", "refused", "unwritten"), 0)

    # ------------------------------------------------------------ before an attempt

    def recorded_answer(self, job: Job) -> Answer | None:
        """The answer of a repeated request if it is held locally: immediate, even under overload, since the record of
        an execution stays true however old it is. Otherwise, and without a reachable quorum, an immediate refusal,
        which concerns only requests with an idempotency key. None: the request can go on."""
        value = self.registers.local_value(job.intent_register)
        entry = decode_idempotency_record(value) if value else None
        if (
            entry
            and entry.is_same_request(self._mark(job), job.content_digest)
            and result_for_repeat(entry) is ClaimResult.REPLAYABLE
        ):
            self.counts["same"] += 1
            return self._answer(ClaimResult.REPLAYABLE, entry)
        return None if self.registers.has_quorum() else self._refusal()

    def record_intent(self, attempt: Attempt) -> None:
        """Proposes the intent of an attempt. The attempt owner is notified once it is recorded or rejected."""
        job = attempt.job
        if not job.claim_token:
            job.claim_token = self.rng.getrandbits(62) | 1
        node = self.attempt_owner.node_ids.get(attempt.endpoint, "")
        cls, tenant = self.names(job)
        now = clock()
        entry = intent_record(
            job.claim_token,
            self._mark(job),
            job.content_digest,
            job.request_id,
            cls,
            tenant,
            node,
            attempt.number,
            now // 1000,
        )
        claim = ClaimIntent(entry)
        self.open_intents[attempt] = entry
        limit_us = max(1, min(INTENT_TIMEOUT_US, attempt.deadline - now))
        self.registers.propose(
            job.intent_register,
            claim,
            self._expires_at_s(),
            partial(self._intent_finished, attempt, claim),
            limit_us,
        )

    def _intent_finished(self, attempt: Attempt, claim: ClaimIntent, result: OperationResult) -> None:
        if result.outcome == WRITTEN:
            self.counts["claimed"] += 1
            if not self.attempt_owner.intent_persisted(attempt):
                # The caller has gone or the deadline has passed: a retry may start anew.
                self._record_never_ran(attempt)
            return
        if result.outcome == UNCERTAIN:
            self._record_never_ran(attempt)
        else:
            self.open_intents.pop(attempt, None)
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
        return Answer(AnswerStatus.REFUSED, retry_after_us=RETRY_AFTER_US)

    @staticmethod
    def _answer(result: ClaimResult, entry: IdempotencyRecord) -> Answer:
        if result is ClaimResult.REPLAYABLE:
            return Answer(AnswerStatus.SERVED, NodeResponse(entry.body or b"", entry.kind))
        if result is ClaimResult.KEY_REUSED:
            return Answer(AnswerStatus.KEY_REUSED, "this order key stands for another order")
        node, when = entry.node or "a node", _iso_time(entry.at_ms)
        if result is ClaimResult.COMPLETED_WITHOUT_BODY:
            return Answer(
                AnswerStatus.OUTCOME_UNKNOWN, f"executed by {node}, answered {when}; the answer is not held"
            )
        return Answer(
            AnswerStatus.OUTCOME_UNKNOWN, f"sent to {node} at {when}, outcome unknown; nothing was sent now"
        )

    # ------------------------------------------------------------ after an attempt

    def record_outcome(self, attempt: Attempt, status: Any, response: Any) -> None:
        """Records the end of an attempt if it proves that the request was, or never was, executed."""
        entry = self.open_intents.pop(attempt, None)
        if entry is None:
            return
        proof, at = self.evidence(status), clock() // 1000
        if proof == "never":
            self._write_outcome(attempt.job.intent_register, never_ran_record(entry, at))
        elif proof == "ran":
            complete = isinstance(response, NodeResponse) and response.body_stream is None
            body = bytes(response.body) if complete else None
            self._write_outcome(
                attempt.job.intent_register,
                completed_record(entry, at, response.content_type if complete else "", body),
            )

    def _record_never_ran(self, attempt: Attempt) -> None:
        if entry := self.open_intents.pop(attempt, None):
            self._write_outcome(attempt.job.intent_register, never_ran_record(entry, clock() // 1000))

    def _write_outcome(self, key: bytes, entry: IdempotencyRecord, attempts: int = OUTCOME_ATTEMPTS) -> None:
        def done(result: OperationResult) -> None:
            if result.outcome in (WRITTEN, UNCHANGED):
                return
            if attempts > 1:
                self.schedule(OUTCOME_TIMEOUT_US, lambda: self._write_outcome(key, entry, attempts - 1))
            else:
                self.counts["unwritten"] += 1
                log_event("ledger", "the outcome of a request could not be recorded: repeats get `outcome unknown`",
                    "warning", request=entry.request)  # fmt: skip

        self.registers.propose(key, WriteOutcome(entry), self._expires_at_s(), done, OUTCOME_TIMEOUT_US)

    schedule: Callable[[int, Callable[[], None]], Any]  # calls a function after a delay in microseconds

    def _expires_at_s(self) -> int:
        return clock() // 1_000_000 + self.settings.keep_s

    @staticmethod
    def _mark(job: Job) -> int:
        return job.fingerprint >> 1


def _iso_time(ms: int) -> str:
    from datetime import UTC, datetime

    return datetime.fromtimestamp(ms / 1000, UTC).isoformat(timespec="milliseconds")
