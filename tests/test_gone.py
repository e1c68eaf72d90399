"""Callers who go while they wait: no attempt of theirs begins any more, whatever hides their going, and all counts are
right afterwards. Real connections and a real process; where the settings allow no withdrawal, too."""

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
from proxy_rig import build_request as any_order

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets


def order(action: str, body: bytes = b"", **headers: str) -> bytes:
    return any_order(action, body=body, X_Timeout="60000m", **headers)


def patient(aim_us: int = 60_000_000, **allowed: Any) -> dict[str, Any]:
    """Settings under which nobody is refused for having waited long: who is let go here has been seen to go."""
    found = settings(**allowed)
    for kind in found["services"]:
        kind.update(slo_us=aim_us, hard_limit_us=60_000_000)
    return found


def ids(p: ProxyRig) -> list[str]:
    return [header_value(head, "x-request-id") for head in p.seen]


def held(p: ProxyRig) -> int:
    """Sockets that the process holds: a caller that it has let go has none. (One that was reset is in no list of the
    system's any more, but in this one until the program has closed it.)"""
    count = 0
    for fd in Path(f"/proc/{p.program.process.pid}/fd").iterdir():
        with suppress(OSError):  # closed meanwhile
            count += os.readlink(fd).startswith("socket:")
    return count


def watched(p: ProxyRig) -> None:
    """Waits until the connection to discovery is there to stay."""
    wait_until(lambda: any("since=" in call for call in list(p.discovery.requests)))


def close(conn: socket.socket) -> None:
    conn.close()


def reset(conn: socket.socket) -> None:
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    conn.close()


def half(conn: socket.socket) -> None:
    """Only its sending side: nothing tells this from a close, so it counts as gone."""
    conn.shutdown(socket.SHUT_WR)


WAYS = pytest.mark.parametrize("leave", [close, reset, half])
BEHIND = {  # what else the caller has sent, which nobody reads while its first order waits
    "nothing": lambda: b"",
    "one more order": lambda: order("ok"),
    "many small orders": lambda: b"".join(order("ok") for _ in range(20)),
    "a large order": lambda: order("ok") + order("ok", body=bytes(30_000)),
    "half an order": lambda: order("ok", body=bytes(2_000))[:-1_000],
    "what is no request": lambda: b"BAD\r\n\r\n",
    "an order and what is none": lambda: order("ok") + order("ok") + b"BAD\r\n\r\n",
}


@contextmanager
def crowded(tmp: Path, **allowed: Any) -> Iterator[tuple[ProxyRig, Callable[[], None]]]:
    """One node, which works on an order of ours and is given no second one before. The function lets it go on, and
    checks that the next order is served as if nobody had been in between."""
    with running_proxy(tmp, settings=patient(**allowed)) as p, ThreadPoolExecutor() as pool:
        first = pool.submit(p.program.request, order("wait", X_Request_ID="first"))
        assert p.nodes[0].held.acquire(timeout=20)
        watched(p)

        def go_on() -> None:
            p.nodes[0].release.set()
            assert first.result(20)[0] == 200
            assert p.program.request(order("ok", X_Request_ID="last"))[0] == 200
            assert ids(p) == ["first", "last"]

        yield p, go_on


@WAYS
@pytest.mark.parametrize("behind", BEHIND)
def test_who_has_gone_while_it_waited_is_not_sent_on(
    tmp_path: Path, leave: Callable[[socket.socket], None], behind: str
) -> None:
    with crowded(tmp_path, may_cancel=False) as (p, go_on):
        before = held(p)
        conn = p.program.connect()
        conn.sendall(order("ok") + BEHIND[behind]())
        wait_until(lambda: held(p) > before)
        leave(conn)
        wait_until(lambda: held(p) == before)
        go_on()
        conn.close()


