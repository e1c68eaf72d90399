"""The stand-ins for nodes and discovery. A node does what the path of a request says; discovery serves a list and its
changes. They run in the event loop of the run and know nothing of the proxy."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from contextlib import suppress
from typing import Any

from .records import Execution, Record, now

SLICE_S = 0.05  # between two pieces of a slow transfer
ZONE = "sala-macchine"
LAST_DATA_RECEIVED_OFFSET = 52  # of tcpi_last_data_recv in struct tcp_info: milliseconds, 4 bytes
SMALL_BUFFER_BYTES = 16 * 1024  # of a socket whose peer is to notice at once that this side is slow


def options_of(target: str) -> dict[str, int]:
    """The options in a path such as /job-status/answer=200000/rate=64000."""
    parts = (part.partition("=") for part in target.split("/"))
    return {name: int(value) for name, sign, value in parts if sign}


def answer_body(request_id: str, size: int) -> bytes:
    """A body that belongs to this request: its id again and again."""
    text = f"{request_id} ".encode()
    return (text * (size // len(text) + 1))[: max(size, len(text))]


def since_last_data_s(writer: asyncio.StreamWriter) -> float:
    """How long ago the system received the last data of a connection: what this process has not read yet has waited for
    so long. 0 if the connection is closed."""
    sock = writer.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED_OFFSET + 4)
    except OSError:
        return 0.0
    return int.from_bytes(info[LAST_DATA_RECEIVED_OFFSET:], sys.byteorder) / 1000


class Head:
    """Start line and headers of a message."""

    def __init__(self, data: bytes) -> None:
        lines = data.decode("latin-1").split("\r\n")
        self.start = lines[0]
        pairs = (line.partition(":") for line in lines[1:] if line)
        self.headers = {name.strip().lower(): value.strip() for name, _, value in pairs}

    @property
    def length(self) -> int:
        """The stated length of the body, 0 if none is stated."""
        return int(self.headers.get("content-length", "0"))


async def read_body(reader: asyncio.StreamReader, size: int, bytes_per_s: int = 0) -> bytes:
    """Reads a body, at a given rate if one is given. Raises IncompleteReadError."""
    if not bytes_per_s:
        return await reader.readexactly(size)
    body = bytearray()
    while len(body) < size:
        piece = min(size - len(body), max(1, int(bytes_per_s * SLICE_S)))
        body += await reader.readexactly(piece)
        await asyncio.sleep(SLICE_S)
    return bytes(body)


async def write_body(writer: asyncio.StreamWriter, body: bytes, bytes_per_s: int = 0) -> None:
    """Writes a body, at a given rate if one is given. Raises OSError."""
    step = max(1, int(bytes_per_s * SLICE_S)) if bytes_per_s else max(1, len(body))
    for offset in range(0, len(body), step):
        writer.write(body[offset : offset + step])
        await writer.drain()
        if bytes_per_s:
            await asyncio.sleep(SLICE_S)


class Node:
    """A node. Options of a path: `work` (ms until it answers), `answer` (bytes), `rate` (bytes a second that it writes
    of the answer), `read` (bytes a second that it reads of the body), `chunked` (the answer states no length)."""

    def __init__(self, node_id: str, record: Record) -> None:
        self.node_id = node_id
        self.record = record
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listens at this address. Raises OSError."""
        host, _, port = address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * SMALL_BUFFER_BYTES)
        sock.bind((host, int(port)))
        self.server = await asyncio.start_server(self._serve, sock=sock, backlog=1024)
        self.address = f"{host}:{sock.getsockname()[1]}"

    def kill(self) -> None:
        """Ends as a process that dies: its connections are reset, and new ones are refused."""
        self.record.deaths.append(now())
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with suppress(OSError, RuntimeError):
                writer.close()

    async def _serve_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = Head(await reader.readuntil(b"\r\n\r\n"))
        began_at = now() - since_last_data_s(writer)  # this event loop may have been late
        request_id = head.headers.get("x-request-id", "")
        self.record.arrivals.append((began_at, request_id))
        options = options_of(head.start.split(" ")[1])
        await read_body(reader, head.length, options.get("read", 0))
        self.record.executions.append(Execution(request_id, self.node_id, began_at, now()))
        await asyncio.sleep(options.get("work", 20) / 1000)
        body = answer_body(request_id, options.get("answer", 0))
        framing = f"Content-Length: {len(body)}"
        if options.get("chunked"):
            framing = "Transfer-Encoding: chunked"
        writer.write(f"HTTP/1.1 200 OK\r\nX-Server-Load: qps=3.0,util=0.30\r\n{framing}\r\n\r\n".encode())
        if options.get("chunked"):
            await self._write_chunks(writer, body, options.get("rate", 0))
        else:
            await write_body(writer, body, options.get("rate", 0))
        return True

    @staticmethod
    async def _write_chunks(writer: asyncio.StreamWriter, body: bytes, bytes_per_s: int) -> None:
        step = max(1, int(bytes_per_s * SLICE_S)) if bytes_per_s else 16_000
        for offset in range(0, len(body), step):
            piece = body[offset : offset + step]
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await writer.drain()
            if bytes_per_s:
                await asyncio.sleep(SLICE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Discovery:
    """Serves the list of nodes, and a watch that tells changes as soon as there are some."""

    def __init__(self) -> None:
        self.members: list[dict[str, Any]] = []
        self.revision = 1
        self.address = ""
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens at a free address. Raises OSError."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.server = server
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def kill(self) -> None:
        """Ends as a process that dies."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def set_node(self, node: Node, phase: str = "SERVING", up_since_ms: int = 0) -> None:
        """Lists a node, or tells that it has changed; phase DELETED removes it."""
        member = {
            "id": node.node_id, "host_port": node.address, "locality": ZONE, "flavor": "front-std", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms,
        }  # fmt: skip
        self.members = [m for m in self.members if m["id"] != node.node_id]
        if phase != "DELETED":
            self.members.append(member)
        self.revision += 1
        self.changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = Head(await reader.readuntil(b"\r\n\r\n"))
                body = json.dumps(await self._answer(head.start.split(" ")[1])).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with suppress(OSError, RuntimeError):
                writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(x.split("=", 1) for x in target.partition("?")[2].split("&") if "=" in x)
        if "since" in query and int(query["since"]) >= self.revision:
            self.changed.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", "0")) / 1000)
        return {"revision": self.revision, "complete": True, "members": self.members}
