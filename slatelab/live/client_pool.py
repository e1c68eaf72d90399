"""Client side of HTTP/1.1, for clients and for nodes that make downstream calls: keep-alive connections with
one request at a time on each, and the outcome of each request. This module does not choose a proxy and
writes no facts. It resends a request only if the peer closed an idle connection at the same moment."""

from __future__ import annotations

import asyncio
import socket
from asyncio import AbstractEventLoop, BaseTransport, Transport
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any, cast

import httptools

CONNECT_TIMEOUT_S = 1.0  # limit after which an unreachable machine counts as a failed connect
MAX_RESPONSE_BYTES = 256 * 1024
MAX_TOKEN_BYTES = 200
TCP_STATE_CLOSE = 7  # tcpi_state after an RST was received (include/net/tcp_states.h)


@dataclass(eq=False, slots=True)
class Exchange:
    """One request and its outcome: `status` of a complete response, or 0 and the reason in `failure`.
    `on_finished` is called exactly once unless the exchange is cancelled. `sent_at` is when the last byte
    was written to a connection on which the peer did not leave it unread; 0: never."""

    data: bytes
    on_finished: Callable[[Exchange], None]
    sent_at: int = 0
    status: int = 0
    body: bytes = b""
    retry_after_us: int = 0
    failure: str = ""
    finished: bool = False
    resent: bool = False  # was already sent a second time
    connection: ClientConnection | None = None
    pool: ConnectionPool | None = None

    def finish(self, reason: str = "") -> None:
        if not self.finished:
            self.finished = True
            self.failure = reason
            self.connection = None
            self.on_finished(self)

    def cancel(self) -> None:
        """Cancels the exchange: the caller no longer wants the response, so the connection is closed."""
        if not self.finished:
            self.finished = True
            if self.connection:
                self.connection.abort()


class ClientConnection(asyncio.Protocol):
    """One connection to the server."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.transport: Transport | None = None
        self.exchange: Exchange | None = None
        self.last_exchange: Exchange | None = None  # the exchange that was answered last
        self.used = False
        self.write_blocked = False  # the kernel has not yet accepted the whole request
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
        self.transport.set_write_buffer_limits(0)  # data is written immediately, or pause_writing is called

    def pause_writing(self) -> None:
        self.write_blocked = True

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.exchange:
            self.exchange.sent_at = self.pool.now()

    def send(self, exchange: Exchange) -> None:
        """Writes the request; its outcome is reported to the exchange."""
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
        if exchange is None:  # unsolicited: the judge should see it as a second answer to the last request
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

    # ------------------------------------------------------------ outcomes

    def eof_received(self) -> None:
        if self.exchange and self.status >= 200 and not self.has_length and not self._was_reset():
            self._complete(False)  # the response body is delimited by the end of the connection
        else:
            self._fail("reset" if self._was_reset() else "closed")

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("closed" if exc is None else "reset")

    def _was_reset(self) -> bool:
        """Whether the peer closed the connection with unread data from us. An RST then follows the FIN
        immediately; the FIN alone only shows that the peer closed."""
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
        # The proxy closed an idle connection and never read the request, so the request is not lost: it is
        # sent again.
        exchange.resent = True
        exchange.sent_at = 0
        exchange.connection = None
        self.pool.connect(exchange)

    def abort(self) -> None:
        self.pool.remove(self)
        if self.transport:
            self.transport.abort()


class ConnectionPool:
    """Connections of one caller to one proxy. `on_unexpected_response` is called for responses that no
    request is waiting for."""

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
        """Sends on the most recently released connection, or on a new one."""
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
        if exchange.finished:  # cancelled in the meantime
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
        """Aborts all connections without finishing the exchanges on them."""
        for task, exchange in list(self.connecting.items()):
            exchange.finished = True
            task.cancel()
        for connection in list(self.connections):
            if connection.exchange:
                connection.exchange.finished = True
            connection.abort()


def parse_retry_after_us(value: bytes) -> int:
    """Parses a Retry-After header into microseconds; 0 if it is not valid."""
    try:
        wait = float(value)
    except ValueError:
        return 0
    return round(wait * 1e6) if 0 < wait < 86_400 else 0


def request_id_of(data: bytes) -> str:
    """Returns the request id of an encoded request."""
    return data.partition(b"X-Request-ID: ")[2].partition(b"\r\n")[0].decode()


def token_from_body(body: bytes) -> str:
    """Returns the token in a response body, which identifies the node and the attempt that produced it."""
    return body[:MAX_TOKEN_BYTES].decode("latin-1")
