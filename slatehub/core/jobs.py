"""Data types of what passes through a proxy: requests, jobs, attempts and answers. They have no behaviour."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class AnswerStatus(Enum):
    """What the final answer of a job means."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DEADLINE_EXCEEDED = "overdue"  # failed because the deadline passed
    OUTCOME_UNKNOWN = "doubt"  # a retry of a request that may already have run: nothing was sent
    KEY_REUSED = "misused"  # its idempotency key was used for a different request


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """A request as it is sent to a node, independent of the protocols on either side."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | memoryview = b""


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """A node's 200 response: whole, or the part received so far with a stream for the rest."""

    body: bytes
    content_type: str
    body_stream: BodyStream | None = None
    length: int | None = None  # of the whole body, if the node has stated it


class BodyStream(Protocol):
    """The rest of a response body that is forwarded while it arrives."""

    def read_chunk(self) -> bytes | None:
        """Returns the next chunk, b"" at the end, or None if the stream broke off. May block for as long as
        the node is given to answer."""

    def close(self) -> None:
        """Releases the stream, whether or not it was read to the end. Must always be called."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a job. `response` comes from a node and is forwarded without being parsed; with
    OUTCOME_UNKNOWN it is the text that says what is known."""

    status: AnswerStatus
    response: Any = None
    retry_after_us: int = 0


class Responder(Protocol):
    """The receiver of a job's final answer."""

    def answer(self, job: Job, answer: Answer) -> None: ...

    def may_begin(self, job: Job) -> bool:
        """Whether an attempt of this job may begin now. False if the caller has gone, or could have gone unnoticed;
        the job has then been ended. May let others run before it returns."""


class Job:
    """A request, from its last byte until its final answer and the end of its last attempt."""

    __slots__ = (
        "tenant", "answered", "attempts", "cls", "deadline", "came_early", "came_on_time", "fingerprint",
        "max_attempts", "request_id", "number", "request", "intent_register", "is_retry", "responder",
        "claim_token", "content_digest", "may_have_run",
    )  # fmt: skip

    def __init__(
        self, request_id: str, cls: int, tenant: int, deadline: int, request: Any, responder: Responder,
        is_retry: bool = False, fingerprint: int = 0,
    ) -> None:  # fmt: skip
        self.request_id = request_id
        self.cls = cls
        self.tenant = tenant
        self.deadline = deadline
        # In the form that the front and the node client use; the core does not read it.
        self.request = request
        self.responder = responder
        self.is_retry = is_retry  # marked as a retry by the caller
        self.fingerprint = fingerprint  # the same for all tries of a request; rarely the same for others
        # Key of the register that must hold the intent before the job is sent; b"": none is needed.
        self.intent_register = b""
        self.claim_token = 0  # by which that register identifies this job
        self.content_digest = b""  # of all that makes the request what it is; b"" without an intent register
        self.came_on_time = False  # arrived at the time its caller was advised
        self.came_early = False  # arrived before that time
        self.number = 0
        self.max_attempts = 1  # attempts that the settings allow for it
        self.attempts: list[Attempt] = []
        self.answered = False
        self.may_have_run = False  # an attempt has ended without proof that the request has not run

    @property
    def has_attempt_under_way(self) -> bool:
        """Whether an attempt has been started that has not ended yet."""
        return any(not attempt.finished for attempt in self.attempts)


class Attempt:
    """One attempt to send a job: its number within the job, its node and its deadline."""

    __slots__ = (
        "deadline",
        "endpoint",
        "exchange",
        "awaiting_intent",
        "job",
        "number",
        "finished",
        "sent_at",
    )

    def __init__(self, job: Job, number: int, endpoint: int, sent_at: int, deadline: int) -> None:
        self.job = job
        self.number = number
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.deadline = deadline
        self.finished = False
        self.awaiting_intent = False  # waits until its intent is durable: nothing of it has been sent
        self.exchange: Any = None  # private state of the transport
