"""Signals, and bytes that arrive just as a connection is closed. Each test forces one bad interleaving."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
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
from slatehub.fronts.http1 import caller_connection
from slatelab.reserved_address import ReservedAddress

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


# ---------------------------------------------------------------- connections


def test_an_unread_request_is_answered_when_idle_connections_are_closed() -> None:
    http_server = make_server(DispatcherRig())
    caller, connection = connect_caller(http_server, READY)
    assert caller.recv(1000).startswith(b"HTTP/1.1 ")
    run_event_loop()
    http_server.connections[connection] = None
    caller.sendall(READY)  # the reader has not run since
    http_server._close_idle(clock(), finished=False)
    assert not connection.closed and caller.recv(1000).startswith(b"HTTP/1.1 ")
    run_event_loop()
    http_server._close_idle(clock(), finished=False)
    assert connection.closed and caller.recv(10) == b""  # closed by FIN, no reset
    caller.close()


def test_a_caller_that_keeps_sending_is_closed_once_no_more_answers_are_given() -> None:
    http_server = make_server(DispatcherRig())
    caller, connection = connect_caller(http_server, READY)
    assert caller.recv(1000).startswith(b"HTTP/1.1 ")
    run_event_loop()
    http_server.connections[connection] = None
    caller.sendall(READY)
    http_server._close_idle(clock(), finished=True)
    assert connection.closed
    caller.close()


def test_connections_accepted_from_the_backlog_at_shutdown_have_tcp_nodelay() -> None:
    """Small writes that the kernel delays are lost when the connection is reset."""
    http_server, listener = make_server(DispatcherRig()), open_listener()
    http_server.start(listener)
    http_server.acceptor.kill()
    callers = [gsocket.create_connection(listener.getsockname()) for _ in range(3)]
    http_server._accept_backlog()
    assert len(http_server.connections) == 3
    for connection in http_server.connections:
        assert connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    for caller in callers:
        caller.close()
    listener.close()


@pytest.mark.parametrize("bound", ["all connections", "one connection"])
def test_read_ahead_is_bounded_and_its_memory_is_released(
    bound: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    http_server = make_server(DispatcherRig())
    caller, connection = connect_caller(http_server, b"")
    run_event_loop()
    http_server.memory.limit = 160_000 if bound == "all connections" else 10_000_000
    if bound == "one connection":
        monkeypatch.setattr(caller_connection, "MAX_READ_AHEAD_BYTES", 40_000)
    limit = 40_000 + caller_connection.READ_CHUNK_BYTES
    connection.job = SimpleNamespace(responder=connection)  # type: ignore[assignment]
    caller.setblocking(False)
    try:
        while True:
            caller.send(bytes(10_000))
    except OSError:
        pass
    connection.read_ahead()
    connection.read_ahead()
    assert (
        40_000
        <= len(connection.read_ahead_buffer)
        == http_server.bytes_read_ahead
        == http_server.memory.held
        < limit
    )
    connection.job = None
    connection.close()
    assert http_server.bytes_read_ahead == http_server.memory.held == 0
    caller.close()


class ResettingNode(ScriptedNode):
    """Begins a large response without a length and resets the connection."""

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
    with running_proxy(tmp_path, kind=ResettingNode) as p, p.program.connect() as conn:
        conn.sendall(
            build_request("endless-reset", SAFE_CLASS).replace(b"HTTP/1.1", f"HTTP/{version}".encode())
        )
        received = conn.recv(65536)
        assert received.startswith(b"HTTP/1.1 200 ") and p.nodes[0].held.acquire(timeout=20)
        p.nodes[0].release.set()
        ended = "cleanly"
        try:
            while chunk := conn.recv(65536):
                received += chunk
        except ConnectionResetError:
            ended = "by reset"
        # Over HTTP/1.1 the framing shows it: the last chunk is missing.
        assert ended == "by reset" if version == "1.0" else not received.endswith(b"0\r\n\r\n")


# ---------------------------------------------------------------- signals


def test_more_signals_during_a_stop_change_nothing(tmp_path: Path) -> None:
    with (
        running_proxy(tmp_path) as p,
        ThreadPoolExecutor() as pool,
        ReservedAddress() as moved,
    ):
        waiting = pool.submit(p.program.request, build_request("wait"))
        assert p.nodes[0].held.acquire(timeout=20)
        process = p.program.process
        process.send_signal(signal.SIGTERM)
        wait_until(lambda: any("finishing 1 jobs" in line for line in list(p.program.log)))
        config = json.loads((tmp_path / "config.json").read_text())
        (tmp_path / "config.json").write_text(json.dumps({**config, "listen": str(moved)}))
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGUSR2, signal.SIGTERM):
            process.send_signal(number)
        # The process still runs and listens at the same address.
        assert p.program.request(build_request("ok"))[0] in (200, 503)
        p.nodes[0].release.set()
        assert waiting.result(20)[0] == 200
        assert process.wait(20) == 0
        assert not any("read again" in line for line in p.program.log)


def test_a_stop_waits_for_a_reload_in_progress_and_none_begins_after_it() -> None:
    parts: Any = [SimpleNamespace() for _ in range(7)]
    reloader, steps, may_continue = SettingsReloader(None, *parts), [], gevent.event.Event()

    def reload() -> None:
        steps.append("begun")
        may_continue.wait()
        steps.append("through")

    reloader._reload = reload  # type: ignore[method-assign]
    gevent.spawn(reloader)
    gevent.sleep(0)
    stop = gevent.spawn(reloader.close)
    gevent.sleep(0)
    assert steps == ["begun"] and not stop.ready()
    may_continue.set()
    stop.join(5)
    assert steps == ["begun", "through"]
    late_reload = gevent.spawn(reloader)
    run_event_loop()
    assert steps == ["begun", "through"] and not late_reload.ready()
    late_reload.kill()


# Replaces a library that the program loads: creates one file when loading begins and waits for another.
DELAYED_LIBRARY = """
import importlib, os, sys, time
open({began!r}, "w").close()
while not os.path.exists({go!r}):
    time.sleep(0.005)
