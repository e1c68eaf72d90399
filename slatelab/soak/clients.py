"""Clients that keep to the protocol: each request goes out whole, and what comes back is recorded."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from .peers import Head, answer_body
from .proxy_process import SAFE_CLASS, TENANT, UNSAFE_CLASS
from .records import ClientRequest, Record, now

ANSWER_GRACE_S = 12.0  # after its time, until a client stops waiting for an answer that is overdue
LONG_ANSWER_BYTES = 64 * 1024  # from here on the first bytes of an answer are timed


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What a client asks for. `options` are those of `peers.Node`; `body_rate`: bytes a second at which the body is
    written, 0 at once; `leave_after_s`: the client closes its connection so long after the last byte."""

    safe: bool = True
    timeout_s: float = 4.0
    options: tuple[tuple[str, int], ...] = ()
    body_bytes: int = 0
    body_rate: int = 0
    leave_after_s: float = -1.0
    must_be_served: bool = False

    @property
    def may_be_long(self) -> bool:
        """Whether the answer is long, or does not state its length."""
        options = dict(self.options)
        return options.get("answer", 0) > LONG_ANSWER_BYTES or "chunked" in options

    @property
    def transfer_s(self) -> float:
        """How long a node takes to write the answer."""
        options = dict(self.options)
        return options.get("answer", 0) / options["rate"] if options.get("rate") else 0.0

    def target(self) -> str:
        """The path that asks a node for this."""
        segments = [SAFE_CLASS if self.safe else UNSAFE_CLASS, *(f"{k}={v}" for k, v in self.options)]
        return "/" + "/".join(segments)


