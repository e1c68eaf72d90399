"""Crowds of clients that are slow, stop, flood or leave, at one proxy. A crowd runs in a process of its own, so that it
takes no processor time from the clients whose answers are timed:

    python -m slatelab.soak.crowd '{"behaviour": "slow_heads", "address": "127.0.0.1:8443", "count": 300, ...}'"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import asdict, dataclass
from random import Random

from .clients import RequestSpec, request_bytes
from .proxy_process import SAFE_CLASS, TENANT
from .records import now

RECONNECT_PAUSE_S = 0.05
SLOW_READ_BYTES_PER_S = 64_000  # the lowest rate that callers are promised
FLOOD_POOL = 400  # prepared writes of a flood, with 64 requests each; sent in turn
SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class CrowdSpec:
    """`behaviour`: a key of BEHAVIOURS. `count`: connections at once. `size`: bytes of a head, body or answer, as the
    behaviour takes it. The crowd ends after `seconds`."""

    behaviour: str
    address: str
    count: int
    size: int
    seconds: float
    seed: int

    def command(self) -> list[str]:
        """The command line of its process."""
        return [sys.executable, "-B", "-m", "slatelab.soak.crowd", json.dumps(asdict(self))]


Member = Callable[[CrowdSpec, Random, socket.socket, int], Awaitable[None]]


async def send(sock: socket.socket, data: bytes) -> None:
    """Writes everything. Raises OSError."""
    await asyncio.get_running_loop().sock_sendall(sock, data)


async def receive(sock: socket.socket, size: int = 65536) -> bytes:
    """Raises OSError, also at the end of the connection."""
    data = await asyncio.get_running_loop().sock_recv(sock, size)
    if not data:
        raise ConnectionError
    return data


def many_fields(size: int, random: Random) -> bytes:
    """Header lines of the shortest kind, together about `size` bytes, each with another name."""
    first = random.randrange(1000)
    lines = [f"{first + i:x}:{i % 10}\r\n" for i in range(size // 6)]
    return "".join(lines).encode()[:size].rpartition(b"\n")[0] + b"\n"


def head_start(number: int, random: Random, method: str = "POST") -> bytes:
    """A sound head without the empty line at its end."""
    request_id = f"{random.getrandbits(48):012x}{number & 0xFFFF:04x}"
    class_name = SAFE_CLASS if method == "GET" else "order-place"
    return (
        f"{method} /{class_name} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {class_name}\r\nX-Tenant-Id: {TENANT}\r\nX-Timeout: 4000m\r\n"
    ).encode()


async def slow_heads(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A head of very many short fields that goes on and on, slowly at last."""
    await send(sock, head_start(number, random) + many_fields(spec.size, random))
    for _ in range(40):
        await asyncio.sleep(0.1)
        await send(sock, b"x:y\r\n")


