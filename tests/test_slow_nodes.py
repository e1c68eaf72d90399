"""Nodes that write a long answer slowly, or read a long order slowly: what they give is passed on, and the final answer
comes in time."""

from __future__ import annotations

import socket
import time
from http.client import HTTPResponse
from pathlib import Path

import gevent
import pytest
from proxy_rig import SAFE_CLASS, ScriptedNode, build_request, read_response, running_proxy
from test_line import DispatcherRig, ScriptedBalancer, make_pool, open_listener, run_event_loop

from paddlestep.interface import Send
from slatehub.core.limits import MAX_BUFFERED_BODY_BYTES
from slatehub.core.memory import MemoryBudget
from slatehub.drivers.clock import clock
from slatehub.drivers.upstream import HOLD_BACK_US, NEVER_US, RESPONSE_SILENCE_TIMEOUT_US, UpstreamResponse

LONG_ANSWER = bytes(range(250)) * 400  # 100,000 bytes
PIECE_BYTES = 900
PIECE_INTERVAL_S = 0.1
SLOW_S = 2.5  # for so long the node writes slowly; then the rest at once
TIMEOUT_S = 3.0
LATE_S = 0.5  # after its time an answer counts as lost


class SlowWriter(ScriptedNode):
    """Writes the long answer slowly at first, in the framing that the path names."""

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        is_chunked = head.split(" ")[1].endswith("/chunked")
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % len(LONG_ANSWER)
        conn.sendall(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
        slow_until, sent = time.monotonic() + SLOW_S, 0
        while sent < len(LONG_ANSWER):
            is_slow = time.monotonic() < slow_until
            piece = LONG_ANSWER[sent : sent + PIECE_BYTES] if is_slow else LONG_ANSWER[sent:]
            conn.sendall(b"%x\r\n%b\r\n" % (len(piece), piece) if is_chunked else piece)
            sent += len(piece)
            time.sleep(PIECE_INTERVAL_S)
        if is_chunked:
            conn.sendall(b"0\r\n\r\n")
        return True


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("timeout_s", [TIMEOUT_S, 1.0])
def test_a_long_answer_that_a_node_writes_slowly_is_not_cut_off(
    tmp_path: Path, framing: str, timeout_s: float
) -> None:
    """With 1 s it has begun in time, and ends after it: the first bytes of a long answer are timed."""
    if framing == "chunked" and timeout_s < TIMEOUT_S:
        timeout_s = 1.5  # of an answer without a length it is not known that it is long
    with running_proxy(tmp_path, kind=SlowWriter) as p, p.program.connect() as conn:
        conn.sendall(build_request(framing, SAFE_CLASS, X_Timeout=f"{int(timeout_s * 1000)}m"))
        response = HTTPResponse(conn)
        response.begin()
        assert response.status == 200 and response.read() == LONG_ANSWER
        assert len(p.nodes[0].requests) == 1


class SlowReader(ScriptedNode):
    """Reads a large order at 200 kB a second."""

    def _serve(self, conn: socket.socket) -> None:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        with conn:
            try:
                while conn.recv(20_000):
                    time.sleep(0.1)
            except OSError:
                pass


@pytest.mark.parametrize("may_cancel", [True, False])
def test_the_answer_to_an_order_that_a_node_reads_slowly_comes_in_time(
    tmp_path: Path, may_cancel: bool
) -> None:
    body = bytes(6_000_000)
    allowed = {"may_cancel": may_cancel}
    with running_proxy(tmp_path, kind=SlowReader, allowed=allowed) as p, p.program.connect() as conn:
        conn.sendall(build_request("ok", body=body, X_Timeout="1000m"))
        sent_at = time.monotonic()
        status, head, _ = read_response(conn)
        assert status in (500, 503, 504), head
        assert time.monotonic() - sent_at < 1.0 + LATE_S


def response_of(head: bytes, now: int) -> UpstreamResponse:
    response = UpstreamResponse(MAX_BUFFERED_BODY_BYTES, 1 << 20)
    response.feed(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n")
    response.note_progress(now, NEVER_US)
    return response


def test_a_short_answer_is_collected_whole_however_slowly_it_comes() -> None:
    response = response_of(b"Content-Length: 60000", 0)
    for second in range(1, 9):
        response.feed(b"x" * 100)
        response.note_progress(second * 1_000_000, NEVER_US)
        assert not response.streamed
        assert response.stalls_at(0) == second * 1_000_000 + RESPONSE_SILENCE_TIMEOUT_US


def test_the_beginning_of_a_long_answer_is_not_held_back() -> None:
    response = response_of(b"Content-Length: 100000", 0)
    response.feed(b"x")
    response.note_progress(500_000, NEVER_US)
    assert not response.streamed
    response.feed(b"x")
    response.note_progress(500_000 + HOLD_BACK_US, NEVER_US)
    assert response.streamed and response.take_body() == b"xx"


def test_a_long_answer_that_has_begun_is_forwarded_before_its_deadline() -> None:
    response = response_of(b"Content-Length: 100000", 0)
    response.feed(b"x")
    response.note_progress(400_000, 400_000)
    assert response.streamed


def test_a_head_alone_is_never_forwarded() -> None:
    response = response_of(b"Content-Length: 100000", 0)
    response.note_progress(10_000_000, 1)
    assert not response.streamed


def test_a_short_answer_that_is_forwarded_as_it_comes_ends_with_its_time() -> None:
    """While memory is short it is not collected; its last byte would be late."""
    with open_listener() as listener:
        rig = DispatcherRig(ScriptedBalancer(Send(1, 1)))
        pool = make_pool(rig, listener)
        pool.memory = MemoryBudget(1_000)
        pool.memory.count(2_000)
        began_at = clock()
        rig.submit_job("a", time_left=300_000)
        run_event_loop()
        pool.send(rig.attempts[0])
        node, _ = listener.accept()
        node.recv(1000)
        node.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + bytes(20_000))
        with gevent.Timeout(20):
            while not rig.answers:
                gevent.sleep(0.001)
            stream = rig.answers[0][1].response.body_stream
            chunks = []
            while chunk := stream.read_chunk():
                chunks.append(chunk)
        assert chunk is None and 250_000 < clock() - began_at < 800_000
        node.close()
