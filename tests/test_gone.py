"""Callers that disconnect while they wait: no further attempt is started for them, even where the
disconnect is hard to notice, and all counts are right afterwards. Real connections and a real process, also with
settings that do not allow cancellation."""

from __future__ import annotations

import os
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from proxy_rig import (
    ProxyRig,
    ScriptedNode,
    header_value,
    read_head,
    read_response,
    running_proxy,
    settings,
    wait_until,
)
from proxy_rig import build_request as any_request

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0: close sends a reset


def request(action: str, body: bytes = b"", **headers: str) -> bytes:
    return any_request(action, body=body, X_Timeout="60000m", **headers)


def patient_settings(aim_us: int = 60_000_000, **allowed: Any) -> dict[str, Any]:
    """Settings under which no request is refused for its long wait, so a request that is dropped was dropped because
    the proxy noticed its caller's disconnect."""
    found = settings(**allowed)
    for service in found["services"]:
        service.update(slo_us=aim_us, hard_limit_us=60_000_000)
    return found


def request_ids(p: ProxyRig) -> list[str]:
    return [header_value(head, "x-request-id") for head in p.seen]


def open_sockets(p: ProxyRig) -> int:
    """The number of open sockets of the process. It shows when the proxy has closed a caller's connection: a connection
    that was reset is in no table of the system any more, but its descriptor stays until the proxy closes it."""
    count = 0
    for fd in Path(f"/proc/{p.program.process.pid}/fd").iterdir():
        with suppress(OSError):  # closed meanwhile
            count += os.readlink(fd).startswith("socket:")
    return count


def wait_for_discovery(p: ProxyRig) -> None:
    """Waits until the connection to discovery is open; it then stays open and no longer changes the socket count."""
    wait_until(lambda: any("since=" in call for call in list(p.discovery.requests)))


def close(conn: socket.socket) -> None:
    conn.close()


def reset(conn: socket.socket) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    conn.close()


def half_close(conn: socket.socket) -> None:
    """Closes the sending side only: the proxy cannot distinguish this from a close, so it counts as a disconnect."""
    conn.shutdown(socket.SHUT_WR)


EACH_DISCONNECT = pytest.mark.parametrize("disconnect", [close, reset, half_close])
PIPELINED = {  # what else the caller has sent, unread while its first request waits
    "nothing": lambda: b"",
    "one more request": lambda: request("ok"),
    "many small requests": lambda: b"".join(request("ok") for _ in range(20)),
    "a large request": lambda: request("ok") + request("ok", body=bytes(30_000)),
    "half a request": lambda: request("ok", body=bytes(2_000))[:-1_000],
    "an invalid request": lambda: b"BAD\r\n\r\n",
    "a request and an invalid one": lambda: request("ok") + request("ok") + b"BAD\r\n\r\n",
}


@contextmanager
def busy_proxy(tmp: Path, **allowed: Any) -> Iterator[tuple[ProxyRig, Callable[[], None]]]:
    """A proxy whose only node is busy with a first request and gets no second one before that has ended. The function
    lets the node finish, and checks that the next request is served as if there had been none in between."""
    with running_proxy(tmp, settings=patient_settings(**allowed)) as p, ThreadPoolExecutor() as pool:
        first = pool.submit(p.program.request, request("wait", X_Request_ID="first"))
        assert p.nodes[0].held.acquire(timeout=20)
        wait_for_discovery(p)

        def finish() -> None:
            p.nodes[0].release.set()
            assert first.result(20)[0] == 200
            assert p.program.request(request("ok", X_Request_ID="last"))[0] == 200
            assert request_ids(p) == ["first", "last"]

        yield p, finish


@EACH_DISCONNECT
@pytest.mark.parametrize("pipelined", PIPELINED)
def test_a_caller_that_disconnects_while_waiting_is_not_sent_on(
    tmp_path: Path, disconnect: Callable[[socket.socket], None], pipelined: str
) -> None:
    with busy_proxy(tmp_path, may_cancel=False) as (p, finish):
        before = open_sockets(p)
        conn = p.program.connect()
        conn.sendall(request("ok") + PIPELINED[pipelined]())
        wait_until(lambda: open_sockets(p) > before)
        disconnect(conn)
        wait_until(lambda: open_sockets(p) == before)
        finish()
        conn.close()


