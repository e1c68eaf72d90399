"""What passes through a proxy: orders, jobs, attempts and answers. This file owns their form. Nothing in it acts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol


class AnswerStatus(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DEADLINE_EXCEEDED = "overdue"  # failed, for lack of time
    OUTCOME_UNKNOWN = "doubt"  # a repeat of an order that may have run: nothing was sent
    KEY_REUSED = "misused"  # its order key stands for another order


@dataclass(frozen=True, slots=True)
class NodeRequest:
    """A request as it goes on to a machine, whatever protocol brought it and takes it on."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray = b""


@dataclass(frozen=True, slots=True)
class NodeResponse:
    """A machine's 200 answer: whole, or as far as it has come, with where the rest is to be had."""

    body: bytes
    content_type: str
    body_stream: BodyStream | None = None
    length: int | None = None  # of all of it, where the machine has said


class BodyStream(Protocol):
    """What is still to come of an answer that is passed on as it comes."""

    def read_chunk(self) -> bytes | None:
        """The next piece, b"" at the end; None: it has broken off. May wait, for as long as the machine gives."""

    def close(self) -> None:
        """Nobody takes any more of it. Must be called in any case."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a job. What is printed comes from a machine and is passed on unread; of a doubt it is the
    text that says what is known."""

    status: AnswerStatus
    response: Any = None
    retry_after_us: int = 0


class Responder(Protocol):
    """Where a job came from."""

    def answer(self, job: Job, answer: Answer) -> None: ...


class Job:
    """A request, from its last byte until its final answer and the end of its last attempt."""

    __slots__ = (
        "tenant", "answered", "attempts", "cls", "deadline", "early", "came_on_time", "fingerprint", "most",
        "request_id", "number", "request", "intent_register", "is_retry", "responder", "claim_token",
    )  # fmt: skip

    def __init__(
        self, name: str, cls: int, account: int, deadline: int, order: Any, screen: Responder, repeat: bool = False,
        key: int = 0,
    ) -> None:  # fmt: skip
        self.request_id = name
        self.cls = cls
        self.tenant = account
        self.deadline = deadline
        self.request = order  # what the front and the machines say of it; nothing in the core reads it
        self.responder = screen
        self.is_retry = repeat  # marked by the caller as a further try
        self.fingerprint = key  # alike for all tries of an order
        self.intent_register = b""  # the register that must hold its intent before it is sent; b"": none need
        self.claim_token = 0  # by which that register knows this job
        self.came_on_time = False  # has come when it was told to
        self.early = False  # has come before that
        self.number = 0
        self.most = 1  # attempts that its settings allow
        self.attempts: list[Attempt] = []
        self.answered = False


class Attempt:
    """One Send: its place among the job's attempts, where it goes and until when."""

    __slots__ = ("deadline", "endpoint", "exchange", "held", "job", "number", "finished", "sent_at")

    def __init__(self, job: Job, number: int, endpoint: int, sent: int, deadline: int) -> None:
        self.job = job
        self.number = number
        self.endpoint = endpoint
        self.sent_at = sent
        self.deadline = deadline
        self.finished = False
        self.held = False  # waits until its intent is durable: nothing of it has gone out
        self.exchange: Any = None  # the floor's own
