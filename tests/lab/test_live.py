"""The engine `live`: real processes, sockets and signals, so each test waits for events and none for a time to
pass, but where it proves that nothing comes."""

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
SOON = 20.0  # for what must come
NOTHING = 0.3  # for what must not


def scenario(duration: str = "2 s", rate: str = "40/s", **more: Any) -> Scenario:
    look = {"name": "job-status", "effect": "safe", "work": {"mean": "5 ms"}}
    buy = {"name": "order-place", "body": 200, "work": {"mean": "10 ms"}}
    tier = {"name": "front", "kind": [{"name": "front-std", "nodes": 3}]}
    tree = {"scenario": {"name": "tiny", "duration": duration}, "class": [look, buy], "tier": [tier],
            "arrivals": [{"kind": "steady", "rate": rate}]}  # fmt: skip
    return parse({**tree, **more})


def pids(scratch: Path) -> dict[str, int]:
    """All that a run has started, by name."""
    lines = [json.loads(line) for line in (scratch / "processes.jsonl").read_text().splitlines()]
    return {line["name"]: line["pid"] for line in lines if "name" in line}


def runs(pid: int) -> bool:
    try:
        return psutil.Process(pid).status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return False


def all_gone(scratch: Path) -> bool:
    """Waits for it: a kill takes its time in the kernel."""
    end = time.monotonic() + SOON
    while (left := any(map(runs, pids(scratch).values()))) and time.monotonic() < end:
        time.sleep(0.01)
    return not left


# ---------------------------------------------------------------- whole runs


def test_a_tiny_day_with_the_real_proxy_is_judged_content_and_leaves_no_process(tmp_path: Path) -> None:
    ticks: list[ProgressSnapshot] = []
    what = scenario()
    recording = run(what, 1, tmp_path, ticks.append, ROOT, tmp_path)
    seen = Counter(type(record) for record in recording.records)
    assert seen[Asked] == seen[Answered] == 80 <= seen[Replied] <= seen[Came]
    assert judge(what, recording.records).violations == []
    assert {"load", "discovery", "nodes-0", "p-front-1"} == set(pids(tmp_path)) and all_gone(tmp_path)
    assert ticks and {name for name, _, _ in ticks[-1].nodes} == {"s-front-1", "s-front-2", "s-front-3"}


