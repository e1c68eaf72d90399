"""Connections to nodes that are cut at every byte of request and answer, by FIN and by reset: what may have run goes
out again only where its class allows it, within the attempts, and nothing cut passes for an answer. Each cut is made at
its byte, whatever the timing."""

from __future__ import annotations

import socket
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent
import gevent.select
import pytest
from proxy_rig import (
    SAFE_CLASS,
    UNSAFE_CLASS,
    ProxyRig,
    ScriptedNode,
    build_request,
    header_value,
    read_head,
    read_response,
    running_proxy,
)
from test_line import (
    CLOSING_RESPONSE,
    RESPONSE,
    DispatcherRig,
    ScriptedBalancer,
    make_pool,
    open_listener,
    run_event_loop,
)

from paddlestep.interface import Outcome, Send, Status

RESET = b"\x01\0\0\0\0\0\0\0"  # SO_LINGER: a close that resets
FORMS = {
    "length": b"HTTP/1.1 200 OK\r\nX-Server-Load: qps=1,util=1\r\nContent-Length: 9\r\n\r\nall of it",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nall \r\n5\r\nof it\r\n0\r\n\r\n",
    "endless": b"HTTP/1.1 200 OK\r\nServer: x\r\n\r\nall of it",
    "early": b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it",
}


class Cutter(ScriptedNode):
    """`/FORM-BYTES-HOW`: so many bytes of that answer, then the end. Whole requests are counted."""

    def __init__(self) -> None:
        self.whole: Counter[str] = Counter()
        super().__init__()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            try:
                while head := read_head(conn):
                    self.whole[header_value(head, "x-request-id")] += 1
                    if not self.respond(conn, head, b""):
                        return
            except OSError:
                pass

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        form, _, rest = head.split(" ")[1].rpartition("/")[2].partition("-")
        if form not in FORMS:
            return super().respond(conn, head, body)
        size, _, how = rest.partition("-")
        conn.sendall(FORMS[form][: int(size)])
        self.end(conn, how)
        return False

    @staticmethod
    def end(conn: socket.socket, how: str) -> None:
        if how == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        conn.close()


@contextmanager
def cutters(tmp: Path) -> Iterator[ProxyRig]:
    with running_proxy(tmp, nodes=2, kind=Cutter) as p:
        yield p
        assert p.program.process.poll() is None


def runs(p: ProxyRig, request: str) -> int:
    return sum(node.whole[request] for node in p.nodes if isinstance(node, Cutter))


@pytest.mark.parametrize("how", ["fin", "reset"])
@pytest.mark.parametrize("form", FORMS)
def test_an_answer_cut_at_any_byte_is_none_and_only_a_safe_request_goes_out_again(
    tmp_path: Path, form: str, how: str
) -> None:
    with cutters(tmp_path) as p:
        whole = len(FORMS[form])
        for size in range(whole + 1):
            for cls in (UNSAFE_CLASS, SAFE_CLASS):
                request = f"{cls}-{size}"
                status, _, body = p.program.request(
                    build_request(f"{form}-{size}-{how}", cls, X_Request_ID=request)
                )
                # All of it had come, or an end that is the end: FIN after the head of one without a length.
                ended = form == "endless" and how == "fin" and size >= FORMS[form].index(b"\r\n\r\n") + 4
                if status == 200:
                    assert ended or size == whole, size
                    assert body == (
                        FORMS[form][FORMS[form].index(b"\r\n\r\n") + 4 : size] if ended else b"all of it"
                    )
                else:
                    assert not ended
                    # What may have run is failed where it may not be repeated; a safe one may be asked for again.
                    assert status == 500 if cls == UNSAFE_CLASS else status in (500, 503)
                assert 1 <= runs(p, request) <= (1 if cls == UNSAFE_CLASS else 4)


