"""A relay in the same language that makes no decisions: uvloop and httptools, each request to the next node in turn,
over a pooled connection. It is a baseline for the cost of the language and the kernel; it checks nothing and is not for
production. `python relay.py NODE [NODE ...]` listens on 127.0.0.1 and prints its address."""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import Any

import httptools
import uvloop


class Upstream(asyncio.Protocol):
    """One connection to a node; passes the answer to the client whose request was sent last."""

    def __init__(self, pool: list[Upstream]) -> None:
        self.pool = pool
        self.client: Downstream | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        client, self.client, body, self.body = self.client, None, self.body, b""
        self.pool.append(self)
        if client:
            head = b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (
                self.parser.get_status_code(),
                len(body),
            )
            client.transport.write(head + body)


class Downstream(asyncio.Protocol):
    def __init__(self, targets: Any) -> None:
        self.targets = targets
        self.parser: Any = httptools.HttpRequestParser(self)
        self.headers: list[bytes] = []

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url = url
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() != b"host":
            self.headers.append(name + b": " + value + b"\r\n")

    def on_message_complete(self) -> None:
        host, port, pool = next(self.targets)
        head = b"%b %b HTTP/1.1\r\nHost: %b\r\n" % (self.parser.get_method(), self.url, host.encode())
        request = head + b"".join(self.headers) + b"\r\n"
        if pool:
            self.send(pool.pop(), request)
        else:
            asyncio.get_running_loop().create_task(self.open(host, port, pool, request))

    async def open(self, host: str, port: int, pool: list[Upstream], request: bytes) -> None:
        _, upstream = await asyncio.get_running_loop().create_connection(lambda: Upstream(pool), host, port)
        self.send(upstream, request)

    def send(self, upstream: Upstream, request: bytes) -> None:
        upstream.client = self
        upstream.transport.write(request)


async def main() -> None:
    pairs = [address.rpartition(":") for address in sys.argv[1:]]
    targets = itertools.cycle([(host, int(port), list[Upstream]()) for host, _, port in pairs])
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Downstream(targets), "127.0.0.1", 0, backlog=4096)
    print(f"relay listens on 127.0.0.1:{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
