"""How soon a change of the list of nodes is known after failed calls to discovery. The sum of all waits must stay below
the platform's limit. All combinations of failures run on virtual time with the real decision module; some also on real
sockets with the real program, where only the order of events is checked."""

from __future__ import annotations

import json
import signal
import socket
import struct
import threading
import time
from itertools import product
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from helpers import Driver, S
from helpers import settings as module_settings
from proxy_rig import (
    ProxyProcess,
    ScriptedNode,
    ScriptedServer,
    build_request,
    node_entry,
    running_proxy,
    settings,
    wait_until,
)
from test_line import Stand, listen, room_for

from paddlestep import ListKind, ListUpdate, Watch
from slatehub.discovery import node_list, timing
from slatehub.discovery.node_list import NodeList

RESET = struct.pack("ii", 1, 0)


def test_all_waits_together_stay_under_what_the_platform_allows() -> None:
    """The largest tick of a site is some milliseconds. Half a second is reserved for delays of a busy event loop."""
    assert timing.worst_propagation_us(tick_us=20_000) <= timing.PROPAGATION_LIMIT_US - 250_000


# ---------------------------------------------------------------- virtual time, all combinations

# The longest duration in microseconds of a call that ends in each way.
ENDS = {
    "refused": 0,
    "never connected": timing.CONNECT_TIMEOUT_US,
    "reset at once": 0,
    "reset while it waited": timing.WATCH_TIMEOUT_MS * 1000 - 1,
    "503 after a queue": S,
    "silent": timing.WATCH_DEADLINE_US,
    "half an answer": timing.WATCH_DEADLINE_US,
}


def wait_for_watch(d: Driver) -> int:
    """Waits until the module asks discovery again and returns the time, at most a tick after the planned one."""
    assert d.balancer.watch_at, "never asks again"
    assert Watch(True) in d.wait(d.balancer.watch_at - d.now)
    return d.now


EVERY_S = pytest.mark.parametrize("ask_every_s", [0.01, 2, 10, 60, 3600])


@EVERY_S
def test_a_new_process_asks_soon_however_seldom_it_has_to(ask_every_s: float) -> None:
    for seed in range(100):
        d = Driver(module_settings(pushed_discovery=False, ask_every_us=int(ask_every_s * S)), seed=seed)
        assert wait_for_watch(d) - 100 * S + timing.RESPONSE_TIMEOUT_US <= timing.PROPAGATION_LIMIT_US / 2


@EVERY_S
@pytest.mark.parametrize("last", ENDS)
def test_a_change_is_told_in_time_after_any_failures(last: str, ask_every_s: float) -> None:
    """Discovery has the change and can be reached from some moment during the last of these calls, or during the pause
    after it; in the worst case from the start of that call."""
    for seed, before in enumerate(product(ENDS, repeat=3)):
        config = module_settings(pushed_discovery=False, ask_every_us=int(ask_every_s * S), tick_us=5_000)
        d = Driver(config, seed=seed)
        for end in (*before, last):
            asked = wait_for_watch(d)
            d.now += ENDS[end]
            d.give(ListUpdate(ListKind.FAILED))
        answered = wait_for_watch(d) + timing.RESPONSE_TIMEOUT_US
        assert answered - asked <= timing.PROPAGATION_LIMIT_US - 5_000


def test_failures_in_a_row_are_spread_out_over_many_proxies() -> None:
    """Independent proxies fail at the same time; their random delays keep them from asking discovery all at once."""
    moments = []
    for seed in range(200):
        d = Driver(module_settings(pushed_discovery=False), seed=seed)
        for _ in range(4):
            wait_for_watch(d)
            d.now = 200 * S + d.now // (1000 * S)  # all of them fail at the same time
            d.give(ListUpdate(ListKind.FAILED))
        moments.append(wait_for_watch(d))
    busiest = max(sum(t <= x < t + 50_000 for x in moments) for t in moments)
    assert busiest <= 40


# ---------------------------------------------------------------- real sockets


class Moody(ScriptedServer):
    """A discovery server that misbehaves as listed for its first calls and answers properly afterwards."""

    def __init__(self, moods: list[str], members: list[dict[str, Any]]) -> None:
        self.moods, self.members, self.revision = moods, members, 7
        self.asked: list[str] = []
        self.done: list[str] = []
        super().__init__()

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        target, revision = head.split(" ")[1], self.revision
        self.asked.append(target)
        mood = self.moods.pop(0) if self.moods else "list"
        self.done.append(mood)
        if mood == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            return False
        if mood == "503":
            conn.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        if mood == "half":
            conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"revision": 1')
        if mood in ("half", "silent"):
            conn.recv(1)  # until the other side disconnects
            return False
        if mood == "garbage":
            conn.sendall(b"\x00\x01 nothing of the kind\r\n\r\n")
            return False
        if f"since={revision}&" in target:
            time.sleep(0.05)  # no change
            members: list[dict[str, Any]] = []
        else:
            members = self.members
        tree = {"revision": revision, "complete": bool(members), "members": members}
        text = json.dumps(tree, indent=2).encode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        return True

    @property
    def told(self) -> bool:
        """Whether a call shows that the list was accepted."""
        return any(f"since={self.revision}&" in target for target in self.asked)


@pytest.mark.parametrize("moods", [
    ["silent"], ["list", "silent"], ["reset", "503", "half"], ["garbage", "silent", "reset"], ["503"] * 6,
])  # fmt: skip
def test_a_drain_is_learnt_after_any_failed_calls(tmp_path: Path, moods: list[str]) -> None:
    """The proxy starts from an old list. Once it has the new one, it sends nothing to the draining node."""
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    discovery = Moody(list(moods), [{**members[0], "phase": "DRAINING"}, members[1]])
    discovery.revision = 7
    program = ProxyProcess(tmp_path, members, discovery.address)
    try:
        wait_until(lambda: discovery.told)
        assert discovery.done[: len(moods)] == moods
        assert {program.request(build_request("ok"))[0] for _ in range(4)} == {200}
        assert not nodes[0].requests and len(nodes[1].requests) == 4
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()


