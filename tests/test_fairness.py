"""One caller, whatever it sends and however fast, does not keep the others waiting."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent.socket import create_connection, socketpair
from proxy_rig import SAFE_CLASS, ProxyRig, ScriptedNode, build_request, read_response, running_proxy
from test_line import DispatcherRig, connect_caller, make_server, open_listener, request_head

from paddlestep.interface import Entry, ListKind, Status
from slatehub.core.jobs import NodeResponse
from slatehub.decisions.stall import StallDetector
from slatehub.drivers.clock import clock
from slatehub.drivers.pipe import Pipe
from slatehub.fronts.http1 import caller_connection, server
from slatehub.fronts.http1.request_parser import (
    MAX_CHUNKED_SLICE_BYTES,
    MAX_PARSE_US,
    MIN_CHUNKED_SLICE_BYTES,
    RequestParser,
)
from slatehub.fronts.http1.server import ACCEPT_BACKLOG_US, MAX_ACCEPT_WAIT_US, CallerConnection, HttpServer

IN_FLIGHT = 500  # requests of the bad caller on its connection
CALL_TIMEOUT = "2000m"  # X-Timeout of the usual callers
LATEST_ANSWER_S = 2.5  # a call that is answered later is lost: half a second after its time
USUAL_CALLS = 20
# What a caller may send again the moment it is turned away: answered by the proxy itself, or refused by the decisions.
BAD_REQUESTS = {
    "unknown class": b"GET /none HTTP/1.1\r\nHost: x\r\nX-Priority-Class: none\r\n\r\n",
    "ready": b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
    "no time left": build_request("ok", SAFE_CLASS, X_Request_ID="bad", X_Timeout="0m"),
}


@contextmanager
def flood(address: tuple[str, int], request: bytes) -> Iterator[None]:
    """Keeps IN_FLIGHT of these requests on one connection and sends each again as it is answered."""
    ended = threading.Event()

    def send() -> None:
        with suppress(OSError), socket.create_connection(address) as conn:
            conn.sendall(request * IN_FLIGHT)
            rest = b""
            while not ended.is_set() and (data := conn.recv(1 << 18)):
                data = rest + data
                rest = data[-8:]  # an answer's first bytes may be cut; they are too short to count twice
                conn.sendall(request * data.count(b"HTTP/1.1 "))

    thread = threading.Thread(target=send)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


class PlainNode(ScriptedNode):
    """Not judged by the audit: the bad caller uses one request id again and again."""


def call(p: ProxyRig, number: int) -> int:
    """Status of a usual call, on a new connection. Its answer is in time."""
    started_at = time.monotonic()
    with p.program.connect() as conn:
        conn.sendall(build_request("ok", SAFE_CLASS, X_Request_ID=f"usual-{number}", X_Timeout=CALL_TIMEOUT))
        status = read_response(conn)[0]
    assert time.monotonic() - started_at < LATEST_ANSWER_S
    return status


@pytest.mark.parametrize("kind", BAD_REQUESTS)
def test_a_caller_that_sends_again_the_moment_it_is_answered_stops_nobody(tmp_path: Path, kind: str) -> None:
    """The reader and the handler of its connection woke each other and never gave the event loop a turn: nobody else
    was answered as long as it went on."""
    # Beside a flood of orders the decisions may refuse a usual one, at once.
    expected = {200, 503} if kind == "no time left" else {200}
    with running_proxy(tmp_path, nodes=2, kind=PlainNode) as p, flood(p.program.address, BAD_REQUESTS[kind]):
        assert {call(p, number) for number in range(USUAL_CALLS)} <= expected


def test_a_large_answer_leaves_the_others_their_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that gives and a caller that takes without a wait passed a whole answer of 32 MB through the pipe in one
    callback of the event loop."""
    chunks = 20_000
    _, connection = connect_caller(make_server(DispatcherRig()), b"")
    monkeypatch.setattr(CallerConnection, "_write", lambda self, data: None)
    pipe = Pipe(lambda: None)
    turns: list[int] = []

    def give() -> None:
        for _ in range(chunks):
            pipe.write_chunk(b"x")
        pipe.finish()

    def serve_others() -> None:
        while True:
            gevent.sleep(0.001)
            turns.append(1)

    giver, others = gevent.spawn(give), gevent.spawn(serve_others)
    connection._stream_response(b"", NodeResponse(b"x", "", pipe, chunks + 1), False)
    giver.join()
    others.kill()
    connection.close()
    assert len(turns) > 3


