"""The calling side of HTTP/1.1, for clients and for nodes that call on: connections that are kept, one
request at a time on each, and how each request ended. It owns these connections. It must never choose a
proxy, try again after anything but a closing that crossed the request, or write a fact."""

from __future__ import annotations

import asyncio
import socket
from asyncio import AbstractEventLoop, BaseTransport, Transport
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

import httptools

CONNECT_S = 1.0  # a machine that does not answer is noticed so late
ANSWER_LIMIT = 256 * 1024
MOST_TOKEN = 200
TCP_CLOSE = 7  # tcpi_state once a reset has come (include/net/tcp_states.h)


@dataclass(eq=False, slots=True)
class Exchange:
    """One request and how it ended: `status` of a whole answer, else 0 and `why`. `done` is called once,
    unless it is given up. `sent_at`: when its last byte was written to a connection that has not turned out
    to be unread; 0: never."""

    data: bytes
    done: Callable[[Exchange], None]
    sent_at: int = 0
    status: int = 0
    body: bytes = b""
    retry_after_us: int = 0
    failure: str = ""
    over: bool = False
    resent: bool = False  # has been sent once more already
    line: Line | None = None
    pool: ConnectionPool | None = None

    def end(self, why: str = "") -> None:
        if not self.over:
            self.over = True
            self.failure = why
            self.line = None
            self.done(self)

    def give_up(self) -> None:
        """The caller no longer wants it: its connection is closed."""
        if not self.over:
            self.over = True
            if self.line:
                self.line.abort()


class Line(asyncio.Protocol):
    """One connection."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: Transport | None = None
        self.exchange: Exchange | None = None
        self.last: Exchange | None = None  # whose answer came last
        self.used = False
        self.blocked = False  # the kernel has not yet taken all of the request
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.framed = False
        self.retry_after_us = 0
        self.body = bytearray()
        self.heard = False

    # ------------------------------------------------------------ writing

    def connection_made(self, transport: BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.pool.lines.add(self)
        self.transport.set_write_buffer_limits(0)  # written at once, or pause_writing says that it was not

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        if self.exchange:
            self.exchange.sent_at = self.pool.now()

    def carry(self, exchange: Exchange) -> None:
        """Writes a request; its end is told to the exchange."""
        assert self.transport and self.exchange is None
        self.exchange = exchange
        exchange.line = self
        self.heard = False
        exchange.sent_at = self.pool.now()
        self.transport.write(exchange.data)
        if self.blocked:
            exchange.sent_at = 0

    # ------------------------------------------------------------ reading

    def data_received(self, data: bytes) -> None:
        self.heard = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._broken("malformed answer")
        if len(self.body) > ANSWER_LIMIT:
            self._broken("answer too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (b"content-length", b"transfer-encoding"):
            self.framed = True
        elif key == b"retry-after":
            self.retry_after_us = seconds(value)

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.status >= 200:
            self._answered(bool(self.parser.should_keep_alive()))

    def _answered(self, keep: bool) -> None:
        exchange, self.exchange = self.exchange, None
        status, body, wait = self.status, bytes(self.body), self.retry_after_us
        self.status, self.framed, self.retry_after_us, self.body = 0, False, 0, bytearray()
        if (
            exchange is None
        ):  # nobody has asked: the judge should see it as a second answer to the last request
            if self.last:
                self.pool.surplus(self.last, status, body)
            return self.abort()
        self.last = exchange
        self.used = True
        exchange.status, exchange.body, exchange.retry_after_us = status, body, wait
        if keep and not self.blocked:
            self.pool.rest(self)
        else:
            self.abort()
        exchange.end()

    # ------------------------------------------------------------ ends

    def eof_received(self) -> None:
        if self.exchange and self.status >= 200 and not self.framed and not self._reset():
            self._answered(False)  # an answer that its connection's end ends
        else:
            self._broken("reset" if self._reset() else "closed")

    def connection_lost(self, exc: Exception | None) -> None:
        self._broken("closed" if exc is None else "reset")

    def _reset(self) -> bool:
        """Whether the peer closed with our bytes unread: then a reset has come right behind the end, which
        alone would only say that it closed."""
        assert self.transport
        sock = self.transport.get_extra_info("socket")
        return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE)

    def _broken(self, why: str) -> None:
        exchange, self.exchange = self.exchange, None
        unread = self.used and not self.heard and why == "reset"
        self.abort()
        if exchange is None or exchange.over:
            return
        if not unread or exchange.resent:
            return exchange.end(why)
        # Guards against calling lost what the proxy never read, as it closed a connection that rested.
        exchange.resent = True
        exchange.sent_at = 0
        exchange.line = None
        self.pool.open(exchange)

    def abort(self) -> None:
        self.pool.gone(self)
        if self.transport:
            self.transport.abort()


class ConnectionPool:
    """Connections of one caller to one proxy. `surplus` hears of answers that nobody asked for."""

    def __init__(
        self,
        loop: AbstractEventLoop,
        now: Callable[[], int],
        address: tuple[str, int],
        surplus: Callable[[Exchange, int, bytes], None],
    ) -> None:
        self.loop = loop
        self.now = now
        self.address = address
        self.surplus = surplus
        self.idle: list[Line] = []
        self.lines: set[Line] = set()
        self.opening: dict[asyncio.Task[None], Exchange] = {}

    @property
    def count(self) -> int:
        return len(self.lines) + len(self.opening)

    def send(self, exchange: Exchange) -> None:
        """On the connection that rested last, or on a new one."""
        exchange.pool = self
        if self.idle:
            self.idle.pop().carry(exchange)
        else:
            self.open(exchange)

    def open(self, exchange: Exchange) -> None:
        task = self.loop.create_task(self._open(exchange))
        self.opening[task] = exchange
        task.add_done_callback(lambda task: self.opening.pop(task, None))

    async def _open(self, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(CONNECT_S):
                _, line = await self.loop.create_connection(partial(Line, self), *self.address)
        except ConnectionRefusedError:
            return exchange.end("refused")
        except TimeoutError:
            return exchange.end("never came up")
        except OSError as problem:
            return exchange.end(f"no connection: {problem.strerror}")
        if exchange.over:  # given up meanwhile
            self.rest(line)
        elif line.transport is None or line.transport.is_closing():
            exchange.end("reset")
        else:
            line.carry(exchange)

    def rest(self, line: Line) -> None:
        self.idle.append(line)

    def gone(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)

    def close(self) -> None:
        """Breaks all connections off; what is on them is not told its end."""
        for task, exchange in list(self.opening.items()):
            exchange.over = True
            task.cancel()
        for line in list(self.lines):
            if line.exchange:
                line.exchange.over = True
            line.abort()


def seconds(value: bytes) -> int:
    """A Retry-After in microseconds, 0 where it is none."""
    try:
        wait = float(value)
    except ValueError:
        return 0
    return round(wait * 1e6) if 0 < wait < 86_400 else 0


def request_of(data: bytes) -> str:
    """The id under which a request was written."""
    return data.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0].decode()


def token_of(body: bytes) -> str:
    """What a body says of who made it."""
    return body[:MOST_TOKEN].decode("latin-1")
