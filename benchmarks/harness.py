"""What the benchmarks of a whole proxy share: instant nodes, a discovery that lists them, a closed loop of callers, and
the proxy or relay under test, each a process on cores of its own. It owns and ends every process it starts, and stays
on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import httptools
import psutil
import uvloop

ROOT = Path(__file__).parents[1]
BODY = b"x" * 256
ANSWER = b"HTTP/1.1 200 OK\r\nX-Server-Load: qps=3.0,util=0.5\r\nContent-Length: %d\r\n\r\n%b" % (
    len(BODY),
    BODY,
)


def cores() -> list[int]:
    return sorted(os.sched_getaffinity(0))


class Serve(asyncio.Protocol):
    """Answers each request at once with `answer(target)`."""

    def __init__(self, answer: Callable[[bytes], bytes]) -> None:
        self.answer = answer
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_message_complete(self) -> None:
        self.transport.write(self.answer(self.url))


def node_process(ready: Connection, core: int, hosts: list[str]) -> None:
    os.sched_setaffinity(0, {core})

    async def main() -> None:
        loop = asyncio.get_running_loop()
        places = []
        for host in hosts:
            server = await loop.create_server(lambda: Serve(lambda _: ANSWER), host, 0, backlog=4096)
            places.append(f"{host}:{server.sockets[0].getsockname()[1]}")
        listed = json.dumps(
            {"revision": 1, "complete": True, "members": [member(p) for p in places]}
        ).encode()

        def tell(url: bytes) -> bytes:
            body = b'{"revision":1,"complete":false,"members":[]}' if b"since=" in url else listed
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

        class Listing(Serve):
            def on_message_complete(self) -> None:
                wait = 2.0 if b"since=" in self.url else 0.0  # a watch with nothing to tell
                loop.call_later(wait, self.transport.write, tell(self.url))

        server = await loop.create_server(lambda: Listing(tell), "127.0.0.1", 0)
        ready.send((places, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
        await asyncio.Event().wait()

    uvloop.run(main())


def member(place: str) -> dict[str, Any]:
    return {"id": f"s-{place}", "host_port": place, "locality": "a", "flavor": "std", "cell": 0, "phase": "SERVING",
            "size": 1.0, "up_since_ms": 0}  # fmt: skip


class ClientConnection(asyncio.Protocol):
    """One connection that asks again as soon as it has its answer."""

    def __init__(self, share: Share, number: int) -> None:
        self.share = share
        self.number = number
        self.serial = 0
        self.parser: Any = httptools.HttpResponseParser(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        self.serial += 1
        self.began = time.perf_counter()
        self.transport.write(
            b"GET /job-status/1 HTTP/1.1\r\nHost: app\r\nX-Request-ID: c%d-%d\r\nX-Priority-Class: job-status\r\n"
            b"X-Tenant-Id: all\r\nX-Timeout: 60000m\r\n"
            b"Idempotency-Key: c%d-%d\r\n\r\n" % (self.number, self.serial, self.number, self.serial)
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.share.count(time.perf_counter() - self.began, self.parser.get_status_code())
        if self.share.on:
            self.ask()

    def connection_lost(self, _: Exception | None) -> None:
        if self.share.on:
            self.share.lost += 1


class Share:
    """One calling process's part of the load."""

    def __init__(self) -> None:
        self.on = True
        self.lost = self.bad = 0
        self.times: list[float] = []

    def count(self, took: float, status: int) -> None:
        if status == 200:
            self.times.append(took)
        else:
            self.bad += 1


def load_generator_process(pipe: Connection, core: int, place: str, first: int, connections: int) -> None:
    os.sched_setaffinity(0, {core})
    host, _, port = place.rpartition(":")

    async def main() -> None:
        loop = asyncio.get_running_loop()
        share = Share()
        for i in range(connections):
            await loop.create_connection(partial(ClientConnection, share, first + i), host, int(port))
        pipe.send("up")
        while (word := await loop.run_in_executor(None, pipe.recv)) != "end":
            share.times.clear()
            share.bad = 0
            if word == "begin":
                began = time.perf_counter()
        took = time.perf_counter() - began
        share.on = False
        pipe.send((share.times, share.bad, share.lost, took))

    uvloop.run(main())


