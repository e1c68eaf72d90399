"""The measured memory of the process: what it takes from requests, when free memory is given back, and what is not kept
twice."""

from __future__ import annotations

import subprocess
import sys
import tracemalloc
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.socket import create_connection
from test_line import DispatcherRig, connect_caller, make_server, open_listener, request_head, run_event_loop

from paddlestep.interface import Entry, ListKind, Status
from slatehub.core.jobs import NodeRequest, NodeResponse
from slatehub.core.limits import READ_CHUNK_BYTES
from slatehub.core.memory import SHORT_READ_BYTES, MemoryBudget
from slatehub.decisions.memory_pressure import (
    MAX_RELEASE_INTERVAL_US,
    MIN_MARGIN_BYTES,
    MIN_RELEASE_INTERVAL_US,
    MemoryPressure,
    MemoryReading,
)
from slatehub.drivers.memory_monitor import MemoryMonitor
from slatehub.drivers.pipe import Pipe
from slatehub.drivers.process_memory import ProcessMemory
from slatehub.drivers.upstream import UpstreamResponse, serialize_request
from slatehub.fronts.http1 import caller_connection

MB = 1 << 20
ROOT = Path(__file__).parents[1]


class FakeProcessMemory(ProcessMemory):
    """A process with so many bytes in use and so many that the allocator keeps."""

    def __init__(self, used: int, free: int = 0) -> None:
        self.used, self.free = used, free

    def private_bytes(self) -> int:
        return self.used + self.free

    def release_free(self) -> None:
        self.free = 0


def make_monitor(memory: MemoryBudget, process: ProcessMemory, unreceived: int = 0) -> MemoryMonitor:
    monitor = MemoryMonitor(memory, lambda: 64 * MB, lambda: unreceived, lambda: 0, process)
    memory.on_growth = monitor.measure
    monitor.measure()
    return monitor


@pytest.mark.parametrize(
    "private_mb, counted_mb, unreceived_mb, excess_mb",
    [(42, 0, 0, 0), (50, 0, 0, 8), (50, 8, 0, 0), (50, 8, 4, 4), (60, 18, 18, 18)],
)
def test_what_a_process_takes_beyond_its_plan_is_an_excess(
    private_mb: int, counted_mb: int, unreceived_mb: int, excess_mb: int
) -> None:
    pressure = MemoryPressure(64 * MB, 20 * MB)  # 2 MB of margin
    reading = MemoryReading(private_mb * MB, counted_mb * MB, unreceived_mb * MB)
    assert pressure.excess(reading) == excess_mb * MB


def test_a_process_is_critical_where_only_the_margin_is_left() -> None:
    pressure = MemoryPressure(64 * MB, 20 * MB)
    assert not pressure.is_critical(62 * MB) and pressure.is_critical(62 * MB + 1)
    assert MemoryPressure(8 * MB, MB).margin == MIN_MARGIN_BYTES


def test_free_memory_is_given_back_less_often_while_that_brings_nothing() -> None:
    pressure = MemoryPressure(64 * MB, 20 * MB)
    reading, now = MemoryReading(45 * MB, 0, 0), 0
    for interval in (MIN_RELEASE_INTERVAL_US * 2, MIN_RELEASE_INTERVAL_US * 4):
        assert pressure.release_due(now, reading)
        pressure.released(now, 0)
        assert not pressure.release_due(now + interval - 1, reading)
        now += interval
    pressure.released(now + MAX_RELEASE_INTERVAL_US, 10 * MB)
    assert pressure.release_due(now + MAX_RELEASE_INTERVAL_US + MIN_RELEASE_INTERVAL_US, reading)
    assert not pressure.release_due(now + 10 * MAX_RELEASE_INTERVAL_US, MemoryReading(30 * MB, 0, 0))


def test_free_memory_is_given_back_before_requests_get_less() -> None:
    process, memory = FakeProcessMemory(25 * MB, 30 * MB), MemoryBudget(18 * MB)
    make_monitor(memory, process)
    assert process.free == 0 and memory.held == 0


