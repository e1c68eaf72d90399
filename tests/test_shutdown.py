"""Signals, and bytes that arrive in the moment in which something is shut: each bad order is made to happen."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent import socket as gsocket
from proxy_rig import (
    ROOT,
    SAFE_CLASS,
    ScriptedNode,
    build_request,
    header_value,
    node_entry,
    read_response,
    running_proxy,
    settings,
    wait_until,
)
from test_error_paths import connect_caller, make_server
from test_line import DispatcherRig, open_listener, run_event_loop

from slatehub.cli.main import SettingsReloader
from slatehub.drivers.clock import clock
from slatehub.fronts.http1 import server

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


# ---------------------------------------------------------------- connections


def test_a_request_that_has_come_unread_when_the_resting_are_closed_is_answered() -> None:
    hall = make_server(DispatcherRig())
    caller, screen = connect_caller(hall, READY)
    assert caller.recv(1000).startswith(b"HTTP/1.1 ")
    run_event_loop()
    hall.connections[screen] = None
    caller.sendall(READY)  # and the screen has not run since
    hall._close_idle(clock(), over=False)
    assert not screen.closed and caller.recv(1000).startswith(b"HTTP/1.1 ")
    run_event_loop()
    hall._close_idle(clock(), over=False)
    assert screen.closed and caller.recv(10) == b""  # a clean end, no reset
    caller.close()


def test_who_goes_on_sending_is_closed_once_nothing_more_is_answered() -> None:
    hall = make_server(DispatcherRig())
    caller, screen = connect_caller(hall, READY)
    assert caller.recv(1000).startswith(b"HTTP/1.1 ")
    run_event_loop()
    hall.connections[screen] = None
    caller.sendall(READY)
    hall._close_idle(clock(), over=True)
    assert screen.closed
    caller.close()


def test_who_is_let_in_at_the_last_call_is_written_to_without_delay() -> None:
    """Small writes that the system holds back go with a reset."""
    hall, place = make_server(DispatcherRig()), open_listener()
    hall.start(place)
    hall.acceptor.kill()
    callers = [gsocket.create_connection(place.getsockname()) for _ in range(3)]
    hall._accept_backlog()
    assert len(hall.connections) == 3
    for screen in hall.connections:
        assert screen.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    for caller in callers:
        caller.close()
    place.close()


@pytest.mark.parametrize("bound", ["of all", "of one"])
def test_what_is_taken_ahead_has_a_bound_and_is_given_back(
    bound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    hall = make_server(DispatcherRig())
    caller, screen = connect_caller(hall, b"")
    run_event_loop()
    hall.memory_limit = 160_000 if bound == "of all" else 10_000_000
    if bound == "of one":
        monkeypatch.setattr(server, "MAX_READ_AHEAD_BYTES", 40_000)
    most = 40_000 + server.READ_CHUNK_BYTES
    screen.job = SimpleNamespace(responder=screen)  # type: ignore[assignment]
    caller.setblocking(False)
    try:
        while True:
            caller.send(bytes(10_000))
    except OSError:
        pass
    screen.read_ahead()
    screen.read_ahead()
    assert 40_000 <= len(screen.read_ahead_buffer) == hall.bytes_read_ahead == hall.bytes_held < most
    screen.job = None
    screen.close()
    assert hall.bytes_read_ahead == hall.bytes_held == 0
    caller.close()


class Breaks(ScriptedNode):
    """Begins a large answer without a length, and resets it."""

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        if "/endless-reset" not in head.split("\r\n")[0]:
            return super().respond(conn, head, body)
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(300_000))
        self.held.release()
        self.release.wait(20)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        return False


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_an_answer_without_a_length_that_is_reset_never_ends_cleanly(tmp_path: Path, version: str) -> None:
    with running_proxy(tmp_path, kind=Breaks) as p, p.program.connect() as conn:
        conn.sendall(
            build_request("endless-reset", SAFE_CLASS).replace(b"HTTP/1.1", f"HTTP/{version}".encode())
        )
        got = conn.recv(65536)
        assert got.startswith(b"HTTP/1.1 200 ") and p.nodes[0].held.acquire(timeout=20)
        p.nodes[0].release.set()
        ended = "cleanly"
        try:
            while piece := conn.recv(65536):
                got += piece
        except ConnectionResetError:
            ended = "by reset"
        # Over HTTP/1.1 the framing tells: no last chunk has come.
        assert ended == "by reset" if version == "1.0" else not got.endswith(b"0\r\n\r\n")


# ---------------------------------------------------------------- signals


def test_more_signals_during_a_stop_change_nothing(tmp_path: Path) -> None:
    with (
        running_proxy(tmp_path) as p,
        ThreadPoolExecutor() as pool,
        socket.create_server(("127.0.0.1", 0)) as spare,
    ):
        port = spare.getsockname()[1]
        spare.close()
        held = pool.submit(p.program.request, build_request("wait"))
        assert p.nodes[0].held.acquire(timeout=20)
        process = p.program.process
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: any("finishing 1 jobs" in line for line in list(p.program.log)))
        tree = json.loads((tmp_path / "config.json").read_text())
        (tmp_path / "config.json").write_text(json.dumps({**tree, "listen": f"127.0.0.1:{port}"}))
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR2, signal.SIGTERM):
            process.send_signal(number)
        assert p.program.request(build_request("ok"))[0] in (
            200,
            503,
        )  # still there, at the address where it was
        p.nodes[0].release.set()
        assert held.result(20)[0] == 200
        assert process.wait(20) == 0
        assert not any("read again" in line for line in p.program.log)


def test_a_stop_waits_for_a_renewal_that_has_begun_and_none_begins_after_it() -> None:
    parts: Any = [SimpleNamespace() for _ in range(7)]
    renewal, began, goes_on = SettingsReloader(None, *parts), [], gevent.event.Event()

    def renew() -> None:
        began.append("begun")
        goes_on.wait()
        began.append("through")

    renewal._reload = renew  # type: ignore[method-assign]
    gevent.spawn(renewal)
    gevent.sleep(0)
    stop = gevent.spawn(renewal.close)
    gevent.sleep(0)
    assert began == ["begun"] and not stop.ready()
    goes_on.set()
    stop.join(5)
    assert began == ["begun", "through"]
    late = gevent.spawn(renewal)
    run_event_loop()
    assert began == ["begun", "through"] and not late.ready()
    late.kill()


# In the place of a library that the program loads: says that loading has begun, and goes on when it is let.
HELD_UP = """
import importlib, os, sys, time
open({began!r}, "w").close()
while not os.path.exists({go!r}):
    time.sleep(0.005)
