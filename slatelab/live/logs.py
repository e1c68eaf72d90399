"""Parses lines of a proxy's log into facts. Three forms are known: JSON objects and logfmt, both with time,
level, topic, msg and further fields, and `slatehub: topic: text`. Pure, and never raises: a line in no
known form is returned as text."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

MAX_LINE_CHARS = 4000
PAIR = re.compile(r'([A-Za-z_][\w.-]*)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)')
PLAIN = re.compile(r"slatehub: ([\w-]{1,40}): (.*)", re.DOTALL)
TIME_FIELDS = ("time", "ts", "at")


class LogLine(NamedTuple):
    """The parts of a log line; those that it does not state are empty."""

    level: str
    topic: str
    text: str
    fields: dict[str, str]


def parse(line: str) -> LogLine:
    """Parses one line without its newline. `level` is "" if the line does not state one."""
    line = line[:MAX_LINE_CHARS]
    if (fields := _json(line) or _logfmt(line)) is not None:
        for key in TIME_FIELDS:
            fields.pop(key, None)
        level, topic = fields.pop("level", ""), fields.pop("topic", "")
        return LogLine(level.lower(), topic, fields.pop("msg", ""), fields)
    if match := PLAIN.fullmatch(line):
        return LogLine("error" if match[1] == "fault" else "info", match[1], match[2], {})
    return LogLine("", "", line, {})


def _json(line: str) -> dict[str, str] | None:
    if not line.startswith("{"):
        return None
    try:
        parsed = json.loads(line)
    except (ValueError, RecursionError):
        return None
    return (
        {str(key): _field_text(value) for key, value in parsed.items()} if isinstance(parsed, dict) else None
    )


def _field_text(value: Any) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _logfmt(line: str) -> dict[str, str] | None:
    """Only accepts lines that consist entirely of key=value pairs including `msg` or `level`, so that a
    sentence containing "=" is not parsed."""
    fields, at = {}, 0
    while at < len(line):
        match = PAIR.match(line, at)
        if not match:
            return None
        fields[match[1]] = _unquoted(match[2])
        at = match.end()
    return fields if "msg" in fields or "level" in fields else None


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", lambda match: "\n" if match[1] == "n" else match[1], value[1:-1])