LAB = """
import json, sys
from pathlib import Path
from slatelab.live import run
from slatelab.scenario import parse
tree, scratch, what = Path(sys.argv[1]), Path(sys.argv[2]), parse(json.loads(sys.argv[3]))
run(what, 1, scratch, lambda tick: print("tick", flush=True), tree, scratch)
"""


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_no_process_outlives_the_lab(number: int, tmp_path: Path) -> None:
    what = {"scenario": {"name": "long", "duration": "60 s"},
            "class": [{"name": "a", "work": {"mean": "5 ms"}}],
            "tier": [{"name": "front", "kind": [{"name": "k", "nodes": 1}]}],
            "arrivals": [{"kind": "steady", "rate": "10/s"}]}  # fmt: skip
    command = [sys.executable, "-c", LAB, str(ROOT), str(tmp_path), json.dumps(what)]
    env = {**os.environ, "PYTHONPATH": str(ROOT)}
    lab = subprocess.Popen(command, env=env, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    assert lab.stdout and lab.stdout.readline() == "tick\n"
    assert len(pids(tmp_path)) == 4 and all(map(runs, pids(tmp_path).values()))
    lab.send_signal(number)
    assert lab.wait(SOON) != 0
    assert all_gone(tmp_path) and leftover_processes(tmp_path) == []


def test_a_node_process_that_dies_makes_the_run_invalid(tmp_path: Path) -> None:
    def kill(tick: ProgressSnapshot) -> None:
        if runs(pid := pids(tmp_path)["nodes-0"]):
            os.kill(pid, signal.SIGKILL)

    with pytest.raises(InvalidRunError, match=r"nodes-0, a process of the lab, ended by itself with code -9"):
        run(scenario("30 s"), 1, tmp_path, kill, ROOT, tmp_path)
    assert all_gone(tmp_path)


def test_a_starved_load_generator_says_so(tmp_path: Path) -> None:
    with pytest.raises(
        InvalidRunError, match=r"the load ran late by \d+\.\d ms at p99: this machine is too busy"
    ):
        run(scenario(), 1, tmp_path, None, ROOT, tmp_path, stall=(500_000, 400_000))


def test_a_proxy_that_cannot_start_is_named_with_its_last_words(tmp_path: Path) -> None:
    tree = tmp_path / "tree" / "slatehub"
    tree.mkdir(parents=True)
    (tree / "__init__.py").touch()
    (tree / "__main__.py").write_text("raise SystemExit('settings: no such key')\n")
    with pytest.raises(
        InvalidRunError, match=r"p-front-1 ended by itself with code 1.*settings: no such key"
    ):
        run(scenario(), 1, tmp_path, None, tree.parent, tmp_path)


# ---------------------------------------------------------------- one node on its sockets


class Town:
    """A place alone, and what it tells."""

    def __init__(self, tmp: Path, at: Addresses) -> None:
        loop, what = asyncio.get_running_loop(), scenario()
        self.clock = Clock(loop, monotonic_us())
        self.calm = ActiveFaults(what).conditions_for("s-front-1")
        self.told: list[str] = []
        self.address = (at.node(0), at.port)
        self.place = EmulatedNode(
            HelperChannel(loop, JobContext("town", monotonic_us(), tmp / "facts")), what, RandomStreams(1),
            NodeLocation(build_nodes(what, RandomStreams(1))[0], *self.address),
            lambda say, **more: self.told.append(say),
        )  # fmt: skip
        self.place.start(False, self.calm, False)

    async def visit(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(asyncio.open_connection(*self.address), SOON)


REQUEST = b"GET /job-status HTTP/1.1\r\nX-Request-ID: o1.0\r\nX-Priority-Class: job-status\r\n" \
          b"X-Timeout: 60000m\r\nX-Attrs: order=1,seed=7,work=1000,path=,proxy=p\r\n\r\n"  # fmt: skip


def play(tmp: Path, act: Callable[[Town], Awaitable[None]]) -> None:
    at = Addresses()

    async def main() -> None:
        town = Town(tmp, at)
        await act(town)
        town.place.close()

    try:
        uvloop.run(main())
    finally:
        at.close()


async def nothing(what: Awaitable[object]) -> None:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(what, NOTHING)


def test_a_black_hole_hangs_connects_and_its_end_resets_what_was_open(tmp_path: Path) -> None:
    async def act(town: Town) -> None:
        reader, writer = await town.visit()
        town.place.isolate()
        await nothing(asyncio.open_connection(*town.address))
        writer.write(REQUEST)
        await nothing(reader.read(1))
        town.place.end_isolation()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), SOON)
        reader, writer = await town.visit()
        writer.write(REQUEST)
        assert await asyncio.wait_for(reader.readline(), SOON) == b"HTTP/1.1 200 OK\r\n"

    play(tmp_path, act)


def test_a_frozen_node_takes_connections_and_answers_once_it_thaws(tmp_path: Path) -> None:
    async def act(town: Town) -> None:
        town.place.set_condition({**town.calm, "frozen": True})
        reader, writer = await town.visit()
        writer.write(REQUEST)
        prober, probe = await town.visit()
        probe.write(b"GET /health HTTP/1.1\r\n\r\n")
        await nothing(reader.read(1))
        await nothing(prober.read(1))
        town.place.set_condition(town.calm)
        assert await asyncio.wait_for(reader.readline(), SOON) == b"HTTP/1.1 200 OK\r\n"
        assert await asyncio.wait_for(prober.readline(), SOON) == b"HTTP/1.1 200 OK\r\n"

    play(tmp_path, act)


