"""Requests that a caller sends at once on one connection: each that came whole is answered, in order, in its time."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from proxy_rig import ScriptedNode, build_request, running_proxy
from test_line import DispatcherRig, connect_caller, make_server, open_listener

from paddlestep.interface import Entry, ListKind, Status
from slatehub.core.jobs import Job, NodeResponse
from slatehub.drivers.clock import clock
from slatehub.fronts.http1 import caller_connection
from slatehub.fronts.http1.receipt_clock import MAX_SYSTEM_BUFFER_BYTES, PAUSE_US, ReceiptClock
from slatehub.fronts.http1.server import CallerConnection, HttpServer

SHORT_TIMEOUT_US = 100_000
MEMORY_LIMIT_BYTES = 8_000_000


class Service:
    """A server for callers, and a node that answers each request with its body after `node_time_s` seconds."""

    def __init__(self, node_time_s: float, memory_limit: int = MEMORY_LIMIT_BYTES) -> None:
        self.rig = DispatcherRig()
        self.rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
        self.http_server: HttpServer = make_server(self.rig, memory_limit=memory_limit)
        self.http_server.started = True
        self.node_time_s = node_time_s
        loops = (self._run_node, self.http_server._disconnect_loop, self.http_server._heartbeat_loop)
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def _run_node(self) -> None:
        while True:
            while self.rig.attempts:
                attempt = self.rig.attempts.pop(0)
                if not attempt.job.responder.may_begin(attempt.job):
                    self.rig.driver.attempt_ended(attempt, Status.MOOT)
                    continue
                gevent.sleep(self.node_time_s)
                response = NodeResponse(attempt.job.request_id.encode(), "")
                self.rig.driver.attempt_ended(attempt, Status.OK, (), response)
            gevent.sleep(0.001)

    def connect(self) -> Any:
        caller, sock = socket.socketpair()
        self.http_server.connections[CallerConnection(self.http_server, sock)] = None
        return caller


@contextmanager
def service(node_time_s: float) -> Iterator[Service]:
    running = Service(node_time_s)
    yield running
    gevent.killall(running.greenlets)
    for connection in list(running.http_server.connections):
        connection.close()


def order(name: str, length: int = 0, timeout_ms: int = 60_000) -> bytes:
    fields = f"X-Request-ID: {name}\r\nX-Priority-Class: orders\r\nX-Timeout: {timeout_ms}m\r\n"
    return (
        f"POST /orders HTTP/1.1\r\nHost: x\r\n{fields}Content-Length: {length}\r\n\r\n".encode()
        + b"x" * length
    )


def read_answers(caller: Any, count: int) -> list[tuple[int, str]]:
    """Reads up to `count` answers: status and body of each. Fewer if the connection ends."""
    with caller.makefile("rb") as stream, gevent.Timeout(60):
        return read_from(stream, count)


def read_from(stream: Any, count: int) -> list[tuple[int, str]]:
    """As `read_answers`, from a file object, which may hold more."""
    answers = []
    while len(answers) < count and (line := stream.readline()):
        length = 0
        while (header := stream.readline()) not in (b"\r\n", b""):
            if header.lower().startswith(b"content-length:"):
                length = int(header.split(b":")[1])
        answers.append((int(line.split()[1]), stream.read(length).decode()))
    return answers


def send_in_pieces(caller: Any, pieces: list[bytes], pause_s: float) -> None:
    for piece in pieces:
        caller.sendall(piece)
        gevent.sleep(pause_s)


def test_orders_sent_at_once_are_all_answered_however_long_those_before_them_take(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout of an unfinished request ran while the proxy itself did not read on: an order that had come whole was
    told 408, and those behind it got no answer."""
    monkeypatch.setattr(caller_connection, "REQUEST_TIMEOUT_US", SHORT_TIMEOUT_US)
    names = [f"order-{number}" for number in range(60)]
    with service(node_time_s=0.01) as running, running.connect() as caller:
        caller.sendall(b"".join(order(name, 450) for name in names))
        assert read_answers(caller, len(names)) == [(200, name) for name in names]


