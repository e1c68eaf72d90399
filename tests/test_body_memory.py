"""Memory of request bodies: it is counted until it is free, it is freed without the garbage collector, and the private
memory of the process stays under its limit whatever the sizes and the clients that leave."""

from __future__ import annotations

import gc
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from typing import Any

import gevent
import pytest
from proxy_rig import ScriptedNode, build_request, header_value, read_head, running_proxy
from test_line import DispatcherRig, connect_caller, make_pool, make_server, open_listener, request_head

from paddlestep.interface import Entry, ListKind, Status
from slatehub.core.jobs import Job, NodeRequest
from slatehub.fronts.validation import ReceivedRequest

MEGABYTE = 1_000_000
MEMORY_LIMIT_BYTES = 8 * MEGABYTE
SAMPLE_INTERVAL_S = 0.005  # between two looks at the memory of a process


def serve_silently(listener: Any, delay_s: float) -> None:
    """A node that begins to read after this delay and never answers."""

    def read(conn: Any) -> None:
        gevent.sleep(delay_s)
        with suppress(OSError):
            while conn.recv(1 << 20):
                pass
        conn.close()

    while True:
        gevent.spawn(read, listener.accept()[0])


@pytest.mark.parametrize("node_delay_s", [0, 60])
def test_bodies_of_callers_that_leave_are_freed_without_garbage_collection(node_delay_s: float) -> None:
    """A reference cycle of job and connection kept the bodies of callers that had left until the garbage collector ran.
    They leave while the node works on the order, or (60) while it is still being written to the node."""
    kinds = (Job, NodeRequest, ReceivedRequest)
    gc.collect()
    others = [o for o in gc.get_objects() if type(o) in kinds]  # left over by other tests
    gc.disable()
    try:
        with open_listener() as listener:
            node = gevent.spawn(serve_silently, listener, node_delay_s)
            rig = DispatcherRig()
            pool = make_pool(rig, listener)
            rig.driver.transport = pool
            rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
            http_server = make_server(rig, memory_limit=MEMORY_LIMIT_BYTES)
            for name in "abc":
                caller, connection = connect_caller(http_server, request_head(name, 6 * MEGABYTE))
                caller.sendall(b"x" * (6 * MEGABYTE))
                with gevent.Timeout(20):
                    while name not in rig.driver.job_table.by_request_id:
                        gevent.sleep(0.001)
                gevent.sleep(0.05)
                connection.close()
                del connection
                caller.close()
                with gevent.Timeout(20):
                    while http_server.memory.held or pool.open_connections:
                        gevent.sleep(0.001)
                run = [o for o in gc.get_objects() if type(o) in kinds]
                assert not [type(o) for o in run if not any(o is x for x in others)]
            node.kill()
    finally:
        gc.enable()


def test_a_body_counts_until_its_last_attempt_has_ended() -> None:
    """The bytes of a caller that left counted as free at once, also while an attempt that may not be cancelled still
    held the body: the next bodies were let in beside it."""
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    rig.cancel = lambda attempt: None  # type: ignore[method-assign]  # the attempt goes on
    http_server = make_server(rig, memory_limit=MEMORY_LIMIT_BYTES)
    caller, connection = connect_caller(http_server, request_head("a", MEGABYTE))
    caller.sendall(b"x" * MEGABYTE)
    with gevent.Timeout(20):
        while not rig.attempts:
            gevent.sleep(0.001)
        connection.close()
        gevent.sleep(0.01)
        assert http_server.memory.held >= MEGABYTE
        rig.driver.attempt_ended(rig.attempts.pop(), Status.CANCELLED)
        while http_server.memory.held:
            gevent.sleep(0.001)
    caller.close()


class WorkingNode(ScriptedNode):
    """Takes 0.8 s for an order and answers with its body, where the path asks for that."""

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        if not head.split(" ")[1].endswith("/echo"):
            time.sleep(0.8)
        return super().respond(conn, head, body)


class MemoryWatch:
    """Looks at the private memory of a process until the block ends. `highest` is in bytes."""

    def __init__(self, pid: int) -> None:
        self.status = Path(f"/proc/{pid}/status")
        self.highest = 0
        self.ended = threading.Event()

    def _watch(self) -> None:
        while not self.ended.wait(SAMPLE_INTERVAL_S):
            rows = self.status.read_text().splitlines()
            private = sum(int(row.split()[1]) for row in rows if row.startswith(("RssAnon", "RssShmem")))
            self.highest = max(self.highest, private * 1024)

    def __enter__(self) -> MemoryWatch:
        self.thread = threading.Thread(target=self._watch)
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.ended.set()
        self.thread.join()


