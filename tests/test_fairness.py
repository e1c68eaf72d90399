"""One caller, whatever it sends and however fast, does not keep the others waiting."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import gevent
import pytest
from proxy_rig import SAFE_CLASS, ProxyRig, ScriptedNode, build_request, read_response, running_proxy
from test_line import DispatcherRig, connect_caller, make_server

from slatehub.core.jobs import NodeResponse
from slatehub.drivers.pipe import Pipe
from slatehub.fronts.http1.server import CallerConnection

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
