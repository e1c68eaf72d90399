"""A model of a connection's states, against which random steps are checked, and the desk without sockets."""

from __future__ import annotations

import gc
from types import SimpleNamespace
from typing import Any

import gevent
import gevent.event
import pytest
from gevent import socket
from hypothesis import settings as hypo
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from paddlestep.interface import (
    Effect,
    Entry,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Send,
    ServiceClass,
    Settings,
    Status,
)
from slatehub.core.dispatcher import Dispatcher
from slatehub.core.jobs import Answer, AnswerStatus, Attempt, Job, NodeRequest, NodeResponse
from slatehub.decisions.resource_budget import split_budget
from slatehub.decisions.stall import StallDetector
from slatehub.discovery import node_list
from slatehub.discovery.node_list import NodeList
from slatehub.drivers import upstream as lines
from slatehub.drivers.clock import Timer, clock
from slatehub.drivers.dispatcher import DispatcherDriver
from slatehub.drivers.upstream import StaleConnection, UpstreamConnection, UpstreamError
from slatehub.fronts.http1 import server
from slatehub.fronts.http1.server import CallerConnection, HttpServer
from slatehub.fronts.validation import ReceivedRequest
from slatehub.nodes.http1 import NodePool, UpstreamExchange
from slatehub.settings.operator import OperatorConfig

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LAST = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"


def listen() -> Any:
    sock = socket.socket()  # gevent's; its create_server would give a socket that blocks the loop
    sock.bind(("127.0.0.1", 0))
    sock.listen()
    return sock


class LineModel(RuleBasedStateMachine):
    """One real connection and a scripted peer. `model` is what the line must think; `peer` what the peer did."""

    def __init__(self) -> None:
        super().__init__()
        self.listener = listen()
        self.closes = 0
        self.line = UpstreamConnection(self.listener.getsockname(), self.closed)
        self.line.connect()
        self.peer, _ = self.listener.accept()
        self.model, self.gone, self.noise = "fresh", False, False

    def closed(self) -> None:
        self.closes += 1

    @precondition(lambda self: self.model in ("fresh", "idle") and not self.gone and not self.noise)
    @rule()
    def write(self) -> None:
        assert self.model == "fresh" or self.line.is_usable()
        self.line.write([b"GET / HTTP/1.1\r\n\r\n"])
        assert self.peer.recv(100) == b"GET / HTTP/1.1\r\n\r\n" and self.line.written
        self.model = "busy"

    @precondition(lambda self: self.model == "idle" and not self.gone and not self.noise)
    @rule(noise=st.booleans())
    def stale(self, noise: bool) -> None:
        """The peer ends it, or speaks, when it meets the next request: nothing whole has been written by then."""
        gevent.spawn(self.peer.sendall if noise else lambda _: self.peer.close(), b"?")
        try:
            self.line.write([b"GET / HTTP/1.1\r\n\r\n"])
            raise AssertionError("the request went out whole")
        except StaleConnection:
            assert not self.line.written and (not noise or self.peer.recv(100) == b"GET / HTTP/1.1\r\n\r")
            self.line.close()
            self.gone, self.model = self.gone or not noise, "closed"

    @precondition(lambda self: self.model == "busy" and not self.gone)
    @rule(cut=st.integers(1, len(WHOLE) - 1), keep=st.booleans(), surplus=st.booleans())
    def read(self, cut: int, keep: bool, surplus: bool) -> None:
        answer = (WHOLE if keep else LAST) + (b"more" if surplus else b"")
        self.peer.sendall(answer[:cut])
        self.peer.sendall(answer[cut:])
        reply = self.line.read(100)
        assert (reply.status, bytes(reply.body)) == (200, b"ok")
        # What follows the answer is seen at once if it came with it, and by `is_usable` if it comes later.
        if reply.reusable and keep:
            self.line.mark_idle(clock() + 60_000_000, self.line.close)
            self.model, self.noise = "idle", surplus
        else:
            assert not keep or surplus
            self.line.close()
            self.model = "closed"

    @precondition(lambda self: self.model == "busy" and not self.gone)
    @rule(cut=st.integers(0, len(WHOLE) - 1))
    def broken(self, cut: int) -> None:
        self.peer.sendall(WHOLE[:cut])
        self.peer.close()
        self.gone = True
        try:
            self.line.read(100)
            raise AssertionError("half an answer was taken for a whole one")
        except (UpstreamError, OSError):
            self.line.close()
            self.model = "closed"

    @precondition(lambda self: not self.gone)
    @rule()
    def leave(self) -> None:
        self.peer.close()
        self.gone = True

    @rule()
    def close(self) -> None:
        self.line.close()
        self.model = "closed"

    @invariant()
    def agrees(self) -> None:
        assert self.line.state == self.model
        assert self.line.is_usable() == (self.model == "idle" and not self.gone and not self.noise)
        assert self.closes == (self.model == "closed")
        assert (self.line.timer is not None) == (self.model == "idle")

    def teardown(self) -> None:
        self.line.close()
        self.peer.close()
        self.listener.close()


