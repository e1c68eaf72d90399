"""Shared by the benchmarks of a whole proxy: nodes that answer at once, a discovery that lists them, a closed loop of
callers, and the proxy or relay under test, each in a process on cores of its own. The harness ends every process that
it starts, and uses only loopback addresses."""

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


class RequestServer(asyncio.Protocol):
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
        addresses = []
        for host in hosts:
            server = await loop.create_server(lambda: RequestServer(lambda _: ANSWER), host, 0, backlog=4096)
            addresses.append(f"{host}:{server.sockets[0].getsockname()[1]}")
        full_list = json.dumps(
            {"revision": 1, "complete": True, "members": [member(p) for p in addresses]}
        ).encode()

        def discovery_answer(url: bytes) -> bytes:
            body = b'{"revision":1,"complete":false,"members":[]}' if b"since=" in url else full_list
            return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

        class DiscoveryServer(RequestServer):
            def on_message_complete(self) -> None:
                wait = 2.0 if b"since=" in self.url else 0.0  # a watch without changes
                loop.call_later(wait, self.transport.write, discovery_answer(self.url))

        server = await loop.create_server(lambda: DiscoveryServer(discovery_answer), "127.0.0.1", 0)
        ready.send((addresses, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
        await asyncio.Event().wait()

    uvloop.run(main())


def member(address: str) -> dict[str, Any]:
    return {"id": f"s-{address}", "host_port": address, "locality": "a", "flavor": "std", "cell": 0, "phase": "SERVING",
            "size": 1.0, "up_since_ms": 0}  # fmt: skip


class ClientConnection(asyncio.Protocol):
    """One connection that sends the next request as soon as it has the answer to the previous one."""

    def __init__(self, share: LoadShare, number: int) -> None:
        self.share = share
        self.number = number
        self.serial = 0
        self.parser: Any = httptools.HttpResponseParser(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.send_request()

    def send_request(self) -> None:
        self.serial += 1
        self.sent_at = time.perf_counter()
        self.transport.write(
            b"GET /job-status/1 HTTP/1.1\r\nHost: app\r\nX-Request-ID: c%d-%d\r\nX-Priority-Class: job-status\r\n"
            b"X-Tenant-Id: all\r\nX-Timeout: 60000m\r\n"
            b"Idempotency-Key: c%d-%d\r\n\r\n" % (self.number, self.serial, self.number, self.serial)
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.share.count(time.perf_counter() - self.sent_at, self.parser.get_status_code())
        if self.share.active:
            self.send_request()

    def connection_lost(self, _: Exception | None) -> None:
        if self.share.active:
            self.share.lost += 1


class LoadShare:
    """The part of the load that one load generator process produces."""

    def __init__(self) -> None:
        self.active = True
        self.lost = self.bad = 0
        self.latencies: list[float] = []

    def count(self, duration: float, status: int) -> None:
        if status == 200:
            self.latencies.append(duration)
        else:
            self.bad += 1


def load_generator_process(pipe: Connection, core: int, address: str, first: int, connections: int) -> None:
    os.sched_setaffinity(0, {core})
    host, _, port = address.rpartition(":")

    async def main() -> None:
        loop = asyncio.get_running_loop()
        share = LoadShare()
        for i in range(connections):
            await loop.create_connection(partial(ClientConnection, share, first + i), host, int(port))
        pipe.send("up")
        while (command := await loop.run_in_executor(None, pipe.recv)) != "end":
            share.latencies.clear()
            share.bad = 0
            if command == "begin":
                started = time.perf_counter()
        duration = time.perf_counter() - started
        share.active = False
        pipe.send((share.latencies, share.bad, share.lost, duration))

    uvloop.run(main())


@contextmanager
def nodes(count: int, core: int) -> Iterator[tuple[list[str], str]]:
    """Starts nodes that answer at once, and their discovery. Yields the addresses of both."""
    context = get_context("spawn")
    parent_end, child_end = context.Pipe()
    process = context.Process(
        target=node_process, args=(child_end, core, [f"127.0.1.{i + 1}" for i in range(count)])
    )
    process.start()
    try:
        yield parent_end.recv()
    finally:
        process.kill()
        process.join()


def settings(classes: tuple[str, ...] = ("job-status",)) -> dict[str, Any]:
    services = [
        {"name": c, "idempotency": "retryable", "slo_us": 2_500_000, "hard_limit_us": 60_000_000}
        for c in classes
    ]
    return {
        "allowed": {"max_attempts": 4, "may_cancel": True, "may_duplicate": True, "conn_idle_us": 30_000_000,
                    "connect_timeout_us": 1_000_000, "probing": False, "retry_after": True, "peer_messages": False},
        "services": services, "tenants": [{"name": "all", "share": 1.0, "allowance_per_s": 0.0}],
        "obligations": {"answer_slack_us": 20_000, "ask_every_us": 6_000_000, "cold_from": 0.3, "fall_multiple": 3.0,
                        "drain_grace_us": 2_500_000, "tip_after_us": 1_500_000, "warm_after_us": 0},
        "report": {"columns": ["qps", "util"], "source": "answers"}, "kinds": ["std"], "zones": ["a"],
        "stages": ["front", "jobs", "presses"], "me": 0, "my_zone": 0, "siblings": 1, "tick_us": 5000, "tier": 0,
        "discovery": "on_request", "family_info": {"passes_deadline": True},
    }  # fmt: skip


@contextmanager
def started_process(argv: list[str], core: int, **environ: str) -> Iterator[tuple[str, psutil.Process]]:
    """Starts a process under test, which prints ` listens on HOST:PORT` on standard error. Yields its address and the
    process."""

    def pin_to_core() -> None:
        os.sched_setaffinity(0, {core})

    process = subprocess.Popen(
        argv,
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=pin_to_core,
        env={**os.environ, **environ},
    )
    try:
        assert process.stderr
        line = next((x for x in process.stderr if "listens on " in x), "")
        if not line:
            raise RuntimeError(f"{argv} did not start")
        address = line.partition("listens on ")[2].split()[0].rstrip(',"')
        yield address, psutil.Process(process.pid)
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


@contextmanager
def proxy(
    members: list[str], discovery: str, core: int, sockets: int = 4096, memory_mb: int = 2048
) -> Iterator[Any]:
    config = {
        "name": "bench", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": {"revision": 0, "complete": True, "members": [member(p) for p in members]}, "settings": settings(),
    }  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        argv = [sys.executable, "-B", "-m", "slatehub", "serve"]
        with started_process(argv, core, EDGE_CONFIG=str(path)) as found:
            yield found


def closed_loop_load(
    address: str, connections: int, seconds: float, on: list[int], under_test: psutil.Process
) -> dict[str, float]:
    """Runs a closed loop over `connections` connections. Returns requests per second, CPU per request and latency."""
    context = get_context("spawn")
    callers = []
    share = max(1, connections // len(on))
    for i, core in enumerate(on if connections >= len(on) else on[:1]):
        parent_end, child_end = context.Pipe()
        process = context.Process(
            target=load_generator_process, args=(child_end, core, address, i * 1_000_000, share)
        )
        process.start()
        callers.append((process, parent_end))
    try:
        for _, pipe in callers:
            pipe.recv()
        time.sleep(min(2.0, seconds / 2))  # until the load is steady
        for _, pipe in callers:
            pipe.send("begin")
        cpu_s = sum(under_test.cpu_times()[:2])
        time.sleep(seconds)
        cpu_s = sum(under_test.cpu_times()[:2]) - cpu_s
        for _, pipe in callers:
            pipe.send("end")
        shares = [pipe.recv() for _, pipe in callers]
    finally:
        for process, _ in callers:
            process.kill()
            process.join()
    latencies = sorted(t for s in shares for t in s[0])
    rate = sum(len(s[0]) / s[3] for s in shares)
    return {
        "rate_per_s": round(rate), "cpu_us": round(cpu_s / max(1, len(latencies)) * 1e6, 1),
        "p50_ms": round(latencies[len(latencies) // 2] * 1e3, 3),
        "p99_ms": round(latencies[len(latencies) * 99 // 100] * 1e3, 3),
        "bad": sum(s[1] + s[2] for s in shares),
    }  # fmt: skip