@pytest.mark.parametrize("memory_mb, sockets, body_mb, burst", [(64, 256, 4, 8), (192, 1024, 8, 12)])
def test_bursts_of_callers_that_leave_keep_the_process_under_its_limit(
    tmp_path: Path, memory_mb: int, sockets: int, body_mb: int, burst: int
) -> None:
    """The second burst of large orders came in beside the bodies of the first one, whose callers had left."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    body = bytes(range(250)) * (body_mb * 4_000)

    def leave(data: bytes) -> None:
        with p.program.connect() as conn, suppress(OSError):
            conn.sendall(data)
            time.sleep(0.4)

    with running_proxy(tmp_path, nodes=8, kind=WorkingNode, limits=limits) as p:
        with MemoryWatch(p.program.process.pid) as watch, ThreadPoolExecutor(burst) as pool:
            for _ in range(3):
                list(pool.map(leave, [build_request("ok", body=body) for _ in range(burst)]))
        assert watch.highest < memory_mb << 20
        with p.program.connect() as conn:
            conn.sendall(build_request("ok"))
            assert read_head(conn).startswith("HTTP/1.1 200 ")


INTERLEAVED_BODIES = """
from pathlib import Path
from slatehub.fronts.http1.request_parser import RequestParser

SIZE, PIECE = 16_000_000, bytes(16_000)
counted = 0

def count(change):
    global counted
    counted += change

def private_bytes():
    rows = Path("/proc/self/status").read_text().splitlines()
    return 1024 * sum(int(row.split()[1]) for row in rows if row.startswith(("RssAnon", "RssShmem")))

head = b"POST /orders HTTP/1.1\\r\\nHost: x\\r\\n" + FRAMING + b"\\r\\n\\r\\n"
piece = b"%x\\r\\n%b\\r\\n" % (len(PIECE), PIECE) if b"chunked" in FRAMING else PIECE
before, excess = private_bytes(), 0
parsers = [RequestParser(count_bytes=count) for _ in range(2)]
for step in range(10 * SIZE // len(PIECE)):
    for number, parser in enumerate(parsers):
        position = (step + number * SIZE // len(PIECE) // 2) % (SIZE // len(PIECE))
        if position == 0 or not parser.in_request:
            parser.parsed.clear()
            parsers[number] = parser = RequestParser(count_bytes=count)
            parser.feed(head)
        parser.feed(piece)
    if step % 20 == 0:
        excess = max(excess, private_bytes() - before - counted)
print(excess)
"""


@pytest.mark.parametrize("framing", ["Content-Length: 16000000", "Transfer-Encoding: chunked"])
def test_bodies_take_no_more_memory_than_is_counted_for_them(framing: str) -> None:
    """A body that grew piece by piece was copied by the allocator, old and new beside each other, and what was freed
    stayed with the process: twice its size and more, of which its size was counted."""
    script = f"FRAMING = {framing.encode()!r}\n{INTERLEAVED_BODIES}"
    argv = [sys.executable, "-B", "-c", script]
    done = subprocess.run(argv, cwd=Path(__file__).parents[1], capture_output=True, text=True, timeout=120)
    assert done.returncode == 0, done.stderr
    assert int(done.stdout) < 2 * MEGABYTE


@pytest.mark.parametrize(
    "memory_mb, sockets, body_mb, calls", [(64, 256, 13, 50), (96, 256, 16, 50), (192, 1024, 32, 25)]
)
def test_large_bodies_keep_the_process_under_its_limit(
    tmp_path: Path, memory_mb: int, sockets: int, body_mb: int, calls: int
) -> None:
    """25 callers send orders of one size, one at a time each, and get answers as long: the memory that the allocator
    kept took the process over its limit."""
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
    body = bytes(range(250)) * (body_mb * 4_000)

    def call(data: bytes) -> bool:
        with p.program.connect() as conn:
            conn.sendall(data)
            head, stream = read_head(conn), conn.makefile("rb")
            status, answer = head.split(" ")[1], stream.read(int(header_value(head, "content-length")))
        return status == "503" or (status == "200" and answer == body)

    with running_proxy(tmp_path, nodes=8, kind=WorkingNode, limits=limits) as p:
        with MemoryWatch(p.program.process.pid) as watch, ThreadPoolExecutor(25) as pool:
            assert all(pool.map(call, [build_request("echo", body=body) for _ in range(calls)]))
        assert watch.highest < memory_mb << 20
