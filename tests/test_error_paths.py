"""Error paths, timers and fallbacks that load tests do not reach: each is entered once, and the next operation must
work."""

from __future__ import annotations

import errno
import json
import signal
import socket as plain
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from audit import assert_idle
from gevent import socket
from proxy_rig import SAFE_CLASS, build_request, running_proxy, wait_until
from test_line import (
    DispatcherRig,
    ScriptedBalancer,
    connect_caller,
    make_pool,
    make_server,
    open_listener,
    run_event_loop,
)
from test_program import run

from paddlestep.interface import Entry, ListKind, Send, Status
from slatehub.core.jobs import Answer, AnswerStatus, Attempt
from slatehub.core.stages import JobTable, Route
from slatehub.decisions.maintenance import Maintenance
from slatehub.discovery.node_list import NodeList
from slatehub.drivers import pipe as pipe_module
from slatehub.drivers.pipe import Pipe, ReaderClosed
from slatehub.fronts.http1 import caller_connection
from slatehub.handover.link import ProcessLink
from slatehub.handover.messages import MessageDecoder
from slatehub.mgmt import server as admin_server_module
from slatehub.mgmt.routes import AdminRequest, AdminResponse
from slatehub.mgmt.server import AdminServer
from slatehub.mgmt.state import StateFile
from slatehub.observe import recorder
from slatehub.observe.recorder import FlightRecorder
from slatelab.reserved_address import ReservedAddress

# ---------------------------------------------------------------- pipe, state file, stages


def test_a_pipe_whose_other_side_stalls_or_leaves_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("STALL_TIMEOUT_S", "READER_TIMEOUT_S"):
        monkeypatch.setattr(pipe_module, name, 0.01)
    closed: list[int] = []
    pipe = Pipe(lambda: closed.append(1))
    # No chunk arrives in time: this read and every later one report the body as cut off.
    assert pipe.read_chunk() is None and pipe.read_chunk() is None
    pipe = Pipe(lambda: closed.append(2))
    pipe.write_chunk(b"a")
    with pytest.raises(ReaderClosed):
        pipe.write_chunk(b"b")  # the previous chunk is not read
    assert closed == [2]
    for operation in (lambda: pipe.write_chunk(b"c"), pipe.finish):
        with pytest.raises(ReaderClosed):
            operation()
    pipe.abort()  # allowed after the reader has closed
    assert pipe.read_chunk() == b"a"


def test_maintenance_that_cannot_be_saved_is_in_force_all_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path / "gone"))
    maintenance = Maintenance()
    maintenance.start_maintenance("s-1", True, 5)
    state = StateFile("n0")
    state.save(maintenance)
    state.load(loaded := Maintenance())
    assert maintenance.started_at and not loaded.started_at
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    blocked = StateFile("n1")
    blocked.path.mkdir()  # a directory where the file would be
    (blocked.path / "x").touch()
    blocked.save(maintenance)
    blocked.load(loaded)
    assert not loaded.started_at and not [f for f in tmp_path.iterdir() if f != blocked.path]


def test_a_send_for_a_job_that_is_over_goes_nowhere() -> None:
    assert Route(JobTable())(Send(7, 1), 5) is None


# ---------------------------------------------------------------- dispatcher and caller connections


def test_a_transport_that_cannot_start_an_attempt_leaves_no_caller_waiting() -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1), Entry(2)))
    original_send = rig.send

    def broken(attempt: Attempt) -> None:
        raise MemoryError("no greenlet")

    rig.send = broken  # type: ignore[method-assign]
    rig.submit_job("a")
    run_event_loop()
    rig.send = original_send  # type: ignore[method-assign]
    assert [a.status for _, a in rig.answers] == [AnswerStatus.FAILED]
    rig.submit_job("b")
    run_event_loop()
    rig.driver.attempt_ended(rig.attempts[-1], Status.OK, (), "print")
    run_event_loop()
    assert rig.answers[-1] == ("b", Answer(AnswerStatus.SERVED, "print"))
    assert_idle(rig.dispatcher)


REQUEST = b"POST /orders HTTP/1.1\r\nX-Request-ID: %s\r\nX-Priority-Class: orders\r\nX-Timeout: 9000m\r\n\r\n"


@pytest.mark.parametrize("where", ["order", "check"])
def test_an_internal_error_is_a_500_and_the_next_request_is_served(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig)

    def fails(*_: Any) -> Any:
        raise ZeroDivisionError("planted")

    with monkeypatch.context() as planted:
        if where == "order":
            planted.setattr(rig.dispatcher.recovery, "job_arrived", fails)
        else:
            planted.setattr(caller_connection, "validate_request", fails)
        caller, connection = connect_caller(http_server, REQUEST % b"a")
        assert caller.recv(1000).startswith(b"HTTP/1.1 500 ") and not rig.driver.job_table.jobs
    caller.sendall(REQUEST % b"b")
    while not rig.attempts:
        gevent.sleep(0.001)
    rig.driver.attempt_ended(rig.attempts[0], Status.ERROR)
    assert caller.recv(1000).startswith(b"HTTP/1.1 500 ")
    caller.close()
    while http_server.connections:
        gevent.sleep(0.001)
    assert_idle(rig.dispatcher)