def cut(conn: Any, size: int, how: str) -> bytes:
    """Reads so many bytes of what comes, and ends the connection."""
    got = b""
    while len(got) < size and (data := conn.recv(size - len(got))):
        got += data
    if how == "reset":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()
    return got


@pytest.mark.parametrize("how", ["fin", "reset"])
@pytest.mark.parametrize("used", [False, True])
def test_a_request_cut_at_any_byte_is_told_as_perhaps_run_once_its_last_byte_was_written(
    used: bool, how: str
) -> None:
    """On a new connection, and on one that has carried a request before: there the last byte is kept until the node has
    had its say, and if it has gone by then the request goes by another connection, as it never ran."""
    with open_listener() as peer:
        sends = [Send(n, 1) for n in range(1, 200)]
        module = ScriptedBalancer(*sum(([send, []] for send in sends), []))
        stand = DispatcherRig(module)
        room = make_pool(stand, peer)
        size, length = 0, 1
        while size < length:
            conn = None
            if used:
                stand.submit_job(f"before-{size}")
                run_event_loop()
                room.send(stand.attempts[-1])
                conn, _ = peer.accept()
                length = len(conn.recv(1000))
                conn.sendall(RESPONSE)
                while not stand.attempts[-1].finished:
                    gevent.sleep(0)
                run_event_loop()
            stand.submit_job(f"cut-{size}")
            run_event_loop()
            attempt = stand.attempts[-1]
            room.send(attempt)
            if conn is None:
                conn, _ = peer.accept()
                length = max(length, 60)
            got = cut(conn, size, how)
            run_event_loop()
            wholes = 0
            while not attempt.finished:
                if gevent.select.select([peer], [], [], 0.005)[0]:
                    other, _ = peer.accept()  # it goes by another one
                    wholes += other.recv(1000).endswith(b"\r\n\r\n")
                    other.sendall(CLOSING_RESPONSE)
                    other.close()
            run_event_loop()
            ended = [e.status for e in module.events if isinstance(e, Outcome)][-1]
            assert len(got) == size and not got.endswith(b"\r\n\r\n")
            assert (ended is Status.OK) == (wholes == 1) and ended in (Status.OK, Status.RESET)
            assert ended is Status.RESET or used
            size += 1
        assert room.open_connections == 0


class Twice(ScriptedNode):
    """Answers, and once more when it is told to, with another body; or never ends its answer."""

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        action = head.split(" ")[1].rpartition("/")[2]
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        if action == "twice":
            conn.sendall(whole + b"first")
            threading.Thread(target=self.again, args=(conn, whole + b"again"), daemon=True).start()
            return True
        if action == "never-ends":
            conn.sendall(b"HTTP/1.1 200 OK\r\nX-Pad: ")
            try:
                while not self.release.wait(0.01):
                    conn.sendall(b"x" * 50)
            except OSError:
                self.disconnected.release()
            return False
        return super().respond(conn, head, body)

    def again(self, conn: socket.socket, data: bytes) -> None:
        self.release.wait(20)
        try:
            conn.sendall(data)
        except OSError:
            pass
        self.held.release()


def test_a_late_second_answer_never_answers_the_next_request(tmp_path: Path) -> None:
    with running_proxy(tmp_path, kind=Twice) as p:
        for _ in range(5):
            assert p.program.request(build_request("twice"))[::2] == (200, b"first")
            p.nodes[0].release.set()
            assert p.nodes[0].held.acquire(timeout=20)  # it lies there when the next request would be written
            p.nodes[0].release.clear()
            assert p.program.request(build_request("ok"))[::2] == (200, b"done")


def test_an_answer_that_never_ends_is_given_up_and_its_connection_with_it(tmp_path: Path) -> None:
    with running_proxy(tmp_path, kind=Twice) as p, p.program.connect() as conn:
        conn.sendall(build_request("never-ends"))
        assert read_response(conn)[0] == 500
        assert p.nodes[0].disconnected.acquire(timeout=20)
        assert p.program.request(build_request("ok"))[0] == 200