@pytest.mark.parametrize("disconnect", [close, half_close])
def test_a_caller_that_disconnects_before_it_was_read_is_not_sent_on(
    tmp_path: Path, disconnect: Callable[[socket.socket], None]
) -> None:
    """The request and its caller's disconnect are read in the same iteration of the event loop."""
    with busy_proxy(tmp_path, may_cancel=False) as (p, finish):
        before = open_sockets(p)
        p.program.process.send_signal(signal.SIGSTOP)
        conns = [p.program.connect() for _ in range(20)]
        for conn in conns:
            conn.sendall(request("ok"))
            disconnect(conn)
        p.program.process.send_signal(signal.SIGCONT)
        # This connection is accepted after all of the others.
        assert p.program.request(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")[0] == 200
        wait_until(lambda: open_sockets(p) == before)
        finish()
        for conn in conns:
            conn.close()


def test_a_slow_body_does_not_hide_that_its_caller_disconnects(tmp_path: Path) -> None:
    """The second request is refused as too slow while the first one waits; the proxy no longer reads the connection."""
    with busy_proxy(tmp_path, may_cancel=False) as (p, finish):
        before = open_sockets(p)
        conn = p.program.connect()
        conn.sendall(request("ok") + request("ok", body=bytes(100))[:-50])
        wait_until(lambda: open_sockets(p) > before)
        time.sleep(4.3)  # the limit for the rest of a request
        conn.close()
        wait_until(lambda: open_sockets(p) == before)
        finish()


def test_hundreds_of_callers_that_disconnect_at_once_leave_no_sockets(tmp_path: Path) -> None:
    with busy_proxy(tmp_path) as (p, finish):
        before = open_sockets(p)
        conns = [p.program.connect() for _ in range(300)]
        for i, conn in enumerate(conns):
            conn.sendall(request("ok") + (request("ok") + request("ok") if i % 2 else b""))
        wait_until(lambda: open_sockets(p) == before + 300)
        for i, conn in enumerate(conns):
            (reset if i % 3 else close)(conn)
        wait_until(lambda: open_sockets(p) == before)
        finish()


def test_a_caller_that_disconnects_between_attempts_gets_no_second_attempt(tmp_path: Path) -> None:
    with running_proxy(tmp_path, settings=patient_settings()) as p:
        node = p.nodes[0]
        wait_for_discovery(p)
        before = open_sockets(p)
        conn = p.program.connect()
        conn.sendall(request("full", X_Request_ID="turned-away"))
        wait_until(lambda: node.requests)  # now the proxy waits until it may retry at this node
        conn.close()
        wait_until(lambda: open_sockets(p) <= before + 1)  # the connection to the node stays open
        # A retry would have been sent before this request, as its request came first.
        assert p.program.request(request("ok", X_Request_ID="last"))[0] == 200
        assert request_ids(p) == ["turned-away", "last"]


class NotAcceptingNode(ScriptedNode):
    """A node that accepts no connection until `release` is set: until then one connection fills the kernel's accept
    queue, so that further handshakes do not complete."""

    def __init__(self) -> None:
        self.initialized = threading.Event()
        super().__init__()
        self.initialized.set()

    def _accept(self) -> None:
        self.initialized.wait()
        self.sock.listen(0)
        self.queued = [socket.create_connection(self.sock.getsockname())]
        self.release.wait(20)
        super()._accept()


def connecting(p: ProxyRig, port: int) -> bool:
    """Whether any handshake with this port is in progress (SYN_SENT)."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return any(row[2].endswith(f":{port:04X}") and row[3] == "02" for row in rows)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_caller_that_disconnects_during_the_node_handshake_is_not_sent_on(
    tmp_path: Path, may_cancel: bool
) -> None:
    # A cancelled call counts as occupying its node for a quarter of the aim.
    config = patient_settings(8_000_000, may_cancel=may_cancel, connect_timeout_us=10_000_000)
    with running_proxy(tmp_path, kind=NotAcceptingNode, settings=config) as p, ThreadPoolExecutor() as pool:
        node = p.nodes[0]
        assert isinstance(node, NotAcceptingNode)
        wait_until(lambda: hasattr(node, "queued"))
        wait_for_discovery(p)
        before = open_sockets(p)
        conn = p.program.connect()
        conn.sendall(request("ok", X_Request_ID="gone"))
        wait_until(lambda: connecting(p, node.sock.getsockname()[1]))
        conn.close()
        wait_until(lambda: open_sockets(p) <= before + 1)  # the handshake with the node may go on
        node.release.set()
        assert pool.submit(p.program.request, request("ok", X_Request_ID="last")).result(20)[0] == 200
        wait_until(lambda: not connecting(p, node.sock.getsockname()[1]))
        assert request_ids(p) == ["last"]


def fill(conn: socket.socket) -> int:
    """Sends requests until the buffers of both sides are full: further data stays in the caller's send buffer, and so
    does its FIN."""
    conn.setblocking(False)
    sent, idle = 0, 0
    while idle < 20:  # the receive buffer of the other side grows while it is used
        piece = request("ok", body=bytes(30_000))
        try:
            while piece:
                done = conn.send(piece)
                piece, sent, idle = piece[done:], sent + done, 0
        except BlockingIOError:
            idle += 1
            time.sleep(0.005)
            if sent > 3_000_000:
                break
    return sent


@pytest.mark.parametrize("disconnect", [close, half_close])
def test_a_caller_that_disconnects_behind_full_buffers_is_not_sent_on(
    tmp_path: Path, disconnect: Callable[[socket.socket], None]
) -> None:
    with busy_proxy(tmp_path, may_cancel=False) as (p, finish):
        before = open_sockets(p)
        conn = p.program.connect()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
        conn.sendall(request("ok"))
        wait_until(lambda: open_sockets(p) > before)
        assert fill(conn) > 300_000
        disconnect(conn)
        wait_until(lambda: open_sockets(p) == before)
        finish()
        conn.close()


SMALL_LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 256}


def send_much(conn: socket.socket) -> None:
    """Sends requests of 15 MB together, or until nothing more is taken for 0.3 s."""
    data = b"".join(request("ok", body=bytes(30_000)) for _ in range(500))
    conn.settimeout(0.3)
    with suppress(TimeoutError):
        conn.sendall(data)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_caller_that_leaves_behind_more_than_is_read_ahead_while_it_waits_is_not_sent_on(
    tmp_path: Path, may_cancel: bool
) -> None:
    config = patient_settings(may_cancel=may_cancel)
    with (
        running_proxy(tmp_path, settings=config, limits=SMALL_LIMITS) as p,
        ThreadPoolExecutor() as pool,
    ):
        busy = pool.submit(p.program.request, request("wait", X_Request_ID="first"))
        assert p.nodes[0].held.acquire(timeout=20)
        conn = p.program.connect()
        conn.sendall(request("ok", X_Request_ID="left"))
        time.sleep(0.2)  # it waits for the node
        send_much(conn)
        conn.close()
        p.nodes[0].release.set()
        assert busy.result(20)[0] == 200
        assert p.program.request(request("ok", X_Request_ID="last"))[0] == 200
        assert request_ids(p) == ["first", "last"]


def test_a_waiting_request_is_refused_at_once_when_more_follows_it_than_is_read_ahead(
    tmp_path: Path,
) -> None:
    with (
        running_proxy(tmp_path, settings=patient_settings(), limits=SMALL_LIMITS) as p,
        ThreadPoolExecutor() as pool,
    ):
        busy = pool.submit(p.program.request, request("wait", X_Request_ID="first"))
        assert p.nodes[0].held.acquire(timeout=20)
        with p.program.connect() as conn:
            conn.sendall(request("ok", X_Request_ID="refused"))
            time.sleep(0.2)
            send_much(conn)
            conn.settimeout(5)
            assert read_response(conn)[0] == 503
        p.nodes[0].release.set()
        assert busy.result(20)[0] == 200
        assert "refused" not in request_ids(p)


def test_pipelined_requests_are_answered_in_order_and_bounded(tmp_path: Path) -> None:
    """Each request behind a waiting one gets its own answer; the proxy buffers a bounded amount of pipelined data."""
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    with (
        running_proxy(tmp_path, settings=patient_settings(may_cancel=False), limits=limits) as p,
        ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(p.program.request, request("wait"))
        assert p.nodes[0].held.acquire(timeout=20)
        conns = [p.program.connect() for _ in range(12)]
        bodies = [bytes([i]) * 30_000 for i in range(100)]
        sending = [
            pool.submit(conn.sendall, b"".join(request("echo", body=body) for body in bodies))
            for conn in conns
        ]
        time.sleep(0.5)  # what has not been read by now stays unread
        memory = Path(f"/proc/{p.program.process.pid}/status").read_text()
        assert int(memory.partition("VmRSS:")[2].split()[0]) < 64 * 1024
        p.nodes[0].release.set()
        assert first.result(20)[0] == 200
        served = 0
        for conn in conns:
            for body in bodies:
                status, _, got = read_response(conn)
                assert (status, got) in ((200, body), (503, b"refused\n"))
                served += status == 200
            conn.close()
        assert served
        assert not [future.result(20) for future in sending if future.result(20)]


class SlowReadingNode(ScriptedNode):
    """Reads the head of a request, and its body only after `release` is set."""

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            head, got = read_head(conn), 0
            self.held.release()
            self.release.wait(20)
            while head and got < int(header_value(head, "content-length")):
                got += len(piece := conn.recv(65536))
                if not piece:
                    self.disconnected.release()
                    return
            self.requests.append(head)
            self.respond(conn, head, b"")


def test_a_request_whose_caller_disconnects_while_it_is_written_is_not_completed(tmp_path: Path) -> None:
    with running_proxy(tmp_path, kind=SlowReadingNode, settings=patient_settings(may_cancel=False)) as p:
        wait_for_discovery(p)
        before = open_sockets(p)
        conn = p.program.connect()
        conn.sendall(request("ok", body=bytes(12_000_000), X_Request_ID="gone"))
        assert p.nodes[0].held.acquire(timeout=20)
        conn.close()
        wait_until(lambda: open_sockets(p) <= before + 1)
        p.nodes[0].release.set()
        assert p.nodes[0].disconnected.acquire(timeout=20) and not p.nodes[0].requests