def test_an_unfinished_request_behind_others_times_out_once_the_caller_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout still holds: it runs from the moment from which the proxy waits for the caller."""
    monkeypatch.setattr(caller_connection, "REQUEST_TIMEOUT_US", SHORT_TIMEOUT_US)
    names = [f"order-{number}" for number in range(30)]
    with service(node_time_s=0.01) as running, running.connect() as caller:
        caller.sendall(b"".join(order(name, 450) for name in names) + order("cut", 450)[:-1])
        answers = read_answers(caller, len(names) + 2)
    assert answers == [*((200, name) for name in names), (408, "request not finished in time\n")]


@pytest.mark.parametrize("seed", range(16))
def test_batches_of_orders_cut_anywhere_are_all_answered(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """1 to 200 orders of 0.1 to 20 KB, cut at random and at the ends of heads, bodies and reads, nodes fast and slow,
    callers that send with pauses shorter than the timeout; memory stays within its limit."""
    monkeypatch.setattr(caller_connection, "REQUEST_TIMEOUT_US", SHORT_TIMEOUT_US)
    rng = random.Random(seed)
    names = [f"order-{number}" for number in range([1, 3, 28, 200][seed % 4])]
    lengths = rng.choice([[0], [0, 450], [0, 100, 1_000, 20_000]])
    orders = [order(name, rng.choice(lengths)) for name in names]
    stream = b"".join(orders)
    ends = [sum(map(len, orders[:count])) for count in range(len(orders))]
    heads = [
        end + data.index(b"\r\n\r\n") + rng.choice([1, 4]) for end, data in zip(ends, orders, strict=True)
    ]
    reads = range(0, len(stream), 16_384)
    cuts = sorted({*rng.choices([*ends, *heads, *reads, rng.randrange(len(stream))], k=12), len(stream)})
    pieces = [stream[start:end] for start, end in zip([0, *cuts], cuts, strict=False)]
    peak = 0
    with service(rng.choice([0, 0.005, 0.01])) as running, running.connect() as caller:
        writer = gevent.spawn(send_in_pieces, caller, pieces, rng.choice([0, 0.001, 0.03]))
        reader = gevent.spawn(read_answers, caller, len(names))
        while not reader.ready():
            peak = max(peak, running.http_server.memory.held)
            gevent.sleep(0.005)
        writer.join()
        assert reader.get() == [(200, name) for name in names]
        assert peak <= MEMORY_LIMIT_BYTES and running.http_server.memory.held == 0


def test_requests_that_came_with_the_last_ones_of_a_drain_are_answered() -> None:
    """The answer that closes a drained connection overlooked requests that were read but not in the queue yet."""
    check = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
    with service(node_time_s=0) as running, running.connect() as caller:
        running.http_server.drain.start(clock())
        caller.sendall(check * 50)
        assert read_answers(caller, 51) == [(503, "drained\n")] * 50


def test_a_timeout_does_not_blame_the_caller_for_input_that_the_process_has_not_read() -> None:
    """After a stall of the process the timeout of an unfinished request may fire before the rest of it is read."""
    with service(node_time_s=0) as running, running.connect() as caller:
        caller.sendall(order("late", 450)[:-1])
        gevent.sleep(0.01)
        (connection,) = running.http_server.connections
        caller.sendall(b"x")
        connection._on_request_timeout()
        assert read_answers(caller, 1) == [(200, "late")]


def test_the_time_of_an_order_counts_from_when_it_came_not_from_when_it_was_parsed() -> None:
    """Orders that were received while those before them were served got their whole time anew when they were parsed,
    and were answered 200 long after their callers' time."""
    orders = b"".join(order(f"order-{number}", 450, timeout_ms=300) for number in range(120))
    deadlines: list[int] = []
    with service(node_time_s=0.01) as running, running.connect() as caller:
        submit = running.rig.driver.submit

        def recorded(job: Job) -> bool:
            deadlines.append(job.deadline)
            return submit(job)

        running.http_server.dispatcher.submit = recorded  # type: ignore[method-assign]
        caller.sendall(orders)
        statuses = [status for status, _ in read_answers(caller, 120)]
    assert len(statuses) == len(deadlines) == 120 and set(statuses) <= {200, 500, 503, 504}
    assert max(deadlines) - min(deadlines) < 300_000


@contextmanager
def narrow_connection(running: Service) -> Iterator[Any]:
    """A caller over TCP whose bytes stay in its own system once 8 kB of them wait at the server."""
    with open_listener() as listener, socket.socket() as caller:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        caller.connect(listener.getsockname())
        sock, _ = listener.accept()
        running.http_server.connections[CallerConnection(running.http_server, sock)] = None
        yield caller


@pytest.mark.parametrize("resets", [False, True])
def test_nothing_is_begun_for_a_caller_that_left_behind_more_than_is_read_ahead(
    monkeypatch: pytest.MonkeyPatch, resets: bool
) -> None:
    """Its close was noticed only once what lay before it had been read."""
    monkeypatch.setattr(caller_connection, "MAX_READ_AHEAD_BYTES", 40_000)
    orders = b"".join(order(f"order-{number}", 3_000) for number in range(60))
    with service(node_time_s=0.2) as running, narrow_connection(running) as caller:
        caller.sendall(orders)
        gevent.sleep(0.1)
        if resets:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, caller_connection.RESET_ON_CLOSE)
        caller.close()
        gevent.sleep(0.1)
        begun = running.rig.driver.job_table.last_number
        gevent.sleep(1.0)
        assert running.rig.driver.job_table.last_number == begun <= 2


def test_an_order_is_served_though_its_caller_sends_more_all_the_time() -> None:
    with service(node_time_s=0.02) as running, narrow_connection(running) as caller:
        sender = gevent.spawn(caller.sendall, b"".join(order(f"order-{n}", 400_000) for n in range(4)))
        assert read_answers(caller, 4) == [(200, f"order-{n}") for n in range(4)]
        sender.join()