LineModel.TestCase.settings = hypo(
    derandomize=True, database=None, deadline=None, max_examples=60, stateful_step_count=12
)
TestLine = LineModel.TestCase


class Stand:
    """A screen, floor and list that only note what they are told."""

    def __init__(self, module: object = None) -> None:
        self.answers: list[tuple[str, Answer]] = []
        self.attempts: list[Attempt] = []
        settings = Settings((ServiceClass("orders"),), may_cancel=True)
        self.core = Dispatcher(settings, 1, 100)
        if module:
            self.core.balancer = module  # type: ignore[assignment]
        self.desk = DispatcherDriver(self.core)
        self.desk.start(self, self)

    def answer(self, job: Job, answer: Answer) -> None:
        self.answers.append((job.request_id, answer))

    def send(self, attempt: Attempt) -> None:
        self.attempts.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.desk.attempt_ended(attempt, Status.CANCELLED)

    def watch(self, on: bool) -> None: ...

    def job(self, name: str, left: int = 10_000_000) -> Job:
        job = Job(name, 0, 0, clock() + left, NodeRequest("POST", "/orders", ()), self)
        assert self.desk.submit(job)
        gevent.sleep(0)
        return job


def rest() -> None:
    for _ in range(4):
        gevent.sleep(0)


def test_each_job_gets_one_answer_and_each_send_one_outcome() -> None:
    stand = Stand()
    stand.desk.update_nodes(ListKind.FULL, 1, (Entry(1),))
    stand.job("a")
    rest()
    (attempt,) = stand.attempts
    stand.desk.attempt_ended(attempt, Status.OK, (), "print")
    stand.desk.attempt_ended(attempt, Status.RESET)
    rest()
    assert stand.answers == [("a", Answer(AnswerStatus.SERVED, "print"))]
    assert not stand.desk.job_table.jobs and not stand.core.balancer.requests


def room_for(stand: Stand, peer: Any, most: int = 9) -> NodePool:
    told = Settings((ServiceClass("orders"),), report_columns=("qps", "util"))
    plant: Any = SimpleNamespace(
        settings=told, conn_idle_us=30_000_000, reports=True, seed=1, operator=OperatorConfig()
    )
    room = NodePool(plant, stand.desk, most)
    room.set_node(1, peer.getsockname())
    return room


def test_a_node_told_to_drain_while_the_connection_comes_up_gets_nothing_written() -> None:
    with listen() as peer:
        module = Script(Send(1, 1))
        stand = Stand(module)
        room = room_for(stand, peer)
        stand.job("a")
        rest()
        room.send(stand.attempts[0])
        gevent.sleep(0)  # the errand has asked for its connection and waits for it
        stand.desk.unavailable_since[1] = clock()
        conn, _ = peer.accept()
        assert conn.recv(100) == b""
        rest()
        assert [e.status for e in module.events if isinstance(e, Outcome)] == [
            Status.MOOT
        ] and room.open_connections == 0