@contextmanager
def nodes(count: int, core: int) -> Iterator[tuple[list[str], str]]:
    """Instant nodes and their discovery: their addresses."""
    context = get_context("spawn")
    here, there = context.Pipe()
    process = context.Process(
        target=node_process, args=(there, core, [f"127.0.1.{i + 1}" for i in range(count)])
    )
    process.start()
    try:
        yield here.recv()
    finally:
        process.kill()
        process.join()


def settings(classes: tuple[str, ...] = ("job-status",)) -> dict[str, Any]:
    kinds = [
        {"name": c, "idempotency": "retryable", "slo_us": 2_500_000, "hard_limit_us": 60_000_000}
        for c in classes
    ]
    return {
        "allowed": {"max_attempts": 4, "may_cancel": True, "may_duplicate": True, "conn_idle_us": 30_000_000,
                    "connect_timeout_us": 1_000_000, "probing": False, "retry_after": True, "peer_messages": False},
        "services": kinds, "tenants": [{"name": "all", "share": 1.0, "allowance_per_s": 0.0}],
        "obligations": {"answer_slack_us": 20_000, "ask_every_us": 6_000_000, "cold_from": 0.3, "fall_multiple": 3.0,
                        "drain_grace_us": 2_500_000, "tip_after_us": 1_500_000, "warm_after_us": 0},
        "report": {"columns": ["qps", "util"], "source": "answers"}, "kinds": ["std"], "zones": ["a"],
        "stages": ["front", "jobs", "presses"], "me": 0, "my_zone": 0, "siblings": 1, "tick_us": 5000, "tier": 0,
        "discovery": "on_request", "family_info": {"passes_deadline": True},
    }  # fmt: skip


@contextmanager
def started_process(argv: list[str], core: int, **environ: str) -> Iterator[tuple[str, psutil.Process]]:
    """A process under test that says ` listens on HOST:PORT` on standard error; its address and itself."""

    def on_its_core() -> None:
        os.sched_setaffinity(0, {core})

    process = subprocess.Popen(
        argv,
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=on_its_core,
        env={**os.environ, **environ},
    )
    try:
        assert process.stderr
        line = next((x for x in process.stderr if "listens on " in x), "")
        if not line:
            raise RuntimeError(f"{argv} did not start")
        place = line.partition("listens on ")[2].split()[0].rstrip(',"')
        yield place, psutil.Process(process.pid)
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


@contextmanager
def proxy(
    members: list[str], discovery: str, core: int, sockets: int = 4096, memory_mb: int = 2048
) -> Iterator[Any]:
    tree = {
        "name": "bench", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"revision": 0, "complete": True, "members": [member(p) for p in members]}, "settings": settings(),
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(tree))
        argv = [sys.executable, "-B", "-m", "slatehub", "serve"]
        with started_process(argv, core, EDGE_CONFIG=str(path)) as found:
            yield found


def closed_loop_load(
    place: str, connections: int, seconds: float, on: list[int], under_test: psutil.Process
) -> dict[str, float]:
    """A closed loop of so many connections: requests a second, CPU per request and latency."""
    context = get_context("spawn")
    callers = []
    share = max(1, connections // len(on))
    for i, core in enumerate(on if connections >= len(on) else on[:1]):
        here, there = context.Pipe()
        process = context.Process(
            target=load_generator_process, args=(there, core, place, i * 1_000_000, share)
        )
        process.start()
        callers.append((process, here))
    try:
        for _, pipe in callers:
            pipe.recv()
        time.sleep(min(2.0, seconds / 2))  # until it runs evenly
        for _, pipe in callers:
            pipe.send("begin")
        used = sum(under_test.cpu_times()[:2])
        time.sleep(seconds)
        used = sum(under_test.cpu_times()[:2]) - used
        for _, pipe in callers:
            pipe.send("end")
        shares = [pipe.recv() for _, pipe in callers]
    finally:
        for process, _ in callers:
            process.kill()
            process.join()
    times = sorted(t for s in shares for t in s[0])
    rate = sum(len(s[0]) / s[3] for s in shares)
    return {
        "rate_per_s": round(rate), "cpu_us": round(used / max(1, len(times)) * 1e6, 1),
        "p50_ms": round(times[len(times) // 2] * 1e3, 3), "p99_ms": round(times[len(times) * 99 // 100] * 1e3, 3),
        "bad": sum(s[1] + s[2] for s in shares),
    }  # fmt: skip