def test_a_proxy_whose_lists_are_pushed_asks_before_it_serves(tmp_path: Path) -> None:
    """The list of the agent counts as known from the start of a new process."""
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    discovery = Moody([], [{**members[0], "phase": "DRAINING"}, members[1]])
    pushed = {**settings(), "discovery": "pushed"}
    program = ProxyProcess(tmp_path, members, discovery.address, settings=pushed)
    try:
        assert {program.request(build_request("ok"))[0] for _ in range(4)} == {200}
        assert not nodes[0].requests and len(nodes[1].requests) == 4
        discovery.members = [members[0], {**members[1], "phase": "DRAINING"}]
        discovery.revision = 8  # the watch continues
        wait_until(lambda: discovery.told)
        assert program.request(build_request("ok"))[0] == 200 and len(nodes[0].requests) == 1
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()


def test_a_silent_agent_does_not_keep_a_proxy_from_serving(tmp_path: Path) -> None:
    node = ScriptedNode()
    members = [node_entry("s-0", node.address)]
    discovery = Moody(["silent"] * 9, members)
    program = ProxyProcess(
        tmp_path, members, discovery.address, settings={**settings(), "discovery": "pushed"}
    )
    try:
        assert program.request(build_request("ok"))[0] == 200 and discovery.done == ["silent"]
    finally:
        program.process.kill()
        program.process.wait()
        node.sock.close()
        discovery.sock.close()


def test_discovery_that_moves_while_it_is_down_is_asked_where_it_is_now(tmp_path: Path) -> None:
    with running_proxy(tmp_path, nodes=2) as p:
        wait_until(lambda: any("since=" in call for call in list(p.discovery.requests)))
        tree = json.loads((tmp_path / "config.json").read_text())
        first, second = tree["known"]["members"]
        p.discovery.sock.close()  # refuses new connections; the watch stays open and silent
        elsewhere = Moody(["reset", "503"], [{**first, "phase": "DRAINING"}, second])
        (tmp_path / "config.json").write_text(json.dumps({**tree, "discovery": elsewhere.address}))
        p.program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: elsewhere.told)
        assert "since=0&" in elsewhere.asked[0]
        assert {p.program.request(build_request("ok"))[0] for _ in range(3)} == {200} and not p.nodes[
            0
        ].requests
        elsewhere.sock.close()


def test_a_restart_while_discovery_is_down_serves_from_the_known_list_and_learns_later(
    tmp_path: Path,
) -> None:
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    with socket.create_server(("127.0.0.1", 0)) as spare:
        port = spare.getsockname()[1]
    program = ProxyProcess(tmp_path, members, f"127.0.0.1:{port}")
    discovery = Moody([], [{**members[0], "phase": "DRAINING"}, members[1]])
    try:
        assert program.request(build_request("ok"))[0] == 200
        wait_until(lambda: any("discovery" in line for line in list(program.log)))  # a call has failed
        before = [len(node.requests) for node in nodes]
        discovery.sock.close()
        discovery.sock = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=discovery._accept, daemon=True).start()
        wait_until(lambda: discovery.told)
        assert {program.request(build_request("ok"))[0] for _ in range(4)} == {200}
        assert len(nodes[0].requests) == before[0] and len(nodes[1].requests) == before[1] + 4
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()


# ---------------------------------------------------------------- races


def test_an_answer_of_the_old_discovery_that_comes_after_the_move_changes_nothing() -> None:
    """The watcher has received its answer but has not run yet when the address of discovery changes."""
    stand = Stand()
    told: Any = SimpleNamespace(
        kinds={}, zones={}, known={}, discovery=("127.0.0.1", 1), conn_idle_us=9_000_000
    )
    with listen() as peer:
        listing = NodeList(told, stand.desk, room_for(stand, peer))
        turns: list[Any] = []

        def ask(watcher: Any) -> Any:
            gevent.sleep(0)
            turns.append(watcher)
            if len(turns) == 1:
                listing.watcher = None  # as `apply_settings` leaves it temporarily
                listing.revision = 0
                return {"revision": 99, "complete": True, "members": []}
            raise OSError("enough")

        listing._fetch = ask  # type: ignore[method-assign]
        listing.watch(True)
        while not turns:
            gevent.sleep(0)
        gevent.sleep(0)
        assert listing.revision == 0 and len(turns) == 1


def test_a_call_without_an_answer_is_given_up_after_its_time_and_no_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(node_list, "WATCH_DEADLINE_US", 60_000)
    stand = Stand()
    heard: list[ListKind] = []
    stand.desk.update_nodes = lambda kind, *_: heard.append(kind)  # type: ignore[method-assign]
    with listen() as peer:
        told: Any = SimpleNamespace(
            kinds={}, zones={}, known={}, discovery=peer.getsockname(), conn_idle_us=9_000_000
        )
        listing = NodeList(told, stand.desk, room_for(stand, peer))
        for revision in (
            None,
            5,
        ):  # the timeout for a whole list equals that of a watch, because discovery may have a queue
            listing.revision = revision
            listing.watch(True)
            conn, _ = peer.accept()
            assert conn.recv(1000).startswith(b"GET /v1/endpoints")
            assert conn.recv(1) == b""  # disconnected
            assert listing.watcher is None and heard.pop() is ListKind.FAILED
            conn.close()
