"""The binary wire format of the test bench and of sidecars: frames, records and the settings text."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Any

from .interface import (
    Action,
    Arrival,
    Cancel,
    ClientGone,
    Effect,
    Entry,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    Scope,
    Send,
    ServiceClass,
    SetTimer,
    Settings,
    State,
    Status,
    StreamStarted,
    Tenant,
    TimerFired,
)

FRAME_LIMIT = 1 << 28  # bytes of the largest frame
MOST_ITEMS = 4096  # of a list in the settings
HEAD = struct.Struct(">IIQ")
ENTRY = struct.Struct(">fQH6sHBH")


class WireError(Exception):
    """A frame or settings text is malformed. The message names the fault and its position."""


class Begin:
    """Starts a new instance with a seed and settings."""

    __slots__ = ("seed", "settings")

    def __init__(self, seed: int, settings: Settings) -> None:
        self.seed = seed
        self.settings = settings


class Teardown:
    """Ends an instance and discards its state."""

    __slots__ = ()


class _Reader:
    """Reads the fields of a frame in order and keeps the position for error messages."""

    __slots__ = ("data", "at", "record")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = HEAD.size
        self.record = 0

    def fail(self, what: str) -> WireError:
        return WireError(f"bad frame: {what} (record {self.record}, byte {self.at})")

    def take(self, layout: struct.Struct) -> tuple[Any, ...]:
        if self.at + layout.size > len(self.data):
            raise self.fail("record runs past the end of the frame")
        fields = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return fields

    def raw(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise self.fail("contents run past the end of the frame")
        self.at += size
        return self.data[self.at - size : self.at]


U8, U32 = struct.Struct(">B"), struct.Struct(">I")
BEGIN, REGISTRY = struct.Struct(">IQI"), struct.Struct(">IQBB")
ASK, STARTED = struct.Struct(">IQHIQIIB"), struct.Struct(">IQH6sI")
RESPONSE, GONE = struct.Struct(">IQH6sBIBB"), struct.Struct(">IQ")
CHECK, DATAGRAM, DIRECTORY = struct.Struct(">II6sBB"), struct.Struct(">IHH"), struct.Struct(">BI")


def frame_size(head: bytes) -> int:
    """The length in bytes of the frame with this header. Raises WireError if it is out of range."""
    size = HEAD.unpack(head)[0]
    if not HEAD.size <= size <= FRAME_LIMIT:
        raise WireError(f"bad frame: length {size} is not between {HEAD.size} and {FRAME_LIMIT} (byte 0)")
    return int(size)


def _status(r: _Reader, code: int) -> Status:
    try:
        return Status(code)
    except ValueError:
        raise r.fail(f"unknown outcome {code}") from None


def _report(r: _Reader, count: int) -> tuple[float, ...]:
    return struct.unpack(f">{count}f", r.raw(4 * count)) if count else ()


def _entries(r: _Reader, count: int) -> tuple[Entry, ...]:
    rows = []
    for _ in range(count):
        weight, since, cell, endpoint, kind, state, zone = r.take(ENTRY)
        if state > State.GONE:
            raise r.fail(f"unknown endpoint state {state}")
        rows.append(Entry(int.from_bytes(endpoint, "big"), State(state), since, weight, cell, kind, zone))
    return tuple(rows)


def read_batch(
    frame: bytes, lists: dict[int, tuple[Entry, ...]]
) -> tuple[int, Iterator[tuple[int, Event | Begin | Teardown]]]:
    """The time of a batch and its events, each with its instance number. Numbered lists are stored in `lists`. Raises
    WireError, the iterator included, on a malformed frame."""
    size, count, now = HEAD.unpack_from(frame)
    if size != len(frame):
        raise WireError(f"bad frame: length says {size}, frame has {len(frame)} (byte 0)")
    return now, _records(_Reader(frame), count, lists)


def _records(
    r: _Reader, count: int, lists: dict[int, tuple[Entry, ...]]
) -> Iterator[tuple[int, Event | Begin | Teardown]]:
    for r.record in range(count):
        (code,) = r.take(U8)
        if code == 18:
            who, rid, cls, tenant, key, left, hint, opts = r.take(ASK)
            yield (
                who,
                Arrival(
                    rid, cls, tenant, key, left, hint if opts & 1 else None, bool(opts & 2), bool(opts & 4)
                ),
            )
        elif code == 20:
            who, rid, hop, endpoint, reason, lag, over, n = r.take(RESPONSE)
            report = _report(r, n)
            endpoint = int.from_bytes(endpoint, "big")
            yield who, Outcome(rid, hop, endpoint, _status(r, reason), lag, bool(over), report)
        elif code == 22:
            who, token = r.take(GONE)
            yield who, TimerFired(token)
        elif code == 21:
            who, rid = r.take(GONE)
            yield who, ClientGone(rid)
        elif code == 26:
            number, n = r.take(DIRECTORY)
            lists[number] = _entries(r, n)
        elif code == 17:
            who, version, number, form = r.take(REGISTRY)
            if not ListKind.FAILED <= form <= ListKind.FULL:
                raise r.fail(f"unknown form of list {form}")
            if form != ListKind.FAILED and number not in lists:
                raise r.fail(f"list {number} was never given")
            yield who, ListUpdate(ListKind(form), version, () if form == ListKind.FAILED else lists[number])
        elif code == 16:
            who, seed, n = r.take(BEGIN)
            text = r.raw(n)
            try:
                settings = parse_settings(text.decode())
            except UnicodeDecodeError:
                raise r.fail("settings are not UTF-8") from None
            yield who, Begin(seed, settings)
        elif code == 19:
            who, rid, hop, endpoint, lag = r.take(STARTED)
            yield who, StreamStarted(rid, hop, int.from_bytes(endpoint, "big"), lag)
        elif code == 23:
            who, lag, endpoint, reason, n = r.take(CHECK)
            report = _report(r, n)
            yield who, Probed(int.from_bytes(endpoint, "big"), _status(r, reason), lag, report)
        elif code == 24:
            who, sender, n = r.take(DATAGRAM)
            yield who, PeerMessage(sender, r.raw(n))
        elif code == 25:
            (who,) = r.take(U32)
            yield who, Teardown()
        else:
            r.at -= 1
            raise r.fail(f"unknown record code {code}")
    if r.at != len(r.data):
        raise r.fail(f"{len(r.data) - r.at} bytes left over after the last record")


_SEND, _REFUSE, _ID = struct.Struct(">BIQ6sI"), struct.Struct(">BIQI"), struct.Struct(">BIQ")
_CANCEL, _REMIND, _PING = struct.Struct(">BIQH"), struct.Struct(">BIIQ"), struct.Struct(">BI6s")
_TEXT, _TRACK = struct.Struct(">BIH"), struct.Struct(">BIB")


def write_action(who: int, a: Action) -> bytes:
    """Encodes an action as a record."""
    if isinstance(a, Send):
        return _SEND.pack(16, who, a.request, a.endpoint.to_bytes(6, "big"), a.timeout_us)
    if isinstance(a, SetTimer):
        return _REMIND.pack(20, who, a.delay_us, a.token)
    if isinstance(a, Refuse):
        return _REFUSE.pack(17, who, a.request, a.retry_after_us)
    if isinstance(a, Fail):
        return _ID.pack(18, who, a.request)
    if isinstance(a, Cancel):
        return _CANCEL.pack(19, who, a.request, a.attempt)
    if isinstance(a, Probe):
        return _PING.pack(21, who, a.endpoint.to_bytes(6, "big"))
    if isinstance(a, Log):
        return _text(24, who, a.text)
    return _TRACK.pack(26, who, a.on)


def _text(code: int, who: int, text: str) -> bytes:
    raw = text.encode("utf-8", "replace")[:4000]
    return _TEXT.pack(code, who, len(raw)) + raw


def write_fault(who: int, text: str) -> bytes:
    """Encodes the record that reports a failure of an instance's decision code."""
    return _text(25, who, text)


