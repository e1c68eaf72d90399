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

CONNECT_TIMEOUT_S = 1.0  # a machine that does not answer is noticed so late
MAX_RESPONSE_BYTES = 256 * 1024
MAX_TOKEN_BYTES = 200
TCP_STATE_CLOSE = 7  # tcpi_state once a reset has come (include/net/tcp_states.h)


@dataclass(eq=False, slots=True)
class Exchange:
    """One request and how it ended: `status` of a whole answer, else 0 and `why`. `done` is called once,
    unless it is given up. `sent_at`: when its last byte was written to a connection that has not turned out
    to be unread; 0: never."""

    data: bytes
    on_finished: Callable[[Exchange], None]
    sent_at: int = 0
    status: int = 0
    body: bytes = b""
    retry_after_us: int = 0
    failure: str = ""
    finished: bool = False
    resent: bool = False  # has been sent once more already
    connection: ClientConnection | None = None
    pool: ConnectionPool | None = None

    def finish(self, reason: str = "") -> None:
        if not self.finished:
            self.finished = True
            self.failure = reason
            self.connection = None
            self.on_finished(self)

    def cancel(self) -> None:
        """The caller no longer wants it: its connection is closed."""
        if not self.finished:
            self.finished = True
            if self.connection:
                self.connection.abort()


class ClientConnection(asyncio.Protocol):
    """One connection."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: Transport | None = None
        self.exchange: Exchange | None = None
        self.last_exchange: Exchange | None = None  # whose answer came last
        self.used = False
        self.write_blocked = False  # the kernel has not yet taken all of the request
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.has_length = False
        self.retry_after_us = 0
        self.body = bytearray()
        self.response_started = False

    # ------------------------------------------------------------ writing

    def connection_made(self, transport: BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.pool.connections.add(self)
        self.transport.set_write_buffer_limits(0)  # written at once, or pause_writing says that it was not

    def pause_writing(self) -> None:
        self.write_blocked = True

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.exchange:
            self.exchange.sent_at = self.pool.now()

    def send(self, exchange: Exchange) -> None:
        """Writes a request; its end is told to the exchange."""
        assert self.transport and self.exchange is None
        self.exchange = exchange
        exchange.connection = self
        self.response_started = False
        exchange.sent_at = self.pool.now()
        self.transport.write(exchange.data)
        if self.write_blocked:
            exchange.sent_at = 0

    # ------------------------------------------------------------ reading

    def data_received(self, data: bytes) -> None:
        self.response_started = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed answer")
        if len(self.body) > MAX_RESPONSE_BYTES:
            self._fail("answer too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in (b"content-length", b"transfer-encoding"):
            self.has_length = True
        elif key == b"retry-after":
            self.retry_after_us = parse_retry_after_us(value)

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        if self.status >= 200:
            self._complete(bool(self.parser.should_keep_alive()))

    def _complete(self, keep_alive: bool) -> None:
        exchange, self.exchange = self.exchange, None
        status, body, wait = self.status, bytes(self.body), self.retry_after_us
        self.status, self.has_length, self.retry_after_us, self.body = 0, False, 0, bytearray()
        if (
            exchange is None
        ):  # nobody has asked: the judge should see it as a second answer to the last request
            if self.last_exchange:
                self.pool.on_unexpected_response(self.last_exchange, status, body)
            return self.abort()
        self.last_exchange = exchange
        self.used = True
        exchange.status, exchange.body, exchange.retry_after_us = status, body, wait
        if keep_alive and not self.write_blocked:
            self.pool.release(self)
        else:
            self.abort()
        exchange.finish()

    # ------------------------------------------------------------ ends

    def eof_received(self) -> None:
        if self.exchange and self.status >= 200 and not self.has_length and not self._was_reset():
            self._complete(False)  # an answer that its connection's end ends
        else:
            self._fail("reset" if self._was_reset() else "closed")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("closed" if exc is None else "reset")

    def _was_reset(self) -> bool:
        """Whether the peer closed with our bytes unread: then a reset has come right behind the end, which
        alone would only say that it closed."""
        assert self.transport
        sock = self.transport.get_extra_info("socket")
        return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_STATE_CLOSE)

    def _fail(self, reason: str) -> None:
        exchange, self.exchange = self.exchange, None
        unread = self.used and not self.response_started and reason == "reset"
        self.abort()
        if exchange is None or exchange.finished:
            return
        if not unread or exchange.resent:
            return exchange.finish(reason)
        # Guards against calling lost what the proxy never read, as it closed a connection that rested.
        exchange.resent = True
        exchange.sent_at = 0
        exchange.connection = None
        self.pool.connect(exchange)

    def abort(self) -> None:
        self.pool.remove(self)
        if self.transport:
            self.transport.abort()


class ConnectionPool:
    """Connections of one caller to one proxy. `surplus` hears of answers that nobody asked for."""

    def __init__(
        self,
        loop: AbstractEventLoop,
        now: Callable[[], int],
        address: tuple[str, int],
        on_unexpected_response: Callable[[Exchange, int, bytes], None],
    ) -> None:
        self.loop = loop
        self.now = now
        self.address = address
        self.on_unexpected_response = on_unexpected_response
        self.idle: list[ClientConnection] = []
        self.connections: set[ClientConnection] = set()
        self.connecting: dict[asyncio.Task[None], Exchange] = {}

    @property
    def count(self) -> int:
        return len(self.connections) + len(self.connecting)

    def send(self, exchange: Exchange) -> None:
        """On the connection that rested last, or on a new one."""
        exchange.pool = self
        if self.idle:
            self.idle.pop().send(exchange)
        else:
            self.connect(exchange)

    def connect(self, exchange: Exchange) -> None:
        task = self.loop.create_task(self._connect(exchange))
        self.connecting[task] = exchange
        task.add_done_callback(lambda task: self.connecting.pop(task, None))

    async def _connect(self, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    partial(ClientConnection, self), *self.address
                )
        except ConnectionRefusedError:
            return exchange.finish("refused")
        except TimeoutError:
            return exchange.finish("never came up")
        except OSError as problem:
            return exchange.finish(f"no connection: {problem.strerror}")
        if exchange.finished:  # given up meanwhile
            self.release(connection)
        elif connection.transport is None or connection.transport.is_closing():
            exchange.finish("reset")
        else:
            connection.send(exchange)

    def release(self, connection: ClientConnection) -> None:
        self.idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def close(self) -> None:
        """Breaks all connections off; what is on them is not told its end."""
        for task, exchange in list(self.connecting.items()):
            exchange.finished = True
            task.cancel()
        for connection in list(self.connections):
            if connection.exchange:
                connection.exchange.finished = True
            connection.abort()


def parse_retry_after_us(value: bytes) -> int:
    """A Retry-After in microseconds, 0 where it is none."""
    try:
        wait = float(value)
    except ValueError:
        return 0
    return round(wait * 1e6) if 0 < wait < 86_400 else 0


def request_id_of(data: bytes) -> str:
    """The id under which a request was written."""
    return data.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0].decode()


def token_from_body(body: bytes) -> str:
    """What a body says of who made it."""
    return body[:MAX_TOKEN_BYTES].decode("latin-1")