def test_a_node_told_to_drain_before_an_attempt_begins_is_not_even_connected_to() -> None:
    with listen() as peer:
        module = Script(Send(1, 1))
        stand = Stand(module)
        room = room_for(stand, peer)
        stand.job("a")
        rest()
        room.send(stand.attempts[0])
        stand.desk.unavailable_since[1] = clock()
        rest()
        assert [e.status for e in module.events if isinstance(e, Outcome)] == [
            Status.MOOT
        ] and room.connections_opened == 0


@pytest.mark.parametrize("withdrawn", [False, True])
def test_an_attempt_that_ends_in_the_moment_in_which_it_may_go_on_leaves_no_connection(
    withdrawn: bool,
) -> None:
    """Its greenlet is about to run again, as its wait is over, when the attempt is stopped or its caller goes."""
    with listen() as peer:
        module = Script(Send(1, 1))
        stand = Stand(module)
        room = room_for(stand, peer)
        stand.job("a")
        rest()
        asks = [1, 0]  # the node takes no handshake just now, then it does
        room.connect_limiter.acquire = lambda *_: asks.pop(0)  # type: ignore[method-assign]
        errand = UpstreamExchange(room, stand.attempts[0])
        stand.attempts[0].exchange = errand
        gevent.sleep(0)
        assert asks == [0]  # it sleeps
        if withdrawn:
            errand.finished = True  # as `stop` leaves it, while the end of its greenlet is still on its way
        else:
            stand.desk.caller_disconnected(stand.attempts[0].job)
        while not errand.greenlet.dead:
            gevent.sleep(0.001)
        assert room.open_connections == 0 and room.connections_opened == 0