@pytest.mark.parametrize("leave", [close, half])
def test_who_has_gone_before_anything_of_it_was_read_is_not_sent_on(
    tmp_path: Path, leave: Callable[[socket.socket], None]
) -> None:
    """The order and its caller's end are read in the same turn of the loop."""
    with crowded(tmp_path, may_cancel=False) as (p, go_on):
        before = held(p)
        p.program.process.send_signal(signal.SIGSTOP)
        crowd = [p.program.connect() for _ in range(20)]
        for conn in crowd:
            conn.sendall(order("ok"))
            leave(conn)
        p.program.process.send_signal(signal.SIGCONT)
        assert (
            p.program.request(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")[0] == 200
        )  # came after all of them
        wait_until(lambda: held(p) == before)
        go_on()
        for conn in crowd:
            conn.close()


def test_a_body_that_is_too_slow_does_not_hide_that_its_caller_goes(tmp_path: Path) -> None:
    """Turned away as too slow behind an order that waits: nobody reads that connection any more."""
    with crowded(tmp_path, may_cancel=False) as (p, go_on):
        before = held(p)
        conn = p.program.connect()
        conn.sendall(order("ok") + order("ok", body=bytes(100))[:-50])
        wait_until(lambda: held(p) > before)
        time.sleep(4.3)  # the limit for the rest of a request
        conn.close()
        wait_until(lambda: held(p) == before)
        go_on()


def test_hundreds_who_go_at_once_leave_nothing_behind(tmp_path: Path) -> None:
    with crowded(tmp_path) as (p, go_on):
        before = held(p)
        crowd = [p.program.connect() for _ in range(300)]
        for i, conn in enumerate(crowd):
            conn.sendall(order("ok") + (order("ok") + order("ok") if i % 2 else b""))
        wait_until(lambda: held(p) == before + 300)
        for i, conn in enumerate(crowd):
            (reset if i % 3 else close)(conn)
        wait_until(lambda: held(p) == before)
        go_on()


def test_who_goes_between_two_attempts_gets_no_second_one(tmp_path: Path) -> None:
    with running_proxy(tmp_path, settings=patient()) as p:
        node = p.nodes[0]
        watched(p)
        before = held(p)
        conn = p.program.connect()
        conn.sendall(order("full", X_Request_ID="turned-away"))
        wait_until(lambda: node.requests)  # and now the proxy waits until it may ask this node again
        conn.close()
        wait_until(lambda: held(p) <= before + 1)  # the connection to the node stays
        # It would have gone first, as it had come first.
        assert p.program.request(order("ok", X_Request_ID="last"))[0] == 200
        assert ids(p) == ["turned-away", "last"]


class Slow(ScriptedNode):
    """A node that takes no connection until `opens`: until then the system has one in its queue, and no place more."""

    def __init__(self) -> None:
        self.shut = threading.Event()
        super().__init__()
        self.shut.set()

    def _accept(self) -> None:
        self.shut.wait()
        self.sock.listen(0)
        self.crowd = [socket.create_connection(self.sock.getsockname())]
        self.release.wait(20)
        super()._accept()


def connecting(p: ProxyRig, port: int) -> bool:
    """Whether somebody's connection to this port is coming up."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return any(row[2].endswith(f":{port:04X}") and row[3] == "02" for row in rows)


@pytest.mark.parametrize("may_cancel", [True, False])
def test_who_goes_while_the_connection_to_a_node_comes_up_is_not_written_to_it(
    tmp_path: Path, may_cancel: bool
) -> None:
    # A quarter of the aim is how long a withdrawn call is taken to occupy its node.
    told = patient(8_000_000, may_cancel=may_cancel, connect_timeout_us=10_000_000)
    with running_proxy(tmp_path, kind=Slow, settings=told) as p, ThreadPoolExecutor() as pool:
        node = p.nodes[0]
        assert isinstance(node, Slow)
        wait_until(lambda: hasattr(node, "crowd"))
        watched(p)
        before = held(p)
        conn = p.program.connect()
        conn.sendall(order("ok", X_Request_ID="gone"))
        wait_until(lambda: connecting(p, node.sock.getsockname()[1]))
        conn.close()
        wait_until(lambda: held(p) <= before + 1)  # what comes up to the node may go on
        node.release.set()
        assert pool.submit(p.program.request, order("ok", X_Request_ID="last")).result(20)[0] == 200
        wait_until(lambda: not connecting(p, node.sock.getsockname()[1]))
        assert ids(p) == ["last"]


def fill(conn: socket.socket) -> int:
    """Orders, until neither side of the connection holds any more: what comes after them stays here, and so does the
    caller's end."""
    conn.setblocking(False)
    sent, idle = 0, 0
    while idle < 20:  # the other side's share grows while it is used
        piece = order("ok", body=bytes(30_000))
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


@pytest.mark.parametrize("leave", [close, half])
def test_who_goes_behind_more_than_its_connection_holds_is_not_sent_on(
    tmp_path: Path, leave: Callable[[socket.socket], None]
) -> None:
    with crowded(tmp_path, may_cancel=False) as (p, go_on):
        before = held(p)
        conn = p.program.connect()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 200_000)
        conn.sendall(order("ok"))
        wait_until(lambda: held(p) > before)
        assert fill(conn) > 300_000
        leave(conn)
        wait_until(lambda: held(p) == before)
        go_on()
        conn.close()


def test_what_was_taken_ahead_of_its_turn_is_answered_in_order_and_bounded(tmp_path: Path) -> None:
    """Each order behind one that waits gets its own answer; of all that callers send ahead only so much is held."""
    few = {"cores": 1.0, "memory_mb": 64, "sockets": 256}
    with (
        running_proxy(tmp_path, settings=patient(may_cancel=False), limits=few) as p,
        ThreadPoolExecutor() as pool,
    ):
        first = pool.submit(p.program.request, order("wait"))
        assert p.nodes[0].held.acquire(timeout=20)
        crowd = [p.program.connect() for _ in range(12)]
        bodies = [bytes([i]) * 30_000 for i in range(100)]
        sending = [
            pool.submit(conn.sendall, b"".join(order("echo", body=body) for body in bodies)) for conn in crowd
        ]
        time.sleep(0.5)  # what is not taken by now stays where it is
        memory = Path(f"/proc/{p.program.process.pid}/status").read_text()
        assert int(memory.partition("VmRSS:")[2].split()[0]) < 64 * 1024
        p.nodes[0].release.set()
        assert first.result(20)[0] == 200
        served = 0
        for conn in crowd:
            for body in bodies:
                status, _, got = read_response(conn)
                assert (status, got) in ((200, body), (503, b"refused\n"))
                served += status == 200
            conn.close()
        assert served
        assert not [future.result(20) for future in sending if future.result(20)]


class Sluggish(ScriptedNode):
    """Takes a head, and the body only when it is let."""

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


def test_who_goes_while_its_order_is_being_written_is_not_written_whole(tmp_path: Path) -> None:
    with running_proxy(tmp_path, kind=Sluggish, settings=patient(may_cancel=False)) as p:
        watched(p)
        before = held(p)
        conn = p.program.connect()
        conn.sendall(order("ok", body=bytes(12_000_000), X_Request_ID="gone"))
        assert p.nodes[0].held.acquire(timeout=20)
        conn.close()
        wait_until(lambda: held(p) <= before + 1)
        p.nodes[0].release.set()
        assert p.nodes[0].disconnected.acquire(timeout=20) and not p.nodes[0].requests
