"""Commands that the dispatcher issues. The driver of the dispatcher carries them out in the given order;
carrying one out must not block."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from paddlestep.interface import Status

from .jobs import Answer, Attempt, Job


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Delivers the one final answer of a job to its responder, immediately."""

    job: Job
    answer: Answer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Sends an attempt. Its end is reported to the dispatcher exactly once, by `attempt_ended`."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class PersistIntent:
    """Makes the intent of this attempt durable. The driver then calls `intent_persisted`, or
    `intent_rejected` with an answer that says what is known of the request."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class PersistOutcome:
    """Stores how an attempt ended whose intent was made durable."""

    attempt: Attempt
    status: Status
    response: Any = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt. Its end is still reported by `attempt_ended`."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class WatchNodes:
    """Starts or stops watching the list of nodes."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class LogLine:
    """A log line, with the node and the exception that it concerns, if any."""

    topic: str
    text: str
    level: str = "info"  # debug, info, warning or error
    endpoint: int = 0
    error: Exception | None = None


Command = DeliverAnswer | StartAttempt | PersistIntent | PersistOutcome | CancelAttempt | WatchNodes | LogLine
