"""What the desk wants done. Each is carried out by whoever drives it, in the order given, and none may block."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from paddlestep.interface import Status

from .jobs import Answer, Attempt, Job


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """The one final answer of a job, for the screen it came from: at once."""

    job: Job
    answer: Answer


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """An attempt goes out. Its end is told to the desk once, by `attempt_ended`."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class PersistIntent:
    """The intent of this attempt is to be made durable; then `intent_persisted`, or `intent_rejected` with what is
    known of it."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class PersistOutcome:
    """How an attempt ended whose intent was made durable."""

    attempt: Attempt
    status: Status
    response: Any = None


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """An attempt is given up. Its end is told all the same."""

    attempt: Attempt


@dataclass(frozen=True, slots=True)
class WatchNodes:
    """The list of nodes is to be watched from now on, or no longer."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log, with the node and the exception that it is about, where there are any."""

    topic: str
    text: str
    level: str = "info"  # debug, info, warning or error
    endpoint: int = 0
    error: Exception | None = None


Command = DeliverAnswer | StartAttempt | PersistIntent | PersistOutcome | CancelAttempt | WatchNodes | LogLine
