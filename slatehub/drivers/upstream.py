"""A connection as a client speaks HTTP/1.1 on it: one request at a time, one whole answer for each. This file owns such
a connection from opening to closing, the way a request is written and an answer is read. It must never choose a peer,
try again, or call an answer whole before it is. Floors and discovery use it."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Any

import gevent
import httptools
from gevent import socket

from ..core.jobs import NodeRequest
from ..core.limits import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES, READ_CHUNK_BYTES
from ..settings.reader import Address
from .clock import Timer, clock
from .pipe import STALL_TIMEOUT_S

RESPONSE_BODY_TIMEOUT_US = 1_500_000  # for the rest of an answer once it has begun
SLICE = 256 * 1024  # written in one go
PROMPT = 16 * 1024  # a request up to this goes out at once
LAST_BYTE_DELAY_S = (
    0.002  # between the last byte but one and the last of a request on a connection used before
)


def serialize_request(order: NodeRequest, host: str, extra: str = "") -> list[bytes | memoryview]:
    """An order as it is written, in one piece or, where it is large, in two; `extra` holds whole header lines."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in order.headers)
    # UTF-8 cannot fail here: the caller's parser let only printable ASCII through.
    length = f"Content-Length: {len(order.body)}\r\n" if order.body or order.method != "GET" else ""
    head = f"{order.method} {order.target} HTTP/1.1\r\nHost: {host}\r\n{lines}{extra}{length}\r\n"
    if len(order.body) <= MAX_BUFFERED_BODY_BYTES:
        return [head.encode("latin-1") + order.body]
    return [head.encode("latin-1"), memoryview(order.body)]


def host_header(peer: Address) -> str:
    return f"[{peer[0]}]:{peer[1]}" if ":" in peer[0] else f"{peer[0]}:{peer[1]}"


class UpstreamError(Exception):
    """The peer's answer is not whole: the connection ended before it."""


class StaleConnection(UpstreamError):
    """A connection used before turned out to be of no more use, in time: the peer has not got a whole request."""


class RequestAbandoned(UpstreamError):
    """Nobody wants the answer any more, and the peer has not got a whole request."""


class InvalidResponse(UpstreamError):
    """The peer is there and has answered, with what cannot be read or is too large."""


class UpstreamResponse:
    """Collects one answer off a connection; httptools calls its on_ methods."""

    def __init__(self, limit: int, most: int = 0) -> None:
        self.limit = limit
        self.most = max(
            limit, most
        )  # of an answer that is passed on as it comes; else none is larger than `limit`
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.raw = 0  # bytes read, framing and all
        self.complete = False
        self.begun = False  # within a message
        self.framed = False
        self.surplus = False
        self.declared_length: int | None = None  # the length that the head has said
        self.passed = 0  # bytes of the body that have been passed on
        self.endless = False  # ends with its connection
        self.keep = False

    @property
    def streamed(self) -> bool:
        """Whether it shows itself to be one that is passed on as it comes: a claim alone may be a lie, so some of it
        has to be there."""
        if self.complete or self.status != 200 or self.most == self.limit:
            return False
        return len(self.body) > self.limit or (
            (self.declared_length or 0) > self.limit and len(self.body) >= READ_CHUNK_BYTES
        )

    def take_body(self) -> bytes:
        """What has come of the body and has not been passed on."""
        piece = bytes(self.body)
        self.passed += len(piece)
        self.body.clear()
        return piece

    def on_eof(self) -> None:
        """The peer has closed its side. UpstreamError where that is not how this answer ends."""
        if not (self.begun and self.framed and self.endless) or self.complete:
            raise UpstreamError("ended before its answer")
        self.complete = True

    def feed(self, data: bytes) -> None:
        if self.complete or self.surplus:
            self.surplus = True
            return
        self.raw += len(data)
        if self.raw > MAX_HEAD_BYTES + (
            8 * self.limit + 2 * (self.passed + len(self.body)) if self.framed else READ_CHUNK_BYTES
        ):
            raise InvalidResponse("too many bytes")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if not self.complete:
                raise InvalidResponse(f"malformed answer: {type(problem).__name__}") from None
            self.surplus = True  # the answer is whole; what follows it spoils only the connection
        most = self.most if self.status == 200 else self.limit
        if self.passed + len(self.body) > most or (self.declared_length or 0) > most and not self.complete:
            raise InvalidResponse("body too large")  # one that claims to be is not waited for

    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True
        else:
            self.begun = True
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.framed:  # what comes later is a trailer, or not asked for
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        if not self.complete:
            self.status = self.parser.get_status_code()
            self.framed = self.status >= 200
            length = self.headers.get("content-length", "")
            self.declared_length = int(length[:20]) if self.framed and length.isdecimal() else None
            self.endless = self.framed and not length and "transfer-encoding" not in self.headers

    def on_body(self, body: bytes) -> None:
        if not self.complete and self.passed + len(self.body) <= self.most:
            self.body += body

    def on_message_complete(self) -> None:
        if self.complete or self.status < 200:  # 100 Continue and the like: the answer is still to come
            self.begun = False
            return
        # Never reached by an answer without a length: that ends with its connection (`on_eof`).
        self.complete = True
        self.keep = bool(self.parser.should_keep_alive())

    @property
    def reusable(self) -> bool:
        return self.complete and self.keep and not self.surplus


