"""Converts a proxy's final answer to the HTTP response that the client receives."""

from __future__ import annotations

from slatehub.core.jobs import Answer, AnswerStatus
from slatehub.fronts.responses import STATUS_CODES, retry_after_value


def http_response(answer: Answer) -> tuple[int, str, int]:
    """Status, body, and Retry-After in microseconds (0: none)."""
    body = answer.response if answer.status is AnswerStatus.SERVED else ""
    return STATUS_CODES[answer.status], body, round(float(retry_after_value(answer) or 0) * 1e6)