async def whole_heads(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A request whose head has very many short fields and is whole; a node works on it for a while."""
    head = head_start(number, random, "GET").replace(b"/job-status ", b"/job-status/work=1500 ")
    await send(sock, head + many_fields(spec.size, random) + b"\r\n")
    await receive(sock)


async def stopped_bodies(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """Half of a request with a stated length; then nothing more."""
    head = head_start(number, random) + f"Content-Length: {spec.size}\r\n\r\n".encode()
    await send(sock, head + bytes(spec.size // 2))
    await receive(sock)


async def unfinished_bodies(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A request with a stated length but for its last byte; then nothing more."""
    await send(sock, head_start(number, random) + f"Content-Length: {spec.size}\r\n\r\n".encode())
    await send(sock, bytes(spec.size - 1))
    await receive(sock)


async def slow_bodies(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A whole request whose body is written at the lowest rate that is promised."""
    await send(sock, head_start(number, random) + f"Content-Length: {spec.size}\r\n\r\n".encode())
    for offset in range(0, spec.size, SLOW_READ_BYTES_PER_S // 10):
        await send(sock, bytes(min(SLOW_READ_BYTES_PER_S // 10, spec.size - offset)))
        await asyncio.sleep(0.1)
    await receive(sock)


async def small_chunks(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A body in chunks of one byte, which stops half way."""
    await send(sock, head_start(number, random) + b"Transfer-Encoding: chunked\r\n\r\n")
    await send(sock, b"1\r\nx\r\n" * (spec.size // 12))
    await receive(sock)


async def slow_readers(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A long answer, taken at the lowest rate that is promised."""
    options = (("answer", spec.size), ("work", 20))
    await send(sock, request_bytes(f"{random.getrandbits(60):x}", RequestSpec(options=options)))
    received = 0
    while received < spec.size:
        received += len(await receive(sock, SLOW_READ_BYTES_PER_S // 10))
        await asyncio.sleep(0.1)


async def stopped_readers(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """A long answer, of which nothing is taken."""
    options = (("answer", spec.size), ("work", 20))
    await send(sock, request_bytes(f"{random.getrandbits(60):x}", RequestSpec(options=options)))
    await asyncio.sleep(60)


async def pipelined(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """Many whole requests at once, and much behind them, for as long as the connection lasts."""
    ids = (f"{random.getrandbits(60):x}" for _ in range(max(1, spec.size // 200)))
    await send(sock, b"".join(request_bytes(x, RequestSpec(options=(("work", 300),))) for x in ids))
    while True:
        await receive(sock)


async def idle(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """Says nothing."""
    await receive(sock)


async def flood(sock: socket.socket, next_request: Callable[[], bytes]) -> None:
    """Sends requests without a pause while it takes whatever is answered, until the connection ends."""

    async def read_all() -> None:
        while True:
            await receive(sock, 1 << 20)

    reading = asyncio.ensure_future(read_all())
    requests = [b"".join(next_request() for _ in range(64)) for _ in range(FLOOD_POOL)]
    try:
        while not reading.done():
            await send(sock, requests[0])
            requests.append(requests.pop(0))
    finally:
        reading.cancel()
        with suppress(OSError, asyncio.CancelledError):
            await reading


async def flood_unknown_class(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """Requests of classes that do not exist, each under a new name."""

    def next_request() -> bytes:
        name = f"{random.getrandbits(60):015x}"
        return f"GET /{name} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {name}\r\nX-Priority-Class: {name}\r\n\r\n".encode()

    await flood(sock, next_request)


async def flood_new_names(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """Small sound requests, each with an id, a path, and attributes of its own."""

    def next_request() -> bytes:
        name = f"{random.getrandbits(60):015x}"
        spec_of_request = RequestSpec(options=((f"n{name}", 1), ("work", 1)))
        return request_bytes(name, spec_of_request).replace(
            b"Host:", b"X-Attrs: %b=1\r\nHost:" % name.encode()
        )

    await flood(sock, next_request)


async def flood_no_time(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """Small sound requests that have no time left."""

    def next_request() -> bytes:
        return request_bytes(f"{random.getrandbits(60):x}", RequestSpec(timeout_s=0.001))

    await flood(sock, next_request)


async def flood_unsound(spec: CrowdSpec, random: Random, sock: socket.socket, number: int) -> None:
    """What cannot be read, on a new connection each time."""
    noise = (
        b"\x00\xff noise\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /order-place HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    )
    await send(sock, random.choice(noise))
    while True:
        await receive(sock)


BEHAVIOURS: dict[str, Member] = {
    f.__name__: f
    for f in (
        slow_heads, whole_heads, stopped_bodies, unfinished_bodies, slow_bodies, small_chunks, slow_readers,
        stopped_readers, pipelined, idle, flood_unknown_class, flood_new_names, flood_no_time, flood_unsound,
    )
}  # fmt: skip


async def run_member(spec: CrowdSpec, number: int, until: float) -> None:
    """One of the crowd: connects again as soon as its connection has ended."""
    random = Random(f"{spec.seed} {number}")
    member = BEHAVIOURS[spec.behaviour]
    host, _, port = spec.address.rpartition(":")
    while now() < until:
        with socket.socket() as sock, suppress(OSError, TimeoutError):
            sock.setblocking(False)
            if "readers" in spec.behaviour:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
            await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
            await asyncio.wait_for(member(spec, random, sock, number), max(0.01, until - now()))
        await asyncio.sleep(0 if spec.behaviour.startswith("flood") else RECONNECT_PAUSE_S)


async def run_crowd(spec: CrowdSpec) -> None:
    """The whole crowd, until its time is over."""
    until = now() + spec.seconds
    await asyncio.gather(*(run_member(spec, number, until) for number in range(spec.count)))


if __name__ == "__main__":
    asyncio.run(run_crowd(CrowdSpec(**json.loads(sys.argv[1]))))