def request_bytes(request_id: str, spec: RequestSpec) -> bytes:
    """The request as it is written."""
    lines = [
        f"{'GET' if spec.safe else 'POST'} {spec.target()} HTTP/1.1", "Host: app.svc", f"X-Request-ID: {request_id}",
        f"X-Priority-Class: {SAFE_CLASS if spec.safe else UNSAFE_CLASS}", f"X-Tenant-Id: {TENANT}",
        f"X-Timeout: {int(spec.timeout_s * 1000)}m",
    ]  # fmt: skip
    if not spec.safe:
        lines.append(f"Content-Length: {spec.body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + bytes(spec.body_bytes)


class Connection:
    """A client's connection to the proxy; one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.used = False  # it has carried an answer
        self.answer_begun = False

    @classmethod
    async def open(cls, address: str) -> Connection:
        """Connects. Raises OSError."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=1 << 20))

    async def write(self, data: bytes, bytes_per_s: int = 0) -> None:
        """Writes at the given rate, 0 at once. Raises OSError."""
        step = max(1, bytes_per_s // 20) if bytes_per_s else len(data)
        for offset in range(0, len(data), step):
            self.writer.write(data[offset : offset + step])
            await self.writer.drain()
            if bytes_per_s:
                await asyncio.sleep(0.05)

    async def read_answer(self) -> tuple[int, bytes, bool]:
        """Status, body, and whether the connection stays open. Raises OSError and IncompleteReadError."""
        self.answer_begun = False
        head = Head(await self.reader.readuntil(b"\r\n\r\n"))
        self.answer_begun = True
        status = int(head.start.split(" ")[1])
        if head.headers.get("transfer-encoding") == "chunked":
            body = await self._read_chunks()
        else:
            body = await self.reader.readexactly(head.length)
        return status, body, head.headers.get("connection", "").lower() != "close"

    async def _read_chunks(self) -> bytes:
        body = bytearray()
        while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return bytes(body)

    async def drop(self, resets: bool = False) -> float:
        """Closes the connection: what this process has not passed to its system yet is dropped. `resets`: what the
        system has not sent yet is dropped too, and the connection is reset. Returns when that was done, in seconds of
        `now`."""
        if resets:
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        loop = asyncio.get_running_loop()
        closed_at: asyncio.Future[float] = loop.create_future()
        self.writer.transport.abort()  # which has the event loop close the socket as its next callback
        loop.call_soon(lambda: closed_at.set_result(now()))
        return await closed_at

    def close(self) -> None:
        """Closes the connection."""
        with suppress(OSError, RuntimeError):
            self.writer.close()


class Client:
    """Sends one request after another, on one connection for as long as that stays open. `address` is asked anew for
    each connection. A request that crosses the close of a resting connection goes out once more."""

    def __init__(self, name: str, record: Record, address: Callable[[], str]) -> None:
        self.name = name
        self.record = record
        self.address = address
        self.connection: Connection | None = None
        self.count = 0

    def next_id(self) -> str:
        """An id that this client has not used yet."""
        self.count += 1
        return f"{self.name}-{self.count:08x}"

    async def call(self, spec: RequestSpec, request_id: str = "") -> ClientRequest:
        """Sends a request and records how it ended."""
        request = ClientRequest(
            request_id or self.next_id(),
            spec.safe,
            spec.timeout_s,
            must_be_served=spec.must_be_served,
            long_answer=spec.may_be_long,
            began_at=now(),
        )
        for _ in range(2):
            request.sent_at = 0.0
            if not await self._send(request, spec):
                continue  # nothing of it was taken
            if spec.leave_after_s >= 0:
                await asyncio.sleep(spec.leave_after_s)
                request.closed_at = await self._leave()
                break
            if await self._await_answer(request, spec):
                break
        if request.sent_at or request.read_and_closed:
            self.record.requests.append(request)
        return request

    async def _send(self, request: ClientRequest, spec: RequestSpec) -> bool:
        """Returns whether the whole request was written."""
        try:
            if self.connection is None or self.connection.reader.at_eof():
                self.disconnect()
                self.connection = await Connection.open(self.address())
            await self.connection.write(request_bytes(request.request_id, spec), spec.body_rate)
        except OSError:
            self.disconnect()
            return False
        request.sent_at = now()
        return True

    async def _await_answer(self, request: ClientRequest, spec: RequestSpec) -> bool:
        """Returns whether that was the end of it; if not, the connection was closed before its request was read."""
        connection = self.connection
        assert connection is not None
        try:
            timeout_s = spec.timeout_s + ANSWER_GRACE_S + spec.transfer_s
            status, body, keep_alive = await asyncio.wait_for(connection.read_answer(), timeout_s)
        except TimeoutError:
            request.how_it_ended = f"nothing more in {timeout_s:.0f} s"
            self.disconnect()
            return True
        except (OSError, EOFError, ValueError) as error:
            self.disconnect()
            request.how_it_ended = (
                f"{'cut off' if connection.answer_begun else 'closed'}: {type(error).__name__}"
            )
            if connection.answer_begun:
                request.cut_off_at = now()
                request.how_it_ended += f" after {request.cut_off_at - request.sent_at:.2f} s"
                return True
            # The system resets a connection that is closed with unread bytes; a plain end says that all was read.
            request.read_and_closed = not (connection.used or isinstance(error, OSError))
            request.unanswered_close_at = now()
            return request.read_and_closed
        request.answered_at, request.status = now(), status
        if status == 200:
            size = dict(spec.options).get("answer", 0)
            request.foreign = body != answer_body(request.request_id, size)
        connection.used = True
        if not keep_alive:
            self.disconnect()
        return True

    async def _leave(self) -> float:
        """Closes the connection before the answer. Returns when that was done."""
        connection, self.connection = self.connection, None
        return await connection.drop() if connection else now()

    def disconnect(self) -> None:
        """Closes the connection, if there is one."""
        if self.connection:
            self.connection.close()
        self.connection = None


async def usual_traffic(
    name: str, record: Record, address: Callable[[], str], per_s: float, until: float, random: Random
) -> None:
    """Some clients that together send so many small requests a second, safe and unsafe ones."""
    clients = [Client(f"{name}{i}", record, address) for i in range(8)]

    async def run(client: Client) -> None:
        while now() < until:
            safe = random.random() < 0.5
            await client.call(RequestSpec(safe=safe, body_bytes=0 if safe else 200))
            await asyncio.sleep(random.expovariate(per_s / len(clients)))
        client.disconnect()

    await asyncio.gather(*(run(client) for client in clients))