def write_reply(records: list[bytes]) -> bytes:
    """Encodes a reply frame."""
    body = b"".join(records)
    return struct.pack(">I", 4 + len(body)) + body


# ---------------------------------------------------------------- settings


class _Pairs:
    """Reads the path=value lines by type. Raises WireError with the key if it is missing or malformed."""

    def __init__(self, text: str) -> None:
        self.pairs: dict[str, str] = {}
        for line in text.splitlines():
            path, eq, value = line.partition("=")
            if eq:
                self.pairs[path.strip()] = value.strip()

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise WireError(f"bad settings: {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        value = self.text(path, None if default is None else repr(default))
        try:
            number = float(value)
        except ValueError:
            number = float("nan")
        if not abs(number) < 1e18:  # also rejects NaN
            raise WireError(f"bad settings: {path} is not a number: {value[:40]!r}")
        return number

    def whole(self, path: str, default: int | None = None) -> int:
        return int(self.number(path, default))

    def count(self, path: str, default: int | None = None) -> int:
        """The number of items of a list."""
        number = self.whole(path, default)
        if not 0 <= number <= MOST_ITEMS:
            raise WireError(f"bad settings: {path} is not between 0 and {MOST_ITEMS}: {number}")
        return number

    def flag(self, path: str, default: bool = False) -> bool:
        value = self.text(path, "true" if default else "false")
        if value not in ("true", "false"):
            raise WireError(f"bad settings: {path} is neither true nor false: {value[:40]!r}")
        return value == "true"

    def choice(self, path: str, choices: dict[str, Any], default: str | None = None) -> Any:
        value = self.text(path, default)
        if value not in choices:
            raise WireError(f"bad settings: {path} is none of {', '.join(choices)}: {value[:40]!r}")
        return choices[value]

    def words(self, path: str) -> tuple[str, ...]:
        return tuple(word for word in self.text(path, "").split(",") if word)


EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def _class(p: _Pairs, at: str) -> ServiceClass:
    return ServiceClass(
        name=p.text(at + "name", ""),
        effect=p.choice(at + "idempotency", EFFECTS),
        scope=p.choice(at + "dedup_scope", SCOPES, "cell"),
        memory_us=p.whole(at + "memory_span_us", 0),
        aim_us=p.whole(at + "slo_us"),
        deadline_us=p.whole(at + "hard_limit_us"),
        worth=p.number(at + "points", 1.0),
        late_worth=p.number(at + "late_worth", 0.0),
        streamed=p.flag(at + "streamed"),
    )


def parse_settings(text: str) -> Settings:
    """Parses the settings text of a BEGIN record. Unknown keys are skipped. Raises WireError on a bad key."""
    p = _Pairs(text)
    tenants = tuple(
        Tenant(
            p.text(f"tenants.{i}.name", ""),
            p.number(f"tenants.{i}.share", 1.0),
            p.number(f"tenants.{i}.allowance_per_s", 0.0),
        )
        for i in range(p.count("tenants.count", 0))
    )
    return Settings(
        classes=tuple(_class(p, f"services.{i}.") for i in range(p.count("services.count"))),
        tenants=tenants,
        me=p.whole("me", 0),
        siblings=max(1, p.whole("siblings")),
        zone=p.whole("my_zone", 0),
        tier=p.whole("tier", 0),
        tiers=max(1, len(p.words("stages"))),
        passes_deadline=p.flag("family_info.passes_deadline", True),
        pushed_discovery=p.choice("discovery", {"pushed": True, "on_request": False}),
        tick_us=p.whole("tick_us"),
        max_attempts=p.whole("allowed.max_attempts"),
        may_cancel=p.flag("allowed.may_cancel"),
        may_duplicate=p.flag("allowed.may_duplicate"),
        may_probe=p.flag("allowed.probing"),
        may_tell_peers=p.flag("allowed.peer_messages"),
        retry_after=p.flag("allowed.retry_after"),
        max_retry_after_us=p.whole("allowed.max_retry_after_us", 0),
        connect_timeout_us=p.whole("allowed.connect_timeout_us", 250_000),
        report_columns=p.words("report.columns"),
        over_share_worth=p.number("over_share_worth", 1.0),
        answer_slack_us=p.whole("obligations.answer_slack_us"),
        drain_grace_us=p.whole("obligations.drain_grace_us"),
        ask_every_us=p.whole("obligations.ask_every_us", 10_000_000),
        cold_from=p.number("obligations.cold_from"),
        warm_after_us=p.whole("obligations.warm_after_us"),
        fall_multiple=p.number("obligations.fall_multiple"),
        tip_after_us=p.whole("obligations.tip_after_us"),
    )