def test_a_fault_while_reading_ends_that_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = DispatcherRig()
    http_server = make_server(rig)
    caller, connection = connect_caller(http_server, b"")
    monkeypatch.setattr(connection.parser, "feed", lambda data: 1 // 0)
    caller.sendall(b"x")
    assert (
        caller.recv(10) == b""
        and connection.closed
        and not http_server.connections
        and http_server.memory.held == 0
    )


def test_an_answer_without_a_node_response_is_a_failure() -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    caller, _ = connect_caller(make_server(rig), REQUEST % b"a")
    while not rig.attempts:
        gevent.sleep(0.001)
    rig.driver.attempt_ended(rig.attempts[0], Status.OK, (), "no print")
    assert caller.recv(1000).startswith(b"HTTP/1.1 500 ")
    caller.close()


# ---------------------------------------------------------------- the admin listener


class ExhaustedListener:
    """A listener whose first two calls of `accept` fail for lack of descriptors."""

    def __init__(self) -> None:
        self.sock, self.attempts = open_listener(), 0

    def accept(self) -> Any:
        self.attempts += 1
        if self.attempts < 3:
            raise OSError(errno.EMFILE, "planted")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def admin_call(listener: Any, raw: bytes) -> bytes:
    with socket.create_connection(listener.getsockname()) as conn:
        conn.sendall(raw)
        return conn.recv(1000)


def test_an_operators_call_that_fails_is_a_no_and_the_next_one_is_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    operations: list[str] = []

    def handle(call: AdminRequest) -> AdminResponse:
        operations.append(call.operation)
        if len(operations) == 1:
            raise ValueError("planted")
        return AdminResponse(200, "yes")

    admin_server, listener = AdminServer(handle), open_listener()
    admin_server.open(listener)
    health = b"%b /healthcheck HTTP/1.1\r\n\r\n"
    assert admin_call(listener, health % b"GET").startswith(b"HTTP/1.1 500 ")
    assert admin_call(listener, health % b"HEAD").endswith(b"\r\n\r\n")
    monkeypatch.setattr(admin_server_module, "MAX_CONNECTIONS", 2)
    silent = [socket.create_connection(listener.getsockname()) for _ in range(5)]
    assert admin_call(listener, health % b"GET").startswith(b"HTTP/1.1 200 ")
    assert any(conn.recv(1) == b"" for conn in silent[:3])
    for conn in silent:
        conn.close()
    admin_server.open(None)
    assert admin_server.listener is None
    with pytest.raises(OSError):
        admin_call(listener, b"")


def test_no_descriptor_for_an_operator_is_waited_out() -> None:
    admin_server, listener = AdminServer(lambda call: AdminResponse(200, "yes")), ExhaustedListener()
    acceptor = gevent.spawn(admin_server._accept, listener)
    assert (
        admin_call(listener, b"GET /healthcheck HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 200 ")
        and listener.attempts >= 3
    )
    acceptor.kill()
    listener.close()


def test_the_server_waits_while_no_descriptor_is_free_and_closes_an_idle_connection() -> None:
    rig = DispatcherRig()
    http_server, listener = make_server(rig), ExhaustedListener()
    resting, _ = connect_caller(http_server, b"GET /ready HTTP/1.1\r\n\r\n")
    assert resting.recv(1000).startswith(b"HTTP/1.1 ")

    http_server.start(listener)
    with socket.create_connection(listener.getsockname()) as conn:
        conn.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        assert conn.recv(1000).startswith(b"HTTP/1.1 200 ") and listener.attempts >= 3
    assert resting.recv(10) == b""
    http_server.acceptor.kill()
    listener.close()


def test_a_missing_answer_of_the_other_process_is_none_and_a_fault_there_is_a_500() -> None:
    ours, theirs = socket.socketpair()

    def fails(tree: Any) -> Any:
        raise ValueError("planted")

    one = ProcessLink(ours, MessageDecoder(), [], lambda tree: {"status": 200}, lambda link: None)
    other = ProcessLink(theirs, MessageDecoder(), [], fails, lambda link: None)
    assert (
        one.request({"call": "ok"}, 5) == {"status": 500, "re": 1}
        and other.request({"call": "ok"}, 5) is not None
    )
    other.greenlet.kill()  # it does not read any more
    assert one.request({"call": "ok"}, 0.01) is None and not one.pending
    one.close()
    assert one.request({"call": "ok"}, 5) is None


# ---------------------------------------------------------------- discovery, nodes, recorder


def test_a_watch_can_be_stopped_and_started_and_a_closed_connection_is_replaced() -> None:
    rig = DispatcherRig()
    with open_listener() as listener:
        config: Any = SimpleNamespace(
            kinds={}, zones={}, known={}, discovery=listener.getsockname(), conn_idle_us=9_000_000
        )
        nodes = NodeList(config, rig.driver, make_pool(rig, listener))
        body = b'{"revision":%d,"complete":true,"members":[]}'
        for revision, header in ((1, b"Connection: close\r\n"), (2, b""), (3, b"")):
            nodes.watch(True)
            conn, _ = listener.accept()
            assert conn.recv(1000).startswith(b"GET /v1/endpoints")
            text = body % revision
            conn.sendall(b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (header, len(text), text))
            while nodes.revision != revision:
                gevent.sleep(0.001)
            if revision == 2:
                conn.close()  # while it is idle: the next call finds it closed
                conn, _ = listener.accept()
                assert b"since=2&" in conn.recv(1000)
            nodes.watch(False)
            run_event_loop()
            assert nodes.watcher is None and nodes.connection is None
        assert not rig.dispatcher.nodes
        nodes.watch(True)
        conn, _ = listener.accept()
        conn.recv(1000)
        conn.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        while nodes.watcher:
            gevent.sleep(0.001)
        assert nodes.revision == 3  # a failed call does not change the known list


def test_a_send_to_a_node_that_was_never_listed_is_moot() -> None:
    balancer = ScriptedBalancer(Send(1, 77))
    rig = DispatcherRig(balancer)
    with open_listener() as listener:
        pool = make_pool(rig, listener)
        rig.submit_job("a")
        run_event_loop()
        pool.send(rig.attempts[0])
        run_event_loop()
        assert rig.attempts[0].finished and pool.open_connections == 0


def test_a_recorder_that_fails_is_switched_off_without_further_effect(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    rig = DispatcherRig()
    flight_recorder = FlightRecorder(lambda: rig.dispatcher.balancer, lambda: {}, 10)
    flight_recorder.configure(("n0", 0, "", ""), 10, str(tmp_path), 2)
    rig.dispatcher.recorder = flight_recorder

    def fails(*_: Any) -> Any:
        raise OverflowError("planted")

    monkeypatch.setattr(flight_recorder.encoder, "encode_batch", fails)
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    rig.submit_job("a")
    run_event_loop()
    assert flight_recorder.ring is None and rig.attempts and not flight_recorder.write("asked")
    flight_recorder.record_fault(ValueError("planted"))
    rig.driver.attempt_ended(rig.attempts[0], Status.OK, (), "print")
    assert rig.answers == [("a", Answer(AnswerStatus.SERVED, "print"))] and not list(tmp_path.iterdir())
    again = FlightRecorder(lambda: rig.dispatcher.balancer, lambda: {}, 10)
    # Without a folder of its own the recorder would write to the tests' working directory.
    again.configure(("n0", 0, "", ""), 10, str(tmp_path), 2)
    monkeypatch.setattr(recorder.flight, "serialize_balancer", fails)
    again.record_fault(ValueError("planted"))
    assert again.ring is None


# ---------------------------------------------------------------- the started program


@pytest.mark.parametrize("key", ["listen", "mgmt"])
def test_an_address_that_is_taken_ends_the_start_and_is_turned_down_on_sighup(
    tmp_path: Path, key: str
) -> None:
    with plain.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        done = run(tmp_path, "serve", **{key: address})
        assert done.returncode in (1, 2) and key in done.stderr and "Traceback" not in done.stderr
        with running_proxy(tmp_path, mgmt="127.0.0.1:0") as p:
            tree = json.loads((tmp_path / "config.json").read_text())
            (tmp_path / "config.json").write_text(json.dumps(tree | {key: address}))
            p.program.process.send_signal(signal.SIGHUP)
            wait_until(lambda: any(f"old ones stay in force: {key}: " in x for x in p.program.log))
            assert (
                p.program.request(build_request("ok", SAFE_CLASS))[0] == 200
                and p.program.management_call("GET", "/healthcheck") == 200
            )


def test_the_operators_address_moves_and_what_fails_unforeseen_leaves_the_old_settings(
    tmp_path: Path,
) -> None:
    code = (
        "import sys, slatehub.cli.main\nm = sys.modules['slatehub.cli.main']\nsound = m.resource_shares\ncalls = []\n"
        "def shares(*a):\n    calls.append(1)\n"
        "    if len(calls) == 2: raise RuntimeError('planted')\n    return sound(*a)\n"
        "m.resource_shares = shares"
    )
    with (
        ReservedAddress() as moved,
        running_proxy(tmp_path, mgmt="127.0.0.1:0", code=code, faults=True) as p,
    ):
        tree = json.loads((tmp_path / "config.json").read_text())
        (tmp_path / "config.json").write_text(json.dumps(tree | {"mgmt": str(moved)}))
        for line in ("new settings: RuntimeError: planted", "read again and in force"):
            p.program.process.send_signal(signal.SIGHUP)
            wait_until(lambda line=line: any(line in x for x in p.program.log))
            assert p.program.request(build_request("ok", SAFE_CLASS))[0] == 200
        with plain.create_connection(("127.0.0.1", moved.port), 20) as conn:
            conn.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
            assert conn.recv(100).startswith(b"HTTP/1.1 200 ")
