"""The server side of a connection to a node: parses HTTP/1.1 and passes complete attempts and probes to the
node. The node decides what is answered."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
from asyncio import BaseTransport, Transport
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools

LINGER_0 = struct.pack("ii", 1, 0)  # closing the socket then resets the connection
TIMEOUT_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z")
REQUEST_HEADERS = (b"x-request-id", b"x-priority-class", b"x-tenant-id", b"x-timeout", b"x-attrs")
MAX_REQUEST_BYTES = 256 * 1024  # size of a request including its headers
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request. `first_byte_at`: arrival of its first byte; `timeout_us` 0: none stated."""

    target: str
    first_byte_at: int
    request: str
    cls: str
    tenant: str
    timeout_us: int
    attrs: dict[str, str]


class RequestHandler(Protocol):
    """The node that handles the requests of a connection."""

    def now(self) -> int: ...

    def connection_opened(self, connection: ServerConnection) -> None: ...

    def request_received(self, connection: ServerConnection, request: Request) -> None: ...

    def connection_closed(self, connection: ServerConnection) -> None: ...


class ServerConnection(asyncio.Protocol):
    """`key` is the attempt in progress on the connection, 0: none; `idle_since`: when it last became idle."""

    def __init__(self, handler: RequestHandler) -> None:
        self.handler = handler
        self.transport: Transport | None = None
        self.parser: Any = httptools.HttpRequestParser(self)
        self.key = 0
        self.idle_since = 0
        self.closed = False
        self._first_byte_at: int | None = None
        self._size = 0
        self._clear()

    def _clear(self) -> None:
        self._url = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        self.transport.set_write_buffer_limits(0)
        self.idle_since = self.handler.now()
        self.handler.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = self.handler.now()
        self._size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self.reset()
        if self._size > MAX_REQUEST_BYTES:
            self.reset()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in REQUEST_HEADERS:
            self._headers[key] = value

    def on_message_complete(self) -> None:
        first, self._first_byte_at, self._size = self._first_byte_at, None, 0
        values = [self._headers.get(key, b"").decode("latin-1") for key in REQUEST_HEADERS]
        request = Request(
            self._url.decode("latin-1"), first or self.handler.now(), values[0], values[1], values[2],
            parse_timeout_us(self._headers.get(b"x-timeout", b"")), parse_attrs(values[4]),
        )  # fmt: skip
        self._clear()
        self.handler.request_received(self, request)

    def eof_received(self) -> None:
        """Treats a half-close by the caller as a disconnect."""
        self._notify_closed()

    def connection_lost(self, exc: Exception | None) -> None:
        self._notify_closed()

    def _notify_closed(self) -> None:
        if not self.closed:
            self.closed = True
            self.handler.connection_closed(self)

    # ------------------------------------------------------------ operations of the node

    def answer(self, status: int, extra: str, body: bytes) -> None:
        assert self.transport
        self.idle_since = self.handler.now()
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)

    def stop_reading(self) -> None:
        """Stops reading from the connection, so that not even its end is noticed."""
        if self.transport:
            self.transport.pause_reading()

    def close(self) -> None:
        if self.transport:
            self.transport.close()

    def reset(self) -> None:
        """Resets the connection, as when a process dies: data in flight is lost and the caller is notified at
        once."""
        if self.transport and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0)
            self.transport.abort()
        self._notify_closed()


def parse_timeout_us(value: bytes) -> int:
    """Parses an X-Timeout header into microseconds; 0 if it is not valid."""
    match = TIMEOUT_PATTERN.match(value.strip())
    return max(1, int(float(match[1]) * (1000 if match[2] == b"m" else 1))) if match else 0


def parse_attrs(value: str) -> dict[str, str]:
    """Parses an X-Attrs header into names and values."""
    pairs = (pair.partition("=") for pair in value.split(",") if pair)
    return {name.strip(): text.strip() for name, _, text in pairs}
