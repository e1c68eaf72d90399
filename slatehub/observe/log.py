"""The structured log: one event per line, as logfmt or JSON, with time, level, topic, msg and named fields. Defines the
format of a line, the rate limit of each topic and the length limits. Logging never blocks and never raises. It must be
called from the hub's thread only."""

from __future__ import annotations

import json
import math
import sys
import time
from collections.abc import Callable
from typing import Any

from logfmter import Logfmter

from .nonblocking_writer import NonBlockingWriter

# Of a whole line with its newline: PIPE_BUF, so that a pipe never accepts a part of a line.
MAX_LINE_BYTES = 4096
MAX_VALUE_CHARS, MAX_NAME_CHARS = 200, 40  # characters of a field's value and of a name
MAX_FIELDS, MAX_TOPICS = 16, 100
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
OVERFLOW_TOPIC = "others"  # the topic of all further topics beyond MAX_TOPICS

Line = dict[str, Any]


def _json(line: Line) -> str:
    return json.dumps(line, ensure_ascii=False, separators=(",", ":"))


FORMATTERS: dict[str, Callable[[Line], str]] = {"logfmt": Logfmter.format_params, "json": _json}


def sanitize(text: str, longest: int) -> str:
    """Shortens the text to `longest` characters. Unprintable characters are written as Python escapes: they could end
    the line, move a terminal's cursor, or reverse the direction of the text."""
    cut = text[: longest + 1]
    if not cut.isprintable():
        cut = "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in cut)
    return cut if len(cut) <= longest else cut[: longest - 3] + "..."


def _sanitize_name(key: str) -> str:
    """A field's name, restricted to the characters that logfmt parsers accept."""
    name = "".join(c if c.isascii() and (c.isalnum() or c in "_-.") else "_" for c in key[:MAX_NAME_CHARS])
    return name if name[:1].isalpha() else f"_{name[1:]}"


def _sanitize_value(value: Any) -> Any:
    if isinstance(value, bool) or (isinstance(value, int) and abs(value) < 2**63):
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    return sanitize(str(value), MAX_VALUE_CHARS)


def error_location(problem: BaseException | None) -> str:
    """The file and line at which the exception was raised; "" where it has no traceback."""
    trace = problem.__traceback__ if problem else None
    while trace and trace.tb_next:
        trace = trace.tb_next
    if not trace:
        return ""
    code = trace.tb_frame.f_code
    return f"{'/'.join(code.co_filename.split('/')[-2:])}:{trace.tb_lineno}"


class TopicLimit:
    """The token bucket of a topic: the lines that it may still write, as of `updated_at_s`, and the number of lines
    suppressed since the last one that was written."""

    __slots__ = ("updated_at_s", "lines_left", "suppressed")

    def __init__(self, lines_left: float, updated_at_s: float) -> None:
        self.lines_left = lines_left
        self.updated_at_s = updated_at_s
        self.suppressed = 0


class EventLog:
    """`write` accepts a whole line or returns False, and never blocks. `clock` returns monotonic seconds, `wall` the
    time of day in nanoseconds."""

    def __init__(
        self,
        write: Callable[[bytes], bool],
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], int] = time.time_ns,
    ) -> None:
        self.write = write
        self.clock = clock
        self.wall = wall
        self.topic_limits: dict[str, TopicLimit] = {}
        self.lost = 0  # lines that could not be written since the last one that was
        self.configure()

    def configure(
        self,
        format: str = "logfmt",
        level: str = "info",
        per_topic_per_s: float = 1.0,
        burst: float = 5.0,
        longest: int = 400,
        **bound: Any,
    ) -> None:
        """Sets the format, level and limits; `bound` are the fields of every line."""
        self.formatter = FORMATTERS[format]
        self.min_level = LEVELS[level]
        self.lines_per_s, self.burst, self.longest = per_topic_per_s, burst, longest
        self.bound = {_sanitize_name(key): _sanitize_value(value) for key, value in bound.items()}

    def log_event(self, topic: str, text: str, /, level: str = "info", **fields: Any) -> None:
        """Writes one line, unless its level is below the configured one or its topic exceeds its rate. Topics are
        literals, so that there are few. Fields that are None or "" are left out."""
        try:
            limit = self._limit_of(topic)
            level = level if level in LEVELS else "error"
            if LEVELS[level] >= self.min_level and self._take_line(limit):
                if self.write(self._line(topic, text, level, fields, limit.suppressed)):
                    self.lost = limit.suppressed = 0
                else:
                    self.lost += 1
        except Exception:
            self.lost += 1  # a value could not be formatted: the proxy keeps serving

    def _limit_of(self, topic: str) -> TopicLimit:
        if topic not in self.topic_limits:
            topic = topic if len(self.topic_limits) < MAX_TOPICS else OVERFLOW_TOPIC
            self.topic_limits.setdefault(topic, TopicLimit(self.burst, self.clock()))
        return self.topic_limits[topic]

    def _take_line(self, limit: TopicLimit) -> bool:
        now = self.clock()
        limit.lines_left = min(self.burst, limit.lines_left + (now - limit.updated_at_s) * self.lines_per_s)
        limit.updated_at_s = now
        if limit.lines_left < 1:
            limit.suppressed += 1
            return False
        limit.lines_left -= 1
        return True

    def _line(self, topic: str, text: str, level: str, fields: Line, suppressed: int) -> bytes:
        line: Line = {
            "time": self._time(),
            "level": level,
            "topic": sanitize(topic, MAX_NAME_CHARS),
            "msg": "",
        }
        line["msg"] = sanitize(text, self.longest)
        line |= {key: count for key, count in (("suppressed", suppressed), ("lost", self.lost)) if count}
        line |= self.bound
        fixed_fields = len(line)
        for key, value in list(fields.items())[:MAX_FIELDS]:
            if value is not None and value != "":
                line.setdefault(_sanitize_name(key), _sanitize_value(value))
        return self._encode(line, fixed_fields)

    def _time(self) -> str:
        """RFC 3339, UTC."""
        seconds, milliseconds = divmod(self.wall() // 1_000_000, 1000)
        return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds)) + f".{milliseconds:03d}Z"

    def _encode(self, line: Line, fixed_fields: int) -> bytes:
        """The encoded line. While it is too long, a long text is halved, then the last fields are removed."""
        while len(data := self.formatter(line).encode("utf-8", "backslashreplace") + b"\n") > MAX_LINE_BYTES:
            if len(line["msg"]) > MAX_VALUE_CHARS or (line["msg"] and len(line) <= fixed_fields):
                line["msg"] = line["msg"][: len(line["msg"]) // 2]
            else:
                line.popitem()
        return data


# Standard error as it was at the start. If it was closed then, its number would soon belong to a connection.
_log = EventLog(NonBlockingWriter(2 if sys.stderr is not None else -1))
log_event = _log.log_event
configure = _log.configure