sys.path.remove({here!r})
del sys.modules["click"]
sys.modules["click"] = importlib.import_module("click")
"""


@pytest.mark.parametrize(
    ("number", "code"), [(signal.SIGHUP, None), (signal.SIGUSR2, None), (signal.SIGTERM, -15)]
)
def test_a_signal_while_the_program_loads(tmp_path: Path, number: signal.Signals, code: int | None) -> None:
    """SIGHUP and SIGUSR2 do not end it, and it goes by the settings as they are then; SIGTERM may: nothing has been
    taken yet."""
    lib, began, go = tmp_path / "lib", tmp_path / "began", tmp_path / "go"
    lib.mkdir()
    (lib / "click.py").write_text(HELD_UP.format(began=str(began), go=str(go), here=str(lib)))
    node = ScriptedNode()
    tree = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "settings": settings(),
        "known": {"revision": 0, "complete": True, "members": [node_entry("s-0", node.address)]},
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(tree))
    env = {**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json"), "PYTHONPATH": str(lib)}
    argv = [sys.executable, "-B", "-m", "slatehub", "serve"]
    process = subprocess.Popen(argv, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    assert process.stderr
    try:
        wait_until(began.exists)
        process.send_signal(number)
        go.touch()
        line = next((x for x in process.stderr if " listens on " in x), "")
        if code is None:
            place = line.partition(" listens on ")[2].split(",")[0].rpartition(":")
            with socket.create_connection((place[0], int(place[2])), 20) as conn:
                conn.sendall(build_request("ok"))
                assert read_response(conn)[0] == 200
        else:
            assert not line and process.wait(20) == code
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
        node.sock.close()


def test_a_stop_told_as_soon_as_it_listens_ends_in_order(tmp_path: Path) -> None:
    with running_proxy(tmp_path) as p:
        p.program.process.send_signal(signal.SIGTERM)
        with p.program.connect() as conn:
            conn.sendall(build_request("ok"))
            status, head, _ = read_response(conn)
            assert status == 200 and header_value(head, "content-length") == "4"
        assert p.program.process.wait(20) == 0
