"""Error paths, timers and fallbacks that no day reaches: each is entered once, and what comes after it works."""

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
from audit import at_rest
from gevent import socket
from proxy_rig import SAFE_CLASS, build_request, running_proxy, wait_until
from test_line import Script, Stand, hall_for, listen, rest, room_for, screen_for
from test_program import run

from paddlestep.interface import Entry, ListKind, Send, Status
from slatehub.core.jobs import Answer, AnswerStatus, Attempt
from slatehub.core.stages import JobTable, Route
from slatehub.decisions.maintenance import Maintenance
from slatehub.discovery.node_list import NodeList
from slatehub.drivers import pipe as pipes
from slatehub.drivers.pipe import Pipe, ReaderClosed
from slatehub.fronts.http1 import server
from slatehub.handover.link import ProcessLink
from slatehub.handover.messages import MessageDecoder
from slatehub.mgmt import server as operators
from slatehub.mgmt.routes import AdminRequest, AdminResponse
from slatehub.mgmt.server import AdminServer
from slatehub.mgmt.state import StateFile
from slatehub.observe import recorder
from slatehub.observe.recorder import FlightRecorder

# ---------------------------------------------------------------- pipe, state file, stages


def test_a_pipe_whose_other_side_stalls_or_leaves_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pipes, "STALL_TIMEOUT_S", 0.01)
    left: list[int] = []
    pipe = Pipe(lambda: left.append(1))
    assert (
        pipe.read_chunk() is None and pipe.read_chunk() is None
    )  # nothing comes: it has broken off, for good
    pipe = Pipe(lambda: left.append(2))
    pipe.write_chunk(b"a")
    with pytest.raises(ReaderClosed):
        pipe.write_chunk(b"b")  # nobody takes the one before
    assert left == [2]
    for give in (lambda: pipe.write_chunk(b"c"), pipe.finish):
        with pytest.raises(ReaderClosed):
            give()
    pipe.abort()  # it may break off as well
    assert pipe.read_chunk() == b"a"


def test_nodes_out_by_hand_that_cannot_be_kept_are_out_all_the_same(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path / "gone"))
    held = Maintenance()
    held.start_maintenance("s-1", True, 5)
    state = StateFile("n0")
    state.save(held)
    state.load(into := Maintenance())
    assert held.started_at and not into.started_at
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    blocked = StateFile("n1")
    blocked.path.mkdir()  # in the place of the file
    (blocked.path / "x").touch()
    blocked.save(held)
    blocked.load(into)
    assert not into.started_at and not [f for f in tmp_path.iterdir() if f != blocked.path]


def test_a_send_for_a_job_that_is_over_goes_nowhere() -> None:
    assert Route(JobTable())(Send(7, 1), 5) is None


# ---------------------------------------------------------------- desk and screens


def test_a_floor_that_cannot_start_an_attempt_leaves_nobody_waiting() -> None:
    stand = Stand()
    stand.desk.update_nodes(ListKind.FULL, 1, (Entry(1), Entry(2)))
    sound = stand.send

    def broken(attempt: Attempt) -> None:
        raise MemoryError("no greenlet")

    stand.send = broken  # type: ignore[method-assign]
    stand.job("a")
    rest()
    stand.send = sound  # type: ignore[method-assign]
    assert [a.status for _, a in stand.answers] == [AnswerStatus.FAILED]
    stand.job("b")
    rest()
    stand.desk.attempt_ended(stand.attempts[-1], Status.OK, (), "print")
    rest()
    assert stand.answers[-1] == ("b", Answer(AnswerStatus.SERVED, "print"))
    at_rest(stand.core)


ASK = b"POST /orders HTTP/1.1\r\nX-Request-ID: %s\r\nX-Priority-Class: orders\r\nX-Timeout: 9000m\r\n\r\n"