def test_a_killed_node_resets_its_connections_and_refuses_new_ones(tmp_path: Path) -> None:
    async def act(town: Town) -> None:
        reader, _ = await town.visit()
        while not town.place.connections:
            await asyncio.sleep(0)
        town.place.crash("killed")
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(1), SOON)
        with pytest.raises(ConnectionRefusedError):
            await town.visit()
        town.place.restart(True, town.calm, False)
        await town.visit()
        assert town.told == ["up", "down", "up"] and town.place.spec.id == "s-front-1-r1"

    play(tmp_path, act)


# ---------------------------------------------------------------- the calling side


class Shop:
    """A server scripted by the test, and a pool that calls it."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.door = listener("127.0.0.1", 0)
        self.surplus: list[int] = []
        address, heard = self.door.getsockname(), self.surplus.append
        self.pool = ConnectionPool(self.loop, monotonic_us, address, lambda _, status, body: heard(status))
        self.ended: asyncio.Queue[Exchange] = asyncio.Queue()

    async def ask(self) -> Exchange:
        exchange = Exchange(b"GET / HTTP/1.1\r\n\r\n", self.ended.put_nowait)
        self.pool.send(exchange)
        return exchange

    async def welcome(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(self.loop.sock_accept(self.door), SOON)
        return sock

    async def serve(self, sock: socket.socket, answer: bytes) -> None:
        assert await asyncio.wait_for(self.loop.sock_recv(sock, 1000), SOON)
        await self.loop.sock_sendall(sock, answer)

    async def end(self) -> Exchange:
        return await asyncio.wait_for(self.ended.get(), SOON)


GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def shop(act: Callable[[Shop], Awaitable[None]]) -> None:
    async def main() -> None:
        await act(Shop())

    uvloop.run(main())


def test_a_request_that_a_closing_crossed_goes_out_once_more() -> None:
    async def act(shop: Shop) -> None:
        await shop.ask()
        first = await shop.welcome()
        await shop.serve(first, GOOD)
        await shop.end()
        first.close()  # the caller's loop has not heard of it when it writes the next
        await shop.ask()
        await shop.serve(await shop.welcome(), GOOD)
        again = await shop.end()
        assert again.status == 200 and again.resent

    shop(act)


def test_a_request_that_was_read_and_dropped_is_broken_off_and_not_sent_again() -> None:
    async def act(shop: Shop) -> None:
        await shop.ask()
        sock = await shop.welcome()
        await shop.serve(sock, GOOD)
        await shop.end()
        await shop.ask()
        await shop.serve(sock, b"")
        sock.close()
        lost = await shop.end()
        assert (lost.status, lost.failure, lost.sent_at > 0) == (0, "closed", True)
        await nothing(shop.welcome())

    shop(act)


def test_an_answer_that_nobody_asked_for_is_not_taken_for_the_next_ones() -> None:
    async def act(shop: Shop) -> None:
        await shop.ask()
        await shop.serve(await shop.welcome(), GOOD + GOOD)
        assert (await shop.end()).status == 200
        await shop.ask()
        await shop.serve(await shop.welcome(), GOOD.replace(b"200 OK", b"503 Full"))
        assert (await shop.end()).status == 503 and shop.surplus == [200]

    shop(act)


# ---------------------------------------------------------------- small parts


def test_leftovers_are_named_while_they_run_and_never_touched(tmp_path: Path) -> None:
    keeper = ProcessSupervisor(tmp_path)
    child = keeper.start("sleeper", ["/bin/sleep", "600"], cwd=tmp_path, env={})
    assert leftover_processes(tmp_path) == [f"sleeper ({child.pid})"] and runs(child.pid)
    keeper.close()
    assert leftover_processes(tmp_path) == [] and not runs(child.pid)


def test_two_runs_side_by_side_have_different_nets() -> None:
    one, other = Addresses(), Addresses()
    try:
        assert one.net != other.net
    finally:
        one.close()
        other.close()


def test_lateness_is_refused_by_its_p99_and_by_its_worst_second() -> None:
    late = ScheduleLag()
    for i in range(10_000):
        late.record(i * 1000, 9_000)
    assert late.invalid_reason() == "" and late.p99_us == 9_000
    for _ in range(60):  # too few for the p99, but most of that second
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
