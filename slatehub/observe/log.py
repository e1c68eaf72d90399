"""The structured log: one event a line, as logfmt or JSON, with time, level, topic, msg and named fields. It owns how a
line looks, how many of a topic may pass and how long one may be. It must never hold up whoever speaks, never raise, and
never be spoken to from another thread than the hub's."""

from __future__ import annotations

import json
import math
import sys
import time
from collections.abc import Callable
from typing import Any

from logfmter import Logfmter

from .nonblocking_writer import NonBlockingWriter

MAX_LINE_BYTES = (
    4096  # bytes of a whole line with its end: PIPE_BUF, so that a pipe never takes a part of one
)
MAX_VALUE_CHARS, NAME = 200, 40  # characters of a value and of a name
FIELDS, MAX_TOPICS = 16, 100
LEVELS = {"debug": 10, "info": 20, "warning": 30, "error": 40}
OTHERS = "others"  # where there are more topics than that

Line = dict[str, Any]


def _json(line: Line) -> str:
    return json.dumps(line, ensure_ascii=False, separators=(",", ":"))


FORMS: dict[str, Callable[[Line], str]] = {"logfmt": Logfmter.format_params, "json": _json}


def sanitize(text: str, longest: int) -> str:
    """At most so many characters. What does not print is written as Python escapes it: it could end the line, move the
    cursor of a terminal, or turn the text's direction."""
    cut = text[: longest + 1]
    if not cut.isprintable():
        cut = "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in cut)
    return cut if len(cut) <= longest else cut[: longest - 3] + "..."


def _name(key: str) -> str:
    """A field's name: what a reader of logfmt takes for one."""
    name = "".join(c if c.isascii() and (c.isalnum() or c in "_-.") else "_" for c in key[:NAME])
    return name if name[:1].isalpha() else f"_{name[1:]}"


def _value(value: Any) -> Any:
    if isinstance(value, bool) or (isinstance(value, int) and abs(value) < 2**63):
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    return sanitize(str(value), MAX_VALUE_CHARS)


def error_location(problem: BaseException | None) -> str:
    """The place in the program at which it was raised."""
    trace = problem.__traceback__ if problem else None
    while trace and trace.tb_next:
        trace = trace.tb_next
    if not trace:
        return ""
    code = trace.tb_frame.f_code
    return f"{'/'.join(code.co_filename.split('/')[-2:])}:{trace.tb_lineno}"


class TopicLimit:
    """How many lines a topic may still write, when that was counted, and how many were held back since the last."""

    __slots__ = ("at", "left", "suppressed")

    def __init__(self, left: float, at: float) -> None:
        self.left = left
        self.at = at
        self.suppressed = 0


class EventLog:
    """`write` takes a whole line or says that it cannot, and never waits. `clock` counts seconds; `wall` nanoseconds of
    the time of day."""

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
        self.lost = 0  # lines that could not be written since the last that was
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
        """The terms from now on; `bound` are the fields of every line."""
        self.form = FORMS[format]
        self.least = LEVELS[level]
        self.per_s, self.burst, self.longest = per_topic_per_s, burst, longest
        self.bound = {_name(key): _value(value) for key, value in bound.items()}

    def log_event(self, topic: str, text: str, /, level: str = "info", **fields: Any) -> None:
        """One line, unless its level is below what is written or its topic has had its share. Topics are literals: they
        are few. Fields that are None or "" are left out."""
        try:
            gate = self._gate(topic)
            level = level if level in LEVELS else "error"
            if LEVELS[level] >= self.least and self._may_pass(gate):
                if self.write(self._line(topic, text, level, fields, gate.suppressed)):
                    self.lost = gate.suppressed = 0
                else:
                    self.lost += 1
        except Exception:
            self.lost += 1  # something that cannot even be printed was to be told: no reason to stop serving

    def _gate(self, topic: str) -> TopicLimit:
        if topic not in self.topic_limits:
            topic = topic if len(self.topic_limits) < MAX_TOPICS else OTHERS
            self.topic_limits.setdefault(topic, TopicLimit(self.burst, self.clock()))
        return self.topic_limits[topic]

    def _may_pass(self, gate: TopicLimit) -> bool:
        now = self.clock()
        gate.left = min(self.burst, gate.left + (now - gate.at) * self.per_s)
        gate.at = now
        if gate.left < 1:
            gate.suppressed += 1
            return False
        gate.left -= 1
        return True

    def _line(self, topic: str, text: str, level: str, fields: Line, suppressed: int) -> bytes:
        line: Line = {"time": self._time(), "level": level, "topic": sanitize(topic, NAME), "msg": ""}
        line["msg"] = sanitize(text, self.longest)
        line |= {key: count for key, count in (("suppressed", suppressed), ("lost", self.lost)) if count}
        line |= self.bound
        own = len(line)
        for key, value in list(fields.items())[:FIELDS]:
            if value is not None and value != "":
                line.setdefault(_name(key), _value(value))
        return self._fitted(line, own)

    def _time(self) -> str:
        """RFC 3339, UTC."""
        seconds, rest = divmod(self.wall() // 1_000_000, 1000)
        return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds)) + f".{rest:03d}Z"

    def _fitted(self, line: Line, own: int) -> bytes:
        """The line in bytes. One too long loses the second half of a long text, then its last fields."""
        while len(data := self.form(line).encode("utf-8", "backslashreplace") + b"\n") > MAX_LINE_BYTES:
            if len(line["msg"]) > MAX_VALUE_CHARS or (line["msg"] and len(line) <= own):
                line["msg"] = line["msg"][: len(line["msg"]) // 2]
            else:
                line.popitem()
        return data


# Standard error as it was at the start. Were it closed then, its number would soon be that of a connection.
_log = EventLog(NonBlockingWriter(2 if sys.stderr is not None else -1))
log_event = _log.log_event
configure = _log.configure
