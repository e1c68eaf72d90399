"""How a final answer is worded in HTTP, whatever version carries it. Pure. It must never decide what is answered."""

from __future__ import annotations

from ..core.jobs import Answer, AnswerStatus

# A refusal is 503, never 429: both mean the same on this platform.
STATUS_CODES = {
    AnswerStatus.SERVED: 200, AnswerStatus.REFUSED: 503, AnswerStatus.FAILED: 500,
    AnswerStatus.DEADLINE_EXCEEDED: 504, AnswerStatus.OUTCOME_UNKNOWN: 409, AnswerStatus.KEY_REUSED: 422,
}  # fmt: skip
TEXT = {
    AnswerStatus.REFUSED: b"refused\n",
    AnswerStatus.FAILED: b"failed\n",
    AnswerStatus.DEADLINE_EXCEEDED: b"out of time\n",
}


def error_body(answer: Answer) -> bytes:
    """What stands in the body of an answer that no node gave."""
    return TEXT.get(answer.status) or f"{answer.response}\n".encode()


def retry_after_value(answer: Answer) -> str:
    """The value of Retry-After in seconds with three decimals; "" where nothing is said."""
    wait = answer.retry_after_us
    return f"{wait / 1e6:.3f}" if answer.status is AnswerStatus.REFUSED and wait > 0 else ""