class UpstreamConnection:
    """One connection to one peer. It is fresh, busy, idle or closed; only one request is on it at a time."""

    def __init__(self, peer: Address, on_close: Callable[[], None]) -> None:
        self.address = peer
        self.state = "fresh"
        self.on_close = on_close
        self.timer: Timer | None = None
        self.written = False  # the last byte of the request now on it has been written
        self.used = False  # has carried a request and its answer
        self.sock = socket.socket(socket.AF_INET6 if ":" in peer[0] else socket.AF_INET, socket.SOCK_STREAM)

    def connect(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.connect(self.address)

    def write(self, pieces: list[bytes | memoryview], abandoned: Callable[[], bool] = lambda: False) -> None:
        """A whole request, but for what has become `abandoned` while the rest of it went out: its last byte is then
        never written. On a connection used before, its last byte is held back until the peer has had time to say
        that it wants no more of it: guards against a reset that meets the request (what was written whole may have run,
        and may not go out again), and against a second copy of the last answer, or noise, still on its way, which
        would be taken for the next one's. Costs every such request the time of LAST_BYTE_DELAY_S."""
        assert self.state in ("fresh", "idle"), self.state
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.state = "busy"
        self.written = False
        *first, data = pieces
        if self.used:
            try:
                self._send([*first, data[:-1]])
            except OSError as problem:
                raise StaleConnection(str(problem)) from None
            gevent.sleep(LAST_BYTE_DELAY_S)
            if self.state == "closed" or self._stirs():
                raise StaleConnection("ended, or spoke out of turn")
            first, data = [], data[-1:]
        elif sum(map(len, pieces)) > PROMPT:  # the peer may take its time over it
            self._send([*first, data[:-1]])
            first, data = [], data[-1:]
        if abandoned():
            raise RequestAbandoned("given up before its last byte")
        self._send([*first, data])
        self.written = True

    def _send(self, pieces: list[bytes | memoryview]) -> None:
        """By turns: a peer that takes all at once must not keep the others waiting for their turn of the loop."""
        for piece in pieces:
            for at in range(0, len(piece), SLICE):
                self.sock.sendall(piece[at : at + SLICE])
                if len(piece) > SLICE:
                    gevent.sleep(0)

    def read(self, limit: int, stalled: Callable[[], None] | None = None, most: int = 0) -> UpstreamResponse:
        """One answer, or with `most` the beginning of one that is larger than `limit` and at most that large: the rest
        is had by `read_body_chunk`. `stalled` is rung when the rest of one that has begun is too long in coming; what
        a peer says before its answer (1xx) does not begin it."""
        reply = UpstreamResponse(limit, most)
        late: Timer | None = None
        try:
            while not (reply.complete or reply.streamed):
                self._feed(reply)
                if late and not reply.begun:
                    late.cancel()
                    late = None
                elif stalled and reply.begun and not late:
                    late = Timer(clock() + RESPONSE_BODY_TIMEOUT_US, stalled)
        finally:
            if not reply.streamed:
                reply.parser = None  # it holds the reply: the two, with a body, would wait for the collector
            if late:
                late.cancel()
        return reply

    def read_body_chunk(self, reply: UpstreamResponse) -> bytes:
        """The next piece of an answer that is passed on as it comes; b"" at its end. OSError and UpstreamError as
        usual, also where the peer gives nothing for STALL_TIMEOUT_S."""
        while not (reply.body or reply.complete):
            with gevent.Timeout(STALL_TIMEOUT_S, UpstreamError("gives no more")):
                self._feed(reply)
        if not reply.body:
            reply.parser = None
        return reply.take_body()

    def _feed(self, reply: UpstreamResponse) -> None:
        data = self.sock.recv(READ_CHUNK_BYTES)
        if data:
            reply.feed(data)
        else:
            reply.on_eof()

    def mark_idle(self, due: int, ring: Callable[[], None]) -> None:
        assert self.state == "busy", self.state
        self.state = "idle"
        self.used = True
        self.timer = Timer(due, ring)

    def is_usable(self) -> bool:
        """Whether an idle connection may be used: anything to read now is its end, or what nobody asked for."""
        return self.state == "idle" and not self._stirs()

    def _stirs(self) -> bool:
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self) -> None:
        if self.state == "closed":
            return
        self.state = "closed"
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.sock.close()
        self.on_close()