def test_a_caller_whose_input_takes_long_to_parse_lets_the_others_in_between(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """16 kB in chunks of one byte were parsed in one go, and 200 callers that sent them kept the others waiting for
    seconds."""
    fed: list[RequestParser] = []
    feed = RequestParser.feed

    def recorded(parser: RequestParser, data: bytes, received_at: int = 0) -> None:
        fed.append(parser)
        feed(parser, data, received_at)

    monkeypatch.setattr(RequestParser, "feed", recorded)
    rig = DispatcherRig()
    http_server = make_server(rig)
    head = request_head("a").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    pairs = [socketpair() for _ in range(2)]
    pairs[0][0].sendall(head + b"1\r\nx\r\n" * 2_600)
    pairs[1][0].sendall(request_head("b"))
    connections = [CallerConnection(http_server, sock) for _, sock in pairs]
    gevent.sleep(0.05)
    tedious, usual = (connection.parser for connection in connections)
    assert fed.count(tedious) > 2 and usual in fed[: fed.index(tedious) + 3]
    for (caller, _), connection in zip(pairs, connections, strict=True):
        connection.close()
        caller.close()


def test_a_body_of_small_chunks_is_parsed_in_smaller_slices() -> None:
    parser = RequestParser()
    parser.feed(request_head("a").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
    assert parser.wanted_bytes == MAX_CHUNKED_SLICE_BYTES
    for _ in range(9):
        parser.note_parse_time(MAX_PARSE_US + 1)
    assert parser.wanted_bytes == MIN_CHUNKED_SLICE_BYTES
    for _ in range(9):
        parser.note_parse_time(MAX_PARSE_US)
    assert parser.wanted_bytes == MAX_CHUNKED_SLICE_BYTES


def test_a_large_body_is_read_for_a_while_in_each_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    """16 kB a turn left an order of megabytes waiting for seconds where hundreds of others took their turns."""
    monkeypatch.setattr(caller_connection, "TURN_US", 10_000_000)
    size = 3_000_000
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, memory_limit=10_000_000)
    caller, connection = connect_caller(http_server, request_head("a", size))
    sending = gevent.spawn(caller.sendall, bytes(size))
    turns = set()  # when the reader went on after it had given the others a turn
    with gevent.Timeout(20):
        while not rig.attempts:
            turns.add(connection.turn_began_at)
            gevent.sleep(0)
    assert len(turns) <= 2
    sending.get()
    connection.close()
    caller.close()


def test_new_connections_that_wait_while_all_are_in_use_are_reset_in_time() -> None:
    """They waited for as long as the others took, and were answered seconds after their time."""
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, max_connections=1)
    with open_listener() as listener, gevent.Timeout(20):
        http_server.start(listener)
        with (
            create_connection(listener.getsockname()) as first,
            create_connection(listener.getsockname()) as second,
        ):
            first.sendall(request_head("a"))
            while not rig.attempts:
                gevent.sleep(0.001)
            second.sendall(request_head("b"))
            began_at = clock()
            with pytest.raises(ConnectionResetError):
                second.recv(100)
            assert clock() - began_at < MAX_ACCEPT_WAIT_US + 500_000
            assert [attempt.job.request_id for attempt in rig.attempts] == ["a"]
        http_server.acceptor.kill()