@pytest.mark.parametrize("where", ["order", "check"])
def test_a_fault_of_our_own_is_a_500_and_the_next_request_is_served(
    where: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    stand = Stand()
    stand.desk.update_nodes(ListKind.FULL, 1, (Entry(1),))
    hall = hall_for(stand)

    def fails(*_: Any) -> Any:
        raise ZeroDivisionError("planted")

    with monkeypatch.context() as planted:
        if where == "order":
            planted.setattr(stand.core.recovery, "job_arrived", fails)
        else:
            planted.setattr(server, "validate_request", fails)
        caller, screen = screen_for(hall, ASK % b"a")
        assert caller.recv(1000).startswith(b"HTTP/1.1 500 ") and not stand.desk.job_table.jobs
    caller.sendall(ASK % b"b")
    while not stand.attempts:
        gevent.sleep(0.001)
    stand.desk.attempt_ended(stand.attempts[0], Status.ERROR)
    assert caller.recv(1000).startswith(b"HTTP/1.1 500 ")
    caller.close()
    while hall.connections:
        gevent.sleep(0.001)
    at_rest(stand.core)


def test_a_fault_while_reading_ends_that_connection_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    stand = Stand()
    hall = hall_for(stand)
    caller, screen = screen_for(hall, b"")
    monkeypatch.setattr(screen.parser, "feed", lambda data: 1 // 0)
    caller.sendall(b"x")
    assert caller.recv(10) == b"" and screen.closed and not hall.connections and hall.bytes_held == 0


def test_an_answer_that_no_machine_printed_is_a_failure() -> None:
    stand = Stand()
    stand.desk.update_nodes(ListKind.FULL, 1, (Entry(1),))
    caller, _ = screen_for(hall_for(stand), ASK % b"a")
    while not stand.attempts:
        gevent.sleep(0.001)
    stand.desk.attempt_ended(stand.attempts[0], Status.OK, (), "no print")
    assert caller.recv(1000).startswith(b"HTTP/1.1 500 ")
    caller.close()


# ---------------------------------------------------------------- the operators' address


class Short:
    """A listener that finds no descriptor twice."""

    def __init__(self) -> None:
        self.sock, self.turns = listen(), 0

    def accept(self) -> Any:
        self.turns += 1
        if self.turns < 3:
            raise OSError(errno.EMFILE, "planted")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def called(place: Any, raw: bytes) -> bytes:
    with socket.create_connection(place.getsockname()) as conn:
        conn.sendall(raw)
        return conn.recv(1000)


def test_an_operators_call_that_fails_is_a_no_and_the_next_one_is_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    asked: list[str] = []

    def act(call: AdminRequest) -> AdminResponse:
        asked.append(call.operation)
        if len(asked) == 1:
            raise ValueError("planted")
        return AdminResponse(200, "yes")

    desk, place = AdminServer(act), listen()
    desk.open(place)
    health = b"%b /healthcheck HTTP/1.1\r\n\r\n"
    assert called(place, health % b"GET").startswith(b"HTTP/1.1 500 ")
    assert called(place, health % b"HEAD").endswith(b"\r\n\r\n")
    monkeypatch.setattr(operators, "MAX_CONNECTIONS", 2)
    mute = [socket.create_connection(place.getsockname()) for _ in range(5)]
    assert called(place, health % b"GET").startswith(b"HTTP/1.1 200 ")
    assert any(conn.recv(1) == b"" for conn in mute[:3])
    for conn in mute:
        conn.close()
    desk.open(None)
    assert desk.listener is None
    with pytest.raises(OSError):
        called(place, b"")


def test_no_descriptor_for_an_operator_is_waited_out() -> None:
    desk, place = AdminServer(lambda call: AdminResponse(200, "yes")), Short()
    door = gevent.spawn(desk._accept, place)
    assert (
        called(place, b"GET /healthcheck HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 200 ") and place.turns >= 3
    )
    door.kill()
    place.close()


def test_no_descriptor_for_a_caller_is_waited_out_and_one_that_rests_makes_room() -> None:
    stand = Stand()
    hall, place = hall_for(stand), Short()
    resting, _ = screen_for(hall, b"GET /ready HTTP/1.1\r\n\r\n")
    assert resting.recv(1000).startswith(b"HTTP/1.1 ")

    hall.start(place)
    with socket.create_connection(place.getsockname()) as conn:
        conn.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        assert conn.recv(1000).startswith(b"HTTP/1.1 200 ") and place.turns >= 3
    assert resting.recv(10) == b""
    hall.acceptor.kill()
    place.close()


def test_an_answer_of_the_other_process_that_does_not_come_is_none_and_a_fault_there_is_told() -> None:
    ours, theirs = socket.socketpair()

    def fails(tree: Any) -> Any:
        raise ValueError("planted")

    one = ProcessLink(ours, MessageDecoder(), [], lambda tree: {"status": 200}, lambda link: None)
    other = ProcessLink(theirs, MessageDecoder(), [], fails, lambda link: None)
    assert (
        one.request({"call": "ok"}, 5) == {"status": 500, "re": 1}
        and other.request({"call": "ok"}, 5) is not None
    )
    other.greenlet.kill()  # it hears no more
    assert one.request({"call": "ok"}, 0.01) is None and not one.pending
    one.close()
    assert one.request({"call": "ok"}, 5) is None


# ---------------------------------------------------------------- discovery, nodes, recorder


def test_a_watch_is_given_up_and_taken_up_again_and_a_connection_that_ends_is_made_anew() -> None:
    stand = Stand()
    with listen() as peer:
        plant_: Any = SimpleNamespace(
            kinds={}, zones={}, known={}, discovery=peer.getsockname(), conn_idle_us=9_000_000
        )
        listing = NodeList(plant_, stand.desk, room_for(stand, peer))
        body = b'{"revision":%d,"complete":true,"members":[]}'
        for turn, last in ((1, b"Connection: close\r\n"), (2, b""), (3, b"")):
            listing.watch(True)
            conn, _ = peer.accept()
            assert conn.recv(1000).startswith(b"GET /v1/endpoints")
            text = body % turn
            conn.sendall(b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (last, len(text), text))
            while listing.revision != turn:
                gevent.sleep(0.001)
            if turn == 2:
                conn.close()  # while it rests: the next call finds it ended
                conn, _ = peer.accept()
                assert b"since=2&" in conn.recv(1000)
            listing.watch(False)
            rest()
            assert listing.watcher is None and listing.connection is None
        assert not stand.core.nodes
        listing.watch(True)
        conn, _ = peer.accept()
        conn.recv(1000)
        conn.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        while listing.watcher:
            gevent.sleep(0.001)
        assert listing.revision == 3  # a failure changes nothing of what is known


def test_a_send_to_a_node_that_was_never_listed_is_moot() -> None:
    module = Script(Send(1, 77))
    stand = Stand(module)
    with listen() as peer:
        room = room_for(stand, peer)
        stand.job("a")
        rest()
        room.send(stand.attempts[0])
        rest()
        assert stand.attempts[0].finished and room.open_connections == 0


def test_a_recorder_that_fails_is_off_and_nobody_notices(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    stand = Stand()
    flights = FlightRecorder(lambda: stand.core.balancer, lambda: {}, 10)
    flights.configure(("n0", 0, "", ""), 10, str(tmp_path), 2)
    stand.core.recorder = flights

    def fails(*_: Any) -> Any:
        raise OverflowError("planted")

    monkeypatch.setattr(flights.encoder, "batch", fails)
    stand.desk.update_nodes(ListKind.FULL, 1, (Entry(1),))
    stand.job("a")
    rest()
    assert flights.ring is None and stand.attempts and not flights.write("asked")
    flights.record_fault(ValueError("planted"))
    stand.desk.attempt_ended(stand.attempts[0], Status.OK, (), "print")
    assert stand.answers == [("a", Answer(AnswerStatus.SERVED, "print"))] and not list(tmp_path.iterdir())
    again = FlightRecorder(lambda: stand.core.balancer, lambda: {}, 10)
    again.configure(
        ("n0", 0, "", ""), 10, str(tmp_path), 2
    )  # else what it writes lies in the folder of the tests' start
    monkeypatch.setattr(recorder.flight, "freeze", fails)
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
    with running_proxy(tmp_path, mgmt="127.0.0.1:0", code=code, faults=True) as p:
        tree, spare = (
            json.loads((tmp_path / "config.json").read_text()),
            plain.create_server(("127.0.0.1", 0)),
        )
        place = spare.getsockname()
        spare.close()
        (tmp_path / "config.json").write_text(json.dumps(tree | {"mgmt": f"127.0.0.1:{place[1]}"}))
        for line in ("new settings: RuntimeError: planted", "read again and in force"):
            p.program.process.send_signal(signal.SIGHUP)
            wait_until(lambda line=line: any(line in x for x in p.program.log))
            assert p.program.request(build_request("ok", SAFE_CLASS))[0] == 200
        with plain.create_connection(place, 20) as conn:
            conn.sendall(b"GET /healthcheck HTTP/1.1\r\n\r\n")
            assert conn.recv(100).startswith(b"HTTP/1.1 200 ")