def test_requests_get_less_memory_by_what_is_in_use_beyond_the_plan_and_get_it_back() -> None:
    process, memory = FakeProcessMemory(50 * MB), MemoryBudget(18 * MB)
    released: list[bool] = []
    memory.on_release = lambda: released.append(True)
    monitor = make_monitor(memory, process)
    assert memory.excess > 8 * MB and memory.counted == 0 and not released
    process.used = 25 * MB
    monitor.measure()
    assert memory.held == 0 and released


def test_small_requests_keep_the_reserve_however_much_the_process_takes() -> None:
    memory = MemoryBudget(18 * MB)
    make_monitor(memory, FakeProcessMemory(500 * MB))
    memory.count(MB)
    assert memory.short and not memory.full and memory.critical


def test_memory_is_measured_again_when_much_more_is_counted() -> None:
    process, memory = FakeProcessMemory(25 * MB), MemoryBudget(18 * MB)
    make_monitor(memory, process)
    process.used = 55 * MB
    memory.count(1000)
    assert not memory.excess
    memory.count(MB)
    assert memory.excess


def test_bodies_that_are_announced_and_not_received_do_not_hide_an_excess() -> None:
    memory = MemoryBudget(18 * MB)
    monitor = make_monitor(memory, FakeProcessMemory(50 * MB), unreceived=16 * MB)
    memory.count(16 * MB)
    monitor.measure()
    assert memory.excess > 7 * MB