def test_an_order_is_refused_where_what_follows_it_is_not_read_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_connection, "READ_BEHIND_TIMEOUT_US", 20_000)
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    caller, connection = connect_caller(make_server(rig), order("first"))
    (attempt,) = rig.attempts
    connection.reader.kill()  # as one that never gets to it
    caller.sendall(order("second"))
    assert not connection.may_begin(attempt.job)
    assert read_answers(caller, 1) == [(503, "refused\n")]
    caller.close()


def test_requests_with_more_behind_them_than_is_read_ahead_are_refused_and_the_last_ones_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_connection, "MAX_READ_AHEAD_BYTES", 40_000)
    orders = b"".join(order(f"order-{number}", 3_000) for number in range(60))
    with service(node_time_s=0.02) as running, narrow_connection(running) as caller:
        caller.sendall(orders)
        answers = read_answers(caller, 60)
    assert len(answers) == 60 and {status for status, _ in answers} == {200, 503}
    # Those that fit into the read-ahead buffer and the kernel's are served.
    assert answers[-10:] == [(200, f"order-{number}") for number in range(50, 60)]


def test_the_time_of_input_that_lay_unread_counts_from_when_it_was_left_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(caller_connection, "MAX_READ_AHEAD_BYTES", 40_000)
    sent_behind = b"".join(order(f"order-{number}", 3_000, timeout_ms=250) for number in range(60))
    with service(node_time_s=0.5) as running, narrow_connection(running) as caller:
        began_at = clock()
        caller.sendall(order("first"))
        gevent.sleep(0.05)
        caller.sendall(sent_behind)
        answers = read_answers(caller, 61)
        elapsed_us = clock() - began_at
    assert [body for status, body in answers if status == 200] == ["first"]
    assert elapsed_us < 650_000


def test_an_order_that_waits_for_memory_is_answered_in_its_time() -> None:
    """It had been sent whole, and its time began anew once the order before it had left the memory."""
    size, timeout_s = 300_000, 0.4
    running = Service(node_time_s=1.2, memory_limit=400_000)
    with running.connect() as first, running.connect() as second:
        first.sendall(order("first", size))
        gevent.sleep(0.05)
        gevent.spawn(second.sendall, order("second", size, timeout_ms=int(timeout_s * 1000)))
        began_at = clock()
        ((status, _),) = read_answers(second, 1)
        assert status == 503 and clock() - began_at < (timeout_s + 0.5) * 1_000_000
        assert read_answers(first, 1) == [(200, "first")]
    gevent.killall(running.greenlets)
    for connection in list(running.http_server.connections):
        connection.close()


def test_input_that_follows_unread_input_without_a_pause_counts_from_when_that_was_left() -> None:
    times = ReceiptClock()
    assert times.received(10, 100, drained=False) == 100
    times.left_unread(1_000)
    times.left_unread(500_000)
    assert times.received(16_384, 2_000_000, drained=False) == 1_000
    assert times.received(100, 2_000_001, drained=True) == 1_000
    assert times.received(100, 2_000_001 + PAUSE_US - 1, drained=True) == 1_000
    after_pause = 2_000_000 + 3 * PAUSE_US
    assert times.received(100, after_pause, drained=True) == after_pause


def test_more_than_the_systems_can_hold_was_not_all_sent_while_it_lay_unread() -> None:
    times = ReceiptClock()
    times.left_unread(1_000)
    assert times.received(MAX_SYSTEM_BUFFER_BYTES, 2_000_000, drained=False) == 1_000
    assert times.received(1, 2_000_001, drained=False) == 2_000_001


class SlowNode(ScriptedNode):
    """Takes 10 ms for each request."""

    def respond(self, conn: Any, head: str, body: bytes) -> bool:
        time.sleep(0.01)
        return super().respond(conn, head, body)


@pytest.mark.parametrize("event", [signal.SIGHUP, signal.SIGTERM, None])
def test_orders_sent_at_once_are_answered_while_the_program_reloads_stops_or_drains(
    tmp_path: Path, event: signal.Signals | None
) -> None:
    """The real program, 40 orders of 1 KB, and a signal or a drain (None) when some of them are answered."""
    orders = [build_request("echo", body=f"order-{number}".ljust(1_000).encode()) for number in range(40)]
    with running_proxy(tmp_path, kind=SlowNode, mgmt="127.0.0.1:0") as p, p.program.connect() as caller:
        caller.sendall(b"".join(orders))
        stream = caller.makefile("rb")
        answers = read_from(stream, 10)
        if event:
            p.program.process.send_signal(event)
        else:
            assert p.program.management_call("PUT", "/healthcheck/fail") == 200
        answers += read_from(stream, 30)
    assert answers == [(200, f"order-{number}".ljust(1_000)) for number in range(40)]
