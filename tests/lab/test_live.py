"""The live engine with real processes, sockets and signals. Each test waits for events, never for a fixed
time, except where it proves that nothing arrives."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import psutil
import pytest
import uvloop

from slatelab.engine import InvalidRunError, ProgressSnapshot
from slatelab.judge import judge
from slatelab.live import run
from slatelab.live.addresses import Addresses, listener
from slatelab.live.client_pool import ConnectionPool, Exchange
from slatelab.live.clock import Clock, monotonic_us
from slatelab.live.control_channel import HelperChannel, JobContext
from slatelab.live.emulated_node import EmulatedNode, NodeLocation
from slatelab.live.logs import parse as parse_log
from slatelab.live.schedule_lag import ScheduleLag
from slatelab.live.supervisor import ProcessSupervisor, leftover_processes
from slatelab.plant.faults import ActiveFaults
from slatelab.plant.fleet import build_nodes
from slatelab.plant.random_streams import RandomStreams
from slatelab.records import Answered, Asked, Came, Replied
from slatelab.scenario import Scenario, parse

ROOT = Path(__file__).parents[2]
EXPECTED_WITHIN_S = 20.0  # seconds allowed for events that must occur
QUIET_PERIOD_S = 0.3  # seconds to wait for events that must not occur


def scenario(duration: str = "2 s", rate: str = "40/s", **more: Any) -> Scenario:
    status_class = {"name": "job-status", "effect": "safe", "work": {"mean": "5 ms"}}
    order_class = {"name": "order-place", "body": 200, "work": {"mean": "10 ms"}}
    tier = {"name": "front", "kind": [{"name": "front-std", "nodes": 3}]}
    tree = {"scenario": {"name": "tiny", "duration": duration}, "class": [status_class, order_class], "tier": [tier],
            "arrivals": [{"kind": "steady", "rate": rate}]}  # fmt: skip
    return parse({**tree, **more})


def started_pids(scratch: Path) -> dict[str, int]:
    """The pid of every process that a run started, by name."""
    lines = [json.loads(line) for line in (scratch / "processes.jsonl").read_text().splitlines()]
    return {line["name"]: line["pid"] for line in lines if "name" in line}


def is_running(pid: int) -> bool:
    try:
        return psutil.Process(pid).status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return False


def wait_until_all_gone(scratch: Path) -> bool:
    """Waits until all processes of a run have ended; a kill takes time in the kernel."""
    end = time.monotonic() + EXPECTED_WITHIN_S
    while (left := any(map(is_running, started_pids(scratch).values()))) and time.monotonic() < end:
        time.sleep(0.01)
    return not left


# ---------------------------------------------------------------- whole runs


def test_a_small_run_with_the_real_proxy_breaks_no_rule_and_leaves_no_process(tmp_path: Path) -> None:
    ticks: list[ProgressSnapshot] = []
    tested = scenario()
    recording = run(tested, 1, tmp_path, ticks.append, ROOT, tmp_path)
    seen = Counter(type(record) for record in recording.records)
    assert seen[Asked] == seen[Answered] == 80 <= seen[Replied] <= seen[Came]
    assert judge(tested, recording.records).violations == []
    assert {"load", "discovery", "nodes-0", "p-front-1"} == set(
        started_pids(tmp_path)
    ) and wait_until_all_gone(tmp_path)
    assert ticks and {name for name, _, _ in ticks[-1].nodes} == {"s-front-1", "s-front-2", "s-front-3"}


LAB_SCRIPT = """
import json, sys
from pathlib import Path
from slatelab.live import run
from slatelab.scenario import parse
tree, scratch, what = Path(sys.argv[1]), Path(sys.argv[2]), parse(json.loads(sys.argv[3]))
run(what, 1, scratch, lambda tick: print("tick", flush=True), tree, scratch)
"""


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_outlives_the_lab(number: int, tmp_path: Path) -> None:
    tested = {"scenario": {"name": "long", "duration": "60 s"},
            "class": [{"name": "a", "work": {"mean": "5 ms"}}],
            "tier": [{"name": "front", "kind": [{"name": "k", "nodes": 1}]}],
            "arrivals": [{"kind": "steady", "rate": "10/s"}]}  # fmt: skip
    command = [sys.executable, "-c", LAB_SCRIPT, str(ROOT), str(tmp_path), json.dumps(tested)]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    lab = subprocess.Popen(command, env=env, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    assert lab.stdout and lab.stdout.readline() == "tick\n"
    assert len(started_pids(tmp_path)) == 4 and all(map(is_running, started_pids(tmp_path).values()))
    lab.send_signal(number)
    assert lab.wait(EXPECTED_WITHIN_S) != 0
    assert wait_until_all_gone(tmp_path) and leftover_processes(tmp_path) == []


def test_a_node_process_that_dies_makes_the_run_invalid(tmp_path: Path) -> None:
    def kill(tick: ProgressSnapshot) -> None:
        if is_running(pid := started_pids(tmp_path)["nodes-0"]):
            os.kill(pid, signal.SIGKILL)

    with pytest.raises(InvalidRunError, match=r"nodes-0, a process of the lab, ended by itself with code -9"):
        run(scenario("30 s"), 1, tmp_path, kill, ROOT, tmp_path)
    assert wait_until_all_gone(tmp_path)


def test_a_stalled_load_generator_makes_the_run_invalid(tmp_path: Path) -> None:
    with pytest.raises(
        InvalidRunError, match=r"the load ran late by \d+\.\d ms at p99: this machine is too busy"
    ):
        run(scenario(), 1, tmp_path, None, ROOT, tmp_path, stall=(500_000, 400_000))


def test_a_proxy_that_cannot_start_is_named_with_its_last_log_lines(tmp_path: Path) -> None:
    tree = tmp_path / "tree" / "slatehub"
    tree.mkdir(parents=True)
    (tree / "__init__.py").touch()
    (tree / "__main__.py").write_text("raise SystemExit('settings: no such key')\n")
    with pytest.raises(
        InvalidRunError, match=r"p-front-1 ended by itself with code 1.*settings: no such key"
    ):
        run(scenario(), 1, tmp_path, None, tree.parent, tmp_path)


# ---------------------------------------------------------------- one node on its sockets


class NodeFixture:
    """A single emulated node, and the notifications that it sends."""

    def __init__(self, tmp: Path, at: Addresses) -> None:
        loop, tested = asyncio.get_running_loop(), scenario()
        self.clock = Clock(loop, monotonic_us())
        self.no_faults = ActiveFaults(tested).conditions_for("s-front-1")
        self.notifications: list[str] = []
        self.address = (at.node(0), at.port)
        self.node = EmulatedNode(
            HelperChannel(loop, JobContext("node", monotonic_us(), tmp / "facts")), tested, RandomStreams(1),
            NodeLocation(build_nodes(tested, RandomStreams(1))[0], *self.address),
            lambda say, **more: self.notifications.append(say),
        )  # fmt: skip
        self.node.start(False, self.no_faults, False)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(asyncio.open_connection(*self.address), EXPECTED_WITHIN_S)


REQUEST = b"GET /job-status HTTP/1.1\r\nX-Request-ID: o1.0\r\nX-Priority-Class: job-status\r\n" \
          b"X-Timeout: 60000m\r\nX-Attrs: order=1,seed=7,work=1000,path=,proxy=p\r\n\r\n"  # fmt: skip


def run_with_node(tmp: Path, act: Callable[[NodeFixture], Awaitable[None]]) -> None:
    at = Addresses()

    async def main() -> None:
        fixture = NodeFixture(tmp, at)
        await act(fixture)
        fixture.node.close()

    try:
        uvloop.run(main())
    finally:
        at.close()


async def assert_times_out(awaitable: Awaitable[object]) -> None:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(awaitable, QUIET_PERIOD_S)


def test_a_black_hole_hangs_connects_and_its_end_resets_what_was_open(tmp_path: Path) -> None:
    async def act(fixture: NodeFixture) -> None:
        reader, writer = await fixture.connect()
        fixture.node.isolate()
        await assert_times_out(asyncio.open_connection(*fixture.address))
        writer.write(REQUEST)
        await assert_times_out(reader.read(1))
        fixture.node.end_isolation()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), EXPECTED_WITHIN_S)
        reader, writer = await fixture.connect()
        writer.write(REQUEST)
        assert await asyncio.wait_for(reader.readline(), EXPECTED_WITHIN_S) == b"HTTP/1.1 200 OK\r\n"

    run_with_node(tmp_path, act)


def test_a_frozen_node_takes_connections_and_answers_once_it_thaws(tmp_path: Path) -> None:
    async def act(fixture: NodeFixture) -> None:
        fixture.node.set_condition({**fixture.no_faults, "frozen": True})
        reader, writer = await fixture.connect()
        writer.write(REQUEST)
        prober, probe = await fixture.connect()
        probe.write(b"GET /health HTTP/1.1\r\n\r\n")
        await assert_times_out(reader.read(1))
        await assert_times_out(prober.read(1))
        fixture.node.set_condition(fixture.no_faults)
        assert await asyncio.wait_for(reader.readline(), EXPECTED_WITHIN_S) == b"HTTP/1.1 200 OK\r\n"
        assert await asyncio.wait_for(prober.readline(), EXPECTED_WITHIN_S) == b"HTTP/1.1 200 OK\r\n"

    run_with_node(tmp_path, act)


def test_a_killed_node_resets_its_connections_and_refuses_new_ones(tmp_path: Path) -> None:
    async def act(fixture: NodeFixture) -> None:
        reader, _ = await fixture.connect()
        while not fixture.node.connections:
            await asyncio.sleep(0)
        fixture.node.crash("killed")
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), EXPECTED_WITHIN_S)
        with pytest.raises(ConnectionRefusedError):
            await fixture.connect()
        fixture.node.restart(True, fixture.no_faults, False)
        await fixture.connect()
        assert fixture.notifications == ["up", "down", "up"] and fixture.node.spec.id == "s-front-1-r1"

    run_with_node(tmp_path, act)


# ---------------------------------------------------------------- client connections


class ScriptedServer:
    """A server scripted by the test, and a connection pool that calls it."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.listener_socket = listener("127.0.0.1", 0)
        self.unexpected_statuses: list[int] = []
        address, record_status = self.listener_socket.getsockname(), self.unexpected_statuses.append
        self.pool = ConnectionPool(
            self.loop, monotonic_us, address, lambda _, status, body: record_status(status)
        )
        self.ended: asyncio.Queue[Exchange] = asyncio.Queue()

    async def send_request(self) -> Exchange:
        exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", self.ended.put_nowait)
        self.pool.send(exchange)
        return exchange

    async def accept(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(self.loop.sock_accept(self.listener_socket), EXPECTED_WITHIN_S)
        return sock

    async def serve(self, sock: socket.socket, answer: bytes) -> None:
        assert await asyncio.wait_for(self.loop.sock_recv(sock, 1000), EXPECTED_WITHIN_S)
        await self.loop.sock_sendall(sock, answer)

    async def next_finished(self) -> Exchange:
        return await asyncio.wait_for(self.ended.get(), EXPECTED_WITHIN_S)


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def run_with_server(act: Callable[[ScriptedServer], Awaitable[None]]) -> None:
    async def main() -> None:
        await act(ScriptedServer())

    uvloop.run(main())


def test_a_request_unread_because_the_idle_connection_closed_is_sent_once_more() -> None:
    async def act(server: ScriptedServer) -> None:
        await server.send_request()
        first = await server.accept()
        await server.serve(first, OK_RESPONSE)
        await server.next_finished()
        first.close()  # the client's event loop has not yet noticed this when it writes the next request
        await server.send_request()
        await server.serve(await server.accept(), OK_RESPONSE)
        again = await server.next_finished()
        assert again.status == 200 and again.resent

    run_with_server(act)


def test_a_request_that_was_read_and_dropped_is_broken_off_and_not_sent_again() -> None:
    async def act(server: ScriptedServer) -> None:
        await server.send_request()
        sock = await server.accept()
        await server.serve(sock, OK_RESPONSE)
        await server.next_finished()
        await server.send_request()
        await server.serve(sock, b"")
        sock.close()
        lost = await server.next_finished()
        assert (lost.status, lost.failure, lost.sent_at > 0) == (0, "closed", True)
        await assert_times_out(server.accept())

    run_with_server(act)


def test_an_unsolicited_answer_is_not_taken_for_that_of_the_next_request() -> None:
    async def act(server: ScriptedServer) -> None:
        await server.send_request()
        await server.serve(await server.accept(), OK_RESPONSE + OK_RESPONSE)
        assert (await server.next_finished()).status == 200
        await server.send_request()
        await server.serve(await server.accept(), OK_RESPONSE.replace(b"200 OK", b"503 Full"))
        assert (await server.next_finished()).status == 503 and server.unexpected_statuses == [200]

    run_with_server(act)


# ---------------------------------------------------------------- small parts


def test_leftovers_are_named_while_they_run_and_never_touched(tmp_path: Path) -> None:
    supervisor = ProcessSupervisor(tmp_path)
    child = supervisor.start("sleeper", ["/bin/sleep", "600"], cwd=tmp_path, env={})
    assert leftover_processes(tmp_path) == [f"sleeper ({child.pid})"] and is_running(child.pid)
    supervisor.close()
    assert leftover_processes(tmp_path) == [] and not is_running(child.pid)


def test_two_runs_side_by_side_have_different_nets() -> None:
    one, other = Addresses(), Addresses()
    try:
        assert one.second_octet != other.second_octet
    finally:
        one.close()
        other.close()


def test_schedule_lag_is_limited_at_p99_and_in_the_worst_second() -> None:
    late = ScheduleLag()
    for i in range(10_000):
        late.record(i * 1000, 9_000)
    assert late.invalid_reason() == "" and late.p99_us == 9_000
    for _ in range(60):  # too few to affect the p99, but most of that second
        late.record(10_500_000, 70_000)
    assert "70.0 ms on average in second 10" in late.invalid_reason()
    for _ in range(200):
        late.record(5_000_000, 12_000)
    assert "12.0 ms at p99" in late.invalid_reason()


@pytest.mark.parametrize("line, want", [
    ("slatehub: fault: it broke: badly", ("error", "fault", "it broke: badly", {})),
    ('time=1 level=WARN topic=nodes msg="a \\"b\\" = c" node=s-1',
     ("warn", "nodes", 'a "b" = c', {"node": "s-1"})),
    ('{"time": 1, "level": "info", "topic": "t", "msg": "m", "n": 2, "ok": true}',
     ("info", "t", "m", {"n": "2", "ok": "true"})),
    ("Traceback (most recent call last): x=1", ("", "", "Traceback (most recent call last): x=1", {})),
    ('{"level": ', ("", "", '{"level": ', {})),
    ('level="open', ("", "", 'level="open', {})),
])  # fmt: skip
def test_log_lines_of_every_form(line: str, want: tuple[object, ...]) -> None:
    assert tuple(parse_log(line)) == want