def carried(peer: Any, *answers: bytes) -> tuple[list[Status], NodePool]:
    """The outcomes that the module hears of when a node answers in these pieces, a turn of the loop apart."""
    module = Script(Send(1, 1))
    stand = Stand(module)
    room = room_for(stand, peer)
    stand.job("a")
    rest()
    room.send(stand.attempts[0])
    conn, _ = peer.accept()
    assert conn.recv(100).startswith(b"POST")
    for piece in answers:
        conn.sendall(piece)
        rest()
    while not (ends := [e.status for e in module.events if isinstance(e, Outcome)]):
        gevent.sleep(0.001)
    conn.close()
    return ends, room


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"ICY 200 OK\r\n\r\n"], Status.ERROR),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 2\r\n\r\nok"], Status.ERROR),
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"], Status.ERROR),  # not waited for
        ([b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"], Status.ERROR),  # and no more comes
        ([b"HTTP/1.1 200 OK\r\nX-Pad: "], Status.ERROR),
        ([b"HTTP/1.1 102 Wait\r\n\r\n", b"HTTP/1.1 103 Soon\r\n\r\n", WHOLE], Status.OK),
        ([WHOLE[:-2], b"ok" + WHOLE], Status.OK),
        ([b"HTTP/1.1 200 OK\r\nX-Server-Load: qps=nan,util=\xff\r\nContent-Length: 2\r\n\r\nok"], Status.OK),
    ],
)
def test_a_spoilt_answer_is_an_error_of_a_node_that_runs_and_its_connection_ends(
    pieces: list[bytes], status: Status, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(lines, "RESPONSE_BODY_TIMEOUT_US", 50_000)
    with listen() as peer:
        ends, room = carried(peer, *pieces)
        assert ends == [status] and room.open_connections == (
            status is Status.OK and b"ok" + WHOLE not in pieces
        )


@pytest.mark.parametrize("late", [WHOLE, b""])
def test_a_connection_that_ends_or_speaks_at_the_next_request_is_passed_over(
    late: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(lines, "LAST_BYTE_DELAY_S", 0.2)
    with listen() as peer:
        module = Script(Send(1, 1), [], Send(2, 1))
        stand = Stand(module)
        room = room_for(stand, peer)
        stand.job("a")
        rest()
        room.send(stand.attempts[0])
        first, _ = peer.accept()
        assert first.recv(100)
        first.sendall(WHOLE)
        while not stand.answers:
            gevent.sleep(0)
        rest()
        stand.job("b")
        rest()
        room.send(stand.attempts[1])
        rest()
        if late:
            first.sendall(late)  # a second copy, on its way when the answer was read, and here only now
        else:
            first.close()
        with gevent.Timeout(20):
            second, _ = peer.accept()
        assert (
            second.recv(1000).endswith(b"\r\n\r\n")
            and room.open_connections == 1
            and not stand.attempts[1].finished
        )
        room.cancel(stand.attempts[1])


def test_too_many_connections_fail_the_attempt_as_never_run_unless_an_idle_one_makes_room() -> None:
    with listen() as peer, listen() as other:
        module = Script(Send(1, 1), Send(1, 2))
        stand = Stand(module)
        room = room_for(stand, peer, most=1)
        room.set_node(2, other.getsockname())
        spare = room.new_connection(room.nodes[1])
        stand.job("a")
        rest()
        room.send(stand.attempts[0])
        rest()
        assert [e.status for e in module.events if isinstance(e, Outcome)] == [Status.CONNECT_FAILED]
        spare.connect()
        spare.write([b"GET / HTTP/1.1\r\n\r\n"])
        room.release(room.nodes[1], spare, 1)
        room.send(stand.attempts[1])
        conn, _ = other.accept()
        assert (
            conn.recv(100).startswith(b"POST /orders")
            and spare.state == "closed"
            and room.open_connections == 1
        )
        room.cancel(stand.attempts[1])


def test_a_connection_that_never_comes_up_has_not_run() -> None:
    with listen() as peer:
        peer.listen(0)
        crowd = [
            socket.create_connection(peer.getsockname()) for _ in range(1)
        ]  # the kernel's queue is full now
        module = Script(Send(1, 1))
        stand = Stand(module)
        room = room_for(stand, peer)
        stand.job("a", left=60_000_000)
        rest()
        room.send(stand.attempts[0])
        while not (ends := [e.status for e in module.events if isinstance(e, Outcome)]):
            gevent.sleep(0.005)
        assert ends == [Status.CONNECT_FAILED] and room.open_connections == 0
        for conn in crowd:
            conn.close()


@pytest.mark.parametrize(
    "text", ["", "qps=3", "qps=nan,util=1", "qps=inf,util=1", "qps=3,util=much", "inflight=7"]
)
def test_half_a_report_is_none(text: str) -> None:
    with listen() as peer:
        assert room_for(Stand(Script()), peer).parse_load_report(text) == ()


def hall_for(stand: Stand, most: int = 9, room: int = 1_000_000) -> HttpServer:
    kind = ServiceClass("orders", Effect.UNSAFE)
    plant: Any = SimpleNamespace(
        settings=Settings((kind,)), classes={"orders": 0}, accounts={}, operator=OperatorConfig()
    )
    hall = HttpServer(plant, stand.desk, most, room)
    hall.stall_detector = StallDetector(clock())  # not opened, it would pass for one that stood still
    return hall


def screen_for(hall: HttpServer, data: bytes) -> tuple[Any, CallerConnection]:
    """A caller that has sent this, and its screen."""
    caller, sock = socket.socketpair()
    screen = CallerConnection(hall, sock)
    hall.connections[screen] = None
    caller.sendall(data)
    rest()
    return caller, screen


def head(name: str, length: int = 0) -> bytes:
    fields = (
        f"X-Request-ID: {name}\r\nX-Priority-Class: orders\r\nX-Timeout: 60000m\r\nContent-Length: {length}"
    )
    return f"POST /orders HTTP/1.1\r\nHost: x\r\n{fields}\r\n\r\n".encode()


def test_what_is_over_is_let_go_of_at_once_without_the_collector() -> None:
    kinds = (ReceivedRequest, Job, Attempt, NodeRequest, NodeResponse, CallerConnection)
    gc.collect()
    others = [o for o in gc.get_objects() if type(o) in kinds]  # of desks that other tests have left open
    gc.disable()
    try:
        stand = Stand()
        stand.desk.update_nodes(ListKind.FULL, 1, (Entry(1),))
        hall = hall_for(stand)
        caller, screen = screen_for(hall, head("a", 3) + b"abc")
        stand.desk.attempt_ended(stand.attempts.pop(), Status.OK, (), NodeResponse(b"print", ""))
        rest()
        assert caller.recv(1000).endswith(b"print") and hall.bytes_held == 0
        stand.answers.clear()

        def left() -> list[type]:
            return [type(o) for o in gc.get_objects() if type(o) in kinds and not any(o is x for x in others)]

        assert left() == [
            CallerConnection
        ]  # the connection stays open, and holds nothing of what went over it
        del screen
        caller.close()
        with gevent.Timeout(20):
            while hall.connections or left():
                gevent.sleep(0.005)
    finally:
        gc.enable()


@pytest.mark.parametrize("sent", [b"", b"POST /orders", head("a", 9) + b"abc"])
def test_a_caller_that_sends_no_whole_request_is_not_waited_for(
    sent: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in (
        "FIRST_BYTE_TIMEOUT_US",
        "FIRST_REQUEST_TIMEOUT_US",
        "REQUEST_TIMEOUT_US",
        "KEEP_ALIVE_US",
        "BODY_START_TIMEOUT_US",
    ):
        monkeypatch.setattr(server, name, 60_000)
    stand = Stand()
    hall = hall_for(stand)
    held, _ = screen_for(hall, head("whole"))  # no node to send to: it stays in hand
    with gevent.Timeout(20):
        caller, _ = screen_for(hall, sent)
        assert caller.recv(1000).startswith(b"HTTP/1.1 408" if sent else b"")
        caller.close()
        while len(hall.connections) > 1:
            gevent.sleep(0.005)
    stand.core._give_up(
        next(iter(stand.desk.job_table.jobs.values())), Answer(AnswerStatus.DEADLINE_EXCEEDED), clock()
    )
    stand.desk._execute_commands()
    assert held.recv(1000).startswith(b"HTTP/1.1 504")  # one whose whole request is in hand is still there


def test_requests_that_no_memory_is_left_for_are_turned_away_before_they_are_whole() -> None:
    stand = Stand()
    hall = hall_for(stand, room=50_000)
    first, _ = screen_for(hall, head("a", 40_000) + b"x" * 30_000)
    second, _ = screen_for(hall, head("b", 40_000) + b"x" * 30_000)
    assert second.recv(1000).startswith(b"HTTP/1.1 503")
    second.close()
    first.sendall(b"x" * 10_000)
    with gevent.Timeout(20):
        while "a" not in stand.desk.job_table.by_request_id:
            gevent.sleep(0.005)
        first.close()
        while hall.bytes_held or hall.connections:
            gevent.sleep(0.005)


def test_who_says_nothing_makes_room_before_who_rests_and_who_sends(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server, "MIN_EVICTION_AGE_US", 0)
    hall = hall_for(Stand())
    hall.started = True
    rests, resting = screen_for(hall, b"GET /ready HTTP/1.1\r\n\r\n")
    says_nothing, silent = screen_for(hall, b"")
    sends, sending = screen_for(hall, b"POST /or")
    left = []
    for _ in range(3):
        assert hall._evict_connection()
        left.append(
            [name for name, s in (("r", resting), ("silent", silent), ("s", sending)) if not s.closed]
        )
    assert left == [["r", "s"], ["s"], []]
    for caller in (rests, says_nothing, sends):
        caller.close()


@pytest.mark.parametrize(("sockets", "memory"), [(256, 32), (256, 64), (384, 80), (1024, 192)])
def test_callers_get_a_third_of_the_descriptors_and_more_whatever_the_memory(
    sockets: int, memory: int
) -> None:
    callers, nodes, held = split_budget(sockets, memory)
    assert callers > sockets // 3 and nodes >= sockets // 3 and callers + nodes + 16 <= sockets
    assert (callers + nodes) * 24 * 1024 + held * 4 // 3 <= (memory - 16) * 1024 * 1024


class Script:
    """A module that does as it is told, to see what the desk makes of odd actions."""

    def __init__(self, *actions: object) -> None:
        self.actions = list(actions)
        self.events: list[object] = []
        self.servers: dict[int, object] = {}
        self.waiting = self.slots = 0

    def handle(self, now: int, events: list[object]) -> list[object]:
        self.events += events
        action = self.actions.pop(0) if self.actions else []
        if isinstance(action, Exception):
            raise action
        return [action] if not isinstance(action, list) else action


def test_a_send_after_the_end_is_moot_and_later_answers_are_dropped() -> None:
    module = Script([Refuse(1, 250_000), Fail(1), Send(1, 1)])
    stand = Stand(module)
    stand.job("a")
    rest()
    assert stand.answers == [("a", Answer(AnswerStatus.REFUSED, None, 250_000))]
    assert not stand.attempts and not stand.desk.job_table.jobs


def test_sends_beyond_the_most_are_moot() -> None:
    module = Script([Send(1, 1)] * 4)
    stand = Stand(module)
    stand.job("a")
    rest()
    moot = [e for e in module.events if isinstance(e, Outcome)]
    assert len(stand.attempts) == 3 and [(e.status, e.attempt, e.closed) for e in moot] == [
        (Status.MOOT, 3, False)
    ]


def test_a_failed_module_answers_all_in_hand_and_a_new_one_goes_on() -> None:
    stand = Stand(Script(Send(1, 1), ValueError("odd")))
    stand.core.nodes[1] = Entry(1)
    stand.job("a")
    rest()
    stand.job("b")
    rest()
    assert [name for name, _ in stand.answers] == ["a", "b"]
    assert {answer.status for _, answer in stand.answers} == {AnswerStatus.FAILED}
    stand.job("c")
    rest()
    assert [a.job.request_id for a in stand.attempts] == ["a", "c"]


def test_a_job_that_the_module_forgets_is_answered_at_its_deadline() -> None:
    stand = Stand(Script())
    job = stand.job("a", left=20_000)
    while not stand.answers:
        gevent.sleep(0.005)
    assert stand.answers == [("a", Answer(AnswerStatus.DEADLINE_EXCEEDED))] and clock() >= job.deadline


def test_an_alarm_that_is_rung_early_waits_for_the_rest() -> None:
    rung: list[int] = []
    alarm = Timer(clock() + 30_000, lambda: rung.append(clock()))
    alarm._fire()  # as from a loop that has looked at its clock long ago
    assert not rung
    while not rung:
        gevent.sleep(0.001)
    assert rung[0] >= alarm.due


def test_a_node_that_has_just_come_back_gets_few_handshakes_at_once() -> None:
    with listen() as peer:
        peer.listen(0)
        crowd = [
            socket.create_connection(peer.getsockname())
        ]  # the kernel's queue is full: no handshake ends
        stand = Stand(Script())
        room = room_for(stand, peer)
        room.set_node(1, peer.getsockname(), clock())
        attempts = [
            Attempt(stand.job(name, left=60_000_000), 0, 1, clock(), clock() + 2_000_000) for name in "abcde"
        ]
        for attempt in attempts:
            room.send(attempt)
        seen = 0
        with gevent.Timeout(20):
            while seen < 2:
                gevent.sleep(0.005)
                seen = max(seen, room.open_connections)
        gevent.sleep(0.05)
        assert room.open_connections == 2
        for attempt in attempts:
            room.cancel(attempt)
        assert room.open_connections == 0
        for conn in crowd:
            conn.close()


def test_an_attempt_that_fails_within_us_before_it_was_written_never_ran() -> None:
    module = Script(Send(1, 1))
    stand = Stand(module)
    with listen() as peer:
        room = room_for(stand, peer)
        room.nodes[1].address = ("no..host", 1)  # what resolves it raises what nobody expects
        stand.job("a")
        rest()
        room.send(stand.attempts[0])
        while not (ends := [e.status for e in module.events if isinstance(e, Outcome)]):
            gevent.sleep(0.001)
        assert ends == [Status.CONNECT_FAILED] and room.open_connections == 0


def test_an_answer_to_a_request_that_has_ended_here_never_answers_the_next_one() -> None:
    hall: Any = SimpleNamespace(
        dispatcher=SimpleNamespace(caller_disconnected=lambda job: None), bytes_held=0, bytes_read_ahead=0
    )
    hall.memory_released = gevent.event.Event()
    hall.remove = lambda screen: None
    ours, theirs = socket.socketpair()
    screen = CallerConnection(hall, ours)
    left: list[str] = []
    rest_: Any = SimpleNamespace(close=lambda: left.append("left"))
    old, new = (Job(name, 0, 0, 1, None, screen) for name in ("old", "new"))
    screen.job = new
    screen.answer(old, Answer(AnswerStatus.SERVED, NodeResponse(b"old", "", rest_)))
    assert not screen.result.ready() and left == ["left"]
    screen.answer(new, Answer(AnswerStatus.REFUSED))
    assert screen.result.get(timeout=1) == Answer(AnswerStatus.REFUSED)
    screen.close()
    theirs.close()


def test_a_discovery_that_answers_every_watch_at_once_is_not_asked_without_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stand = Stand()
    plant: Any = SimpleNamespace(kinds={}, zones={}, known={})
    with listen() as peer:
        listing = NodeList(plant, stand.desk, room_for(stand, peer))
        now, asked, waits = [1_000_000], [0], []
        monkeypatch.setattr(node_list, "clock", lambda: now[0])

        def ask(watcher: Any) -> Any:
            asked[0] += 1
            now[0] += 50_000 if asked[0] == 3 else 100
            if asked[0] == 5:
                raise OSError("enough")
            return {"revision": 1, "complete": asked[0] == 1, "members": []}

        monkeypatch.setattr(listing, "_fetch", ask)
        monkeypatch.setattr(node_list.gevent, "sleep", waits.append)
        listing.watcher = gevent.getcurrent()  # type: ignore[assignment]
        listing._watch()
        assert asked == [5] and [round(w, 4) for w in waits] == [0.0199, 0.0199, 0, 0.0199]


def test_tables_of_nodes_do_not_grow_with_the_nodes_that_were(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(node_list, "MAX_REMOVED_NODES", 8)
    stand = Stand()
    plant: Any = SimpleNamespace(kinds={}, zones={}, known={})
    with listen() as peer:
        host, port = peer.getsockname()
        room = room_for(stand, peer)
        listing = NodeList(plant, stand.desk, room)
        old = room.nodes[1]
        for n in range(100):
            for phase in ("SERVING", "DRAINING", "DELETED"):
                node = {"id": f"s-{n}", "host_port": f"{host}:{port}", "phase": phase}
                listing._apply({"revision": n, "complete": False, "members": [node]}, ListKind.DELTA)
            rest()
        assert (
            len(stand.desk.node_ids)
            == len(listing.numbers._numbers)
            == len(stand.desk.unavailable_since)
            == 8
        )
        assert len(room.nodes) == 9 and not listing.reported and not stand.core.nodes
        assert (
            not stand.core.balancer.servers
            and stand.desk.node_ids.keys() == stand.desk.unavailable_since.keys()
        )
        del room.nodes[1]
        line = room.new_connection(old)
        line.connect()
        line.write([b"GET / HTTP/1.1\r\n\r\n"])
        room.release(old, line, 1)  # a call that was out all the while
        assert line.state == "closed" and room.open_connections == 0