def test_the_time_of_a_request_counts_while_its_connection_waits_to_be_accepted() -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, max_connections=1)
    with open_listener() as listener, gevent.Timeout(20):
        http_server.start(listener)
        with (
            create_connection(listener.getsockname()) as first,
            create_connection(listener.getsockname()) as second,
        ):
            first.sendall(request_head("a"))
            while not rig.attempts:
                gevent.sleep(0.001)
            second.sendall(request_head("b").replace(b"60000m", b"200m"))
            gevent.sleep(0.3)
            rig.driver.attempt_ended(rig.attempts[0], Status.OK, (), NodeResponse(b"done", ""))
            first.recv(100)
            first.close()
            assert second.recv(100).startswith(b"HTTP/1.1 50")
            assert [attempt.job.request_id for attempt in rig.attempts] == ["a"]
        http_server.acceptor.kill()


def test_connections_that_come_long_after_all_were_in_use_do_not_count_as_having_waited() -> None:
    """While new ones come without a pause the accept queue may never be found empty."""
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, max_connections=9)
    with open_listener() as listener, gevent.Timeout(20):
        http_server.start(listener)
        http_server.full_since = clock() - 60_000_000
        http_server.full_until = clock() - 2 * ACCEPT_BACKLOG_US
        callers = [create_connection(listener.getsockname()) for _ in range(3)]
        gevent.sleep(0.05)
        assert len(http_server.connections) == 3 and not http_server.full_since
        callers[0].sendall(request_head("a").replace(b"60000m", b"5000m"))
        while not rig.attempts:
            gevent.sleep(0.001)
        for caller in callers:
            caller.close()
        http_server.acceptor.kill()


def test_a_new_connection_that_is_closed_for_room_is_reset() -> None:
    """Its first request may cross the close; a FIN would look as if it had been read and left unanswered."""
    http_server = make_server(DispatcherRig(), max_connections=1)
    with open_listener() as listener, gevent.Timeout(20):
        http_server.start(listener)
        with create_connection(listener.getsockname()) as first, create_connection(listener.getsockname()):
            with pytest.raises(ConnectionResetError):
                first.recv(100)
        http_server.acceptor.kill()


@contextmanager
def queued_callers(data: bytes, count: int = 1) -> Iterator[tuple[HttpServer, DispatcherRig, list[Any]]]:
    """A server that has not accepted these callers yet, though they have sent this 0.3 s ago."""
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, max_connections=99)
    with open_listener() as listener, gevent.Timeout(20):
        callers = [create_connection(listener.getsockname()) for _ in range(count)]
        for caller in callers:
            caller.sendall(data)
        gevent.sleep(0.3)
        http_server.stall_detector = StallDetector(clock())
        http_server.start(listener)
        yield http_server, rig, callers
        http_server.acceptor.kill()
        for caller in callers:
            caller.close()


def test_the_time_of_a_request_counts_while_it_waits_behind_others_to_be_accepted() -> None:
    data = request_head("a").replace(b"60000m", b"200m")
    with queued_callers(data) as (_, rig, callers):
        assert callers[0].recv(100).startswith(b"HTTP/1.1 50")
        assert not rig.attempts


@pytest.mark.parametrize("data, is_closed", [(request_head("a"), True), (b"", False)])
def test_a_request_that_has_waited_too_long_behind_others_is_closed_unread(
    monkeypatch: pytest.MonkeyPatch, data: bytes, is_closed: bool
) -> None:
    monkeypatch.setattr(server, "MAX_ACCEPT_WAIT_US", 150_000)
    with queued_callers(data) as (http_server, rig, callers):
        gevent.sleep(0.1)
        assert not rig.attempts and len(http_server.connections) == (not is_closed)
        if is_closed:
            with pytest.raises(ConnectionResetError):
                callers[0].recv(100)


def test_connections_that_have_waited_too_long_do_not_keep_later_ones_waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(server, "MAX_ACCEPT_WAIT_US", 150_000)
    with queued_callers(request_head("a"), count=20) as (http_server, _, callers):
        late = create_connection(callers[0].getpeername())
        turns = 0
        while not http_server.connections:
            gevent.sleep(0)
            turns += 1
        assert turns < 20
        late.close()