def test_private_memory_is_what_the_system_says_and_free_memory_goes_back_to_it() -> None:
    code = (
        "from pathlib import Path\n"
        "from slatehub.drivers.process_memory import ProcessMemory\n"
        "memory = ProcessMemory()\n"
        "pieces = [bytes(9000) for _ in range(4000)]\n"
        "del pieces[::2], pieces[::2]\n"
        "before = memory.private_bytes()\n"
        "rows = dict(r.split(':') for r in Path('/proc/self/status').read_text().splitlines() if r.startswith('Rss'))\n"
        "assert abs(before - int(rows['RssAnon'].split()[0]) * 1024) < 2_000_000, (before, rows)\n"
        "memory.release_free()\n"
        "print((before - memory.private_bytes()) // 1_000_000)\n"
        "memory.close()\n"
        "assert memory.private_bytes() == 0\n"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and int(done.stdout) >= 10, done


def test_a_body_is_turned_down_where_the_process_has_no_memory_for_it() -> None:
    http_server = make_server(DispatcherRig(), memory_limit=8 * MB)
    monitor = make_monitor(http_server.memory, FakeProcessMemory(60 * MB))
    monitor.unreceived_bytes = http_server.unreceived_bytes
    caller, _ = connect_caller(http_server, request_head("a", 4 * MB))
    caller.sendall(bytes(64 * 1024))
    gevent.sleep(0.02)
    assert caller.recv(100).startswith(b"HTTP/1.1 503 ")
    for connection in list(http_server.connections):
        connection.close()
    caller.close()


def test_the_log_names_the_request_that_is_rejected_for_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[tuple[str, Any]] = []
    monkeypatch.setattr(
        "slatehub.fronts.http1.caller_connection.log_event",
        lambda topic, text, level="info", **fields: lines.append((topic, fields.get("request"))),
    )
    http_server = make_server(DispatcherRig(), memory_limit=8 * MB)
    http_server.memory.count(8 * MB)
    caller, _ = connect_caller(http_server, request_head("a", 4 * MB))
    assert caller.recv(100).startswith(b"HTTP/1.1 503 ")
    assert lines == [("memory", "a"), ("callers", "a")]
    caller.close()


def test_the_log_names_the_request_that_was_not_finished_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[tuple[str, Any]] = []
    monkeypatch.setattr(caller_connection, "REQUEST_TIMEOUT_US", 0)
    monkeypatch.setattr(caller_connection, "FIRST_REQUEST_TIMEOUT_US", 0)
    monkeypatch.setattr(caller_connection, "BODY_START_TIMEOUT_US", 0)
    monkeypatch.setattr(
        caller_connection,
        "log_event",
        lambda topic, text, level="info", **fields: lines.append((topic, fields.get("request"))),
    )
    caller, _ = connect_caller(make_server(DispatcherRig()), request_head("a", 100))
    assert caller.recv(100).startswith(b"HTTP/1.1 408 ")
    assert lines == [("callers", "a")]
    caller.close()


def test_the_log_tells_when_memory_gets_short_and_when_that_is_over(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(
        "slatehub.drivers.memory_monitor.log_event",
        lambda topic, text, level="info", **fields: lines.append(text),
    )
    process = FakeProcessMemory(20 * MB)
    monitor = make_monitor(MemoryBudget(18 * MB), process)
    for used_mb in (40, 50, 63, 20):
        process.used = used_mb * MB
        monitor.measure()
    assert [line for line in lines if not line.startswith("gave ")] == [
        "private memory has passed 5/8 of the limit",
        "private memory has passed 6/8 of the limit",
        "memory pressure begins: requests get less memory",
        "private memory has passed 7/8 of the limit",
        "new connections wait: memory is full",
        "memory pressure ends",
        "new connections are accepted again",
    ]


def test_memory_is_measured_with_each_new_connection_that_may_take_much() -> None:
    http_server = make_server(DispatcherRig())
    measured = 0

    def measure() -> None:
        nonlocal measured
        measured += 1

    http_server.memory.on_growth = measure
    with open_listener() as listener, create_connection(listener.getsockname()):
        http_server._add_connection(listener.accept()[0])
    assert measured == 1
    for connection in list(http_server.connections):
        connection.close()


def test_a_new_connection_takes_the_place_of_an_idle_one_while_memory_is_full() -> None:
    http_server = make_server(DispatcherRig())
    callers = [connect_caller(http_server, b"")[0] for _ in range(2)]
    assert http_server._make_room() and len(http_server.connections) == 2
    http_server.memory.critical = True
    assert http_server._make_room() and len(http_server.connections) == 1
    for connection in list(http_server.connections):
        connection.close()
    assert not http_server._make_room()
    for caller in callers:
        caller.close()


def test_an_answer_that_is_taken_slowly_is_not_kept_twice() -> None:
    size = 60_000
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    caller, connection = connect_caller(make_server(rig), request_head("a"))
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    tracemalloc.start()
    rig.driver.attempt_ended(rig.attempts.pop(), Status.OK, (), NodeResponse(bytes(size), ""))
    run_event_loop()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert connection.write_timer and kept < size * 3 // 2
    connection.close()
    caller.close()


def test_a_long_answer_is_forwarded_in_small_pieces_from_the_first_on_while_memory_is_short() -> None:
    memory = MemoryBudget(MB)
    memory.count(MB)
    response = UpstreamResponse(64 * 1024, 4 * MB, memory)
    response.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n")
    response.feed(bytes(SHORT_READ_BYTES))
    assert response.streamed


@pytest.mark.parametrize("short", [False, True])
def test_a_long_answer_counts_as_much_as_its_pieces_take(short: bool) -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, memory_limit=MB)
    memory = http_server.memory
    others = memory.large_limit if short else 0
    memory.count(others)
    caller, connection = connect_caller(http_server, request_head("a"))
    before = memory.held
    answer = NodeResponse(bytes(SHORT_READ_BYTES), "", Pipe(lambda: None), 2_000_000)
    rig.driver.attempt_ended(rig.attempts.pop(), Status.OK, (), answer)
    run_event_loop()
    piece = SHORT_READ_BYTES if short else READ_CHUNK_BYTES
    assert memory.held - before <= SHORT_READ_BYTES + 2 * piece
    connection.close()
    caller.close()
    assert memory.held == others


def test_a_body_that_is_written_slowly_to_a_node_is_not_kept_twice() -> None:
    body = bytes(60_000)
    *_, piece = serialize_request(NodeRequest("POST", "/", (), body), "node")
    assert isinstance(piece, memoryview) and piece.obj is body
