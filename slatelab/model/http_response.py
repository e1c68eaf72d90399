"""A proxy's final answer as a caller reads it. It must never decide anything."""

from __future__ import annotations

from slatehub.core.jobs import Answer, AnswerStatus
from slatehub.fronts.responses import STATUS_CODES, retry_after_value


def http_response(answer: Answer) -> tuple[int, str, int]:
    """Status, body, and Retry-After in microseconds (0: none)."""
    body = answer.response if answer.status is AnswerStatus.SERVED else ""
    return STATUS_CODES[answer.status], body, round(float(retry_after_value(answer) or 0) * 1e6)
