"""Maps final answers to HTTP status, body and headers, independent of the HTTP version. Pure functions."""

from __future__ import annotations

from ..core.jobs import Answer, AnswerStatus

# A refusal is always 503; on this platform 429 would mean the same.
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
    """The body of an answer that does not come from a node."""
    return TEXT.get(answer.status) or f"{answer.response}\n".encode()


def retry_after_value(answer: Answer) -> str:
    """The value of Retry-After in seconds with three decimals; "" if the header is not sent."""
    delay_us = answer.retry_after_us
    return f"{delay_us / 1e6:.3f}" if answer.status is AnswerStatus.REFUSED and delay_us > 0 else ""