sys.path.remove({here!r})
del sys.modules["click"]
sys.modules["click"] = importlib.import_module("click")
"""


def test_a_signal_that_asks_for_a_reload_does_not_end_a_process_that_is_only_starting() -> None:
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    before_program = run.partition("exec ")[0]
    program = "kill -HUP $$; kill -USR2 $$; echo alive"
    done = subprocess.run(["sh", "-c", f"{before_program}exec sh -c '{program}'"], capture_output=True)
    assert done.stdout == b"alive\n" and run.partition("exec ")[1]


@pytest.mark.parametrize(
    ("number", "code"), [(signal.SIGHUP, None), (signal.SIGUSR2, None), (signal.SIGTERM, -15)]
)
def test_a_signal_while_the_program_loads(tmp_path: Path, number: signal.Signals, code: int | None) -> None:
    """SIGHUP and SIGUSR2 do not end the program, which starts with the current settings. SIGTERM may end it, as no
    request has been accepted yet."""
    library, began, may_continue = tmp_path / "lib", tmp_path / "began", tmp_path / "go"
    library.mkdir()
    (library / "click.py").write_text(
        DELAYED_LIBRARY.format(began=str(began), go=str(may_continue), here=str(library))
    )
    node = ScriptedNode()
    config = {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "settings": settings(),
        "known": {"revision": 0, "complete": True, "members": [node_entry("s-0", node.address)]},
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(config))
    env = {**os.environ, "EDGE_CONFIG": str(tmp_path / "config.json"), "PYTHONPATH": str(library)}
    argv = [sys.executable, "-B", "-m", "slatehub", "serve"]
    process = subprocess.Popen(argv, cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True)
    assert process.stderr
    try:
        wait_until(began.exists)
        process.send_signal(number)
        may_continue.touch()
        line = next((x for x in process.stderr if " listens on " in x), "")
        if code is None:
            address = line.partition(" listens on ")[2].split(",")[0].rpartition(":")
            with socket.create_connection((address[0], int(address[2])), 20) as conn:
                conn.sendall(build_request("ok"))
                assert read_response(conn)[0] == 200
        else:
            assert not line and process.wait(20) == code
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
        node.sock.close()


def test_a_stop_right_after_the_start_ends_in_order(tmp_path: Path) -> None:
    with running_proxy(tmp_path) as p:
        p.program.process.send_signal(signal.SIGTERM)
        with p.program.connect() as conn:
            conn.sendall(build_request("ok"))
            status, head, _ = read_response(conn)
            assert status == 200 and header_value(head, "content-length") == "4"
        assert p.program.process.wait(20) == 0
