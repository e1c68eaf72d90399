"""How late a change of the node list is known after any failures of the calls to discovery. The sum of all waits must
stay within the platform's limit. All combinations of failures run on virtual time with the real balancer, and some on
real sockets with the real program, where only the order of events is checked."""

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
from test_line import DispatcherRig, make_pool, open_listener

from paddlestep import ListKind, ListUpdate, Watch
from slatehub.discovery import node_list, timing
from slatehub.discovery.node_list import NodeList
from slatelab.reserved_address import ReservedAddress

RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def test_all_waits_together_stay_under_what_the_platform_allows() -> None:
    """The longest tick of a site is a few milliseconds. A quarter of a second is left for a busy event loop."""
    assert timing.worst_propagation_us(tick_us=20_000) <= timing.PROPAGATION_LIMIT_US - 250_000


# ---------------------------------------------------------------- virtual time, all combinations

# The longest time that a call with this end takes, in microseconds.
CALL_DURATION_US = {
    "refused": 0,
    "never connected": timing.CONNECT_TIMEOUT_US,
    "reset at once": 0,
    "reset while it waited": timing.WATCH_TIMEOUT_MS * 1000 - 1,
    "503 after a queue": S,
    "silent": timing.WATCH_DEADLINE_US,
    "half an answer": timing.WATCH_DEADLINE_US,
}


def next_call_start(d: Driver) -> int:
    """Returns when the balancer next starts a watch: at the latest a tick after the time that it has set for it."""
    assert d.balancer.watch_at, "no further watch is scheduled"
    assert Watch(True) in d.wait(d.balancer.watch_at - d.now)
    return d.now


ASK_INTERVALS = pytest.mark.parametrize("ask_every_s", [0.01, 2, 10, 60, 3600])


@ASK_INTERVALS
def test_a_new_process_calls_discovery_soon_with_any_interval(ask_every_s: float) -> None:
    for seed in range(100):
        d = Driver(module_settings(pushed_discovery=False, ask_every_us=int(ask_every_s * S)), seed=seed)
        assert next_call_start(d) - 100 * S + timing.RESPONSE_TIMEOUT_US <= timing.PROPAGATION_LIMIT_US / 2


@ASK_INTERVALS
@pytest.mark.parametrize("last", CALL_DURATION_US)
def test_a_change_is_known_in_time_after_any_failures(last: str, ask_every_s: float) -> None:
    """Discovery has the change, and can be reached, from some moment during the last of these calls or the pause after
    it. The worst case is the start of that call."""
    for seed, before in enumerate(product(CALL_DURATION_US, repeat=3)):
        config = module_settings(pushed_discovery=False, ask_every_us=int(ask_every_s * S), tick_us=5_000)
        d = Driver(config, seed=seed)
        for end in (*before, last):
            started_at = next_call_start(d)
            d.now += CALL_DURATION_US[end]
            d.give(ListUpdate(ListKind.FAILED))
        answered = next_call_start(d) + timing.RESPONSE_TIMEOUT_US
        assert answered - started_at <= timing.PROPAGATION_LIMIT_US - 5_000


def test_failures_in_a_row_are_spread_out_over_many_proxies() -> None:
    """Proxies share no state, and their calls fail together. The random part of each pause keeps them from calling
    again at the same time."""
    start_times = []
    for seed in range(200):
        d = Driver(module_settings(pushed_discovery=False), seed=seed)
        for _ in range(4):
            next_call_start(d)
            d.now = 200 * S + d.now // (1000 * S)  # all of them fail at the same time
            d.give(ListUpdate(ListKind.FAILED))
        start_times.append(next_call_start(d))
    busiest = max(sum(t <= x < t + 50_000 for x in start_times) for t in start_times)
    assert busiest <= 40


# ---------------------------------------------------------------- real sockets


class FaultyDiscovery(ScriptedServer):
    """A discovery with a scripted behaviour for each call in turn; after these it answers with its list."""

    def __init__(self, behaviours: list[str], members: list[dict[str, Any]]) -> None:
        self.behaviours, self.members, self.revision = behaviours, members, 7
        self.targets: list[str] = []
        self.answered: list[str] = []
        super().__init__()

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        target, revision = head.split(" ")[1], self.revision
        self.targets.append(target)
        behaviour = self.behaviours.pop(0) if self.behaviours else "list"
        self.answered.append(behaviour)
        if behaviour == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return False
        if behaviour == "503":
            conn.sendall(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        if behaviour == "half":
            conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"revision": 1')
        if behaviour in ("half", "silent"):
            conn.recv(1)  # until the proxy closes the connection
            return False
        if behaviour == "garbage":
            conn.sendall(b"\x00\x01 nothing of the kind\r\n\r\n")
            return False
        if f"since={revision}&" in target:
            time.sleep(0.05)  # nothing new
            members: list[dict[str, Any]] = []
        else:
            members = self.members
        tree = {"revision": revision, "complete": bool(members), "members": members}
        text = json.dumps(tree, indent=2).encode()
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
        return True

    @property
    def list_was_received(self) -> bool:
        """Whether a call shows that the proxy has applied the list."""
        return any(f"since={self.revision}&" in target for target in self.targets)


@pytest.mark.parametrize("behaviours", [
    ["silent"], ["list", "silent"], ["reset", "503", "half"], ["garbage", "silent", "reset"], ["503"] * 6,
])  # fmt: skip
def test_a_drain_is_learnt_after_any_failures_of_the_calls(tmp_path: Path, behaviours: list[str]) -> None:
    """The proxy starts from an old list; once it has the new one it sends nothing to the draining node."""
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    discovery = FaultyDiscovery(list(behaviours), [{**members[0], "phase": "DRAINING"}, members[1]])
    discovery.revision = 7
    program = ProxyProcess(tmp_path, members, discovery.address)
    try:
        wait_until(lambda: discovery.list_was_received)
        assert discovery.answered[: len(behaviours)] == behaviours
        assert {program.request(build_request("ok"))[0] for _ in range(4)} == {200}
        assert not nodes[0].requests and len(nodes[1].requests) == 4
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()


def test_a_proxy_whose_lists_are_pushed_asks_before_it_serves(tmp_path: Path) -> None:
    """With pushed lists, what discovery has counts as known from the start of a new process."""
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    discovery = FaultyDiscovery([], [{**members[0], "phase": "DRAINING"}, members[1]])
    pushed = {**settings(), "discovery": "pushed"}
    program = ProxyProcess(tmp_path, members, discovery.address, settings=pushed)
    try:
        assert {program.request(build_request("ok"))[0] for _ in range(4)} == {200}
        assert not nodes[0].requests and len(nodes[1].requests) == 4
        discovery.members = [members[0], {**members[1], "phase": "DRAINING"}]
        discovery.revision = 8  # the watch continues
        wait_until(lambda: discovery.list_was_received)
        assert program.request(build_request("ok"))[0] == 200 and len(nodes[0].requests) == 1
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()


def test_a_silent_discovery_does_not_keep_a_proxy_from_serving(tmp_path: Path) -> None:
    node = ScriptedNode()
    members = [node_entry("s-0", node.address)]
    discovery = FaultyDiscovery(["silent"] * 9, members)
    program = ProxyProcess(
        tmp_path, members, discovery.address, settings={**settings(), "discovery": "pushed"}
    )
    try:
        assert program.request(build_request("ok"))[0] == 200 and discovery.answered == ["silent"]
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
        p.discovery.sock.close()  # no new connections; the open watch gets no response
        new_discovery = FaultyDiscovery(["reset", "503"], [{**first, "phase": "DRAINING"}, second])
        (tmp_path / "config.json").write_text(json.dumps({**tree, "discovery": new_discovery.address}))
        p.program.process.send_signal(signal.SIGHUP)
        wait_until(lambda: new_discovery.list_was_received)
        assert "since=0&" in new_discovery.targets[0]
        assert {p.program.request(build_request("ok"))[0] for _ in range(3)} == {200} and not p.nodes[
            0
        ].requests
        new_discovery.sock.close()


def test_a_restart_while_discovery_is_down_serves_from_the_known_list_and_learns_later(
    tmp_path: Path,
) -> None:
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    reserved = ReservedAddress()
    program = ProxyProcess(tmp_path, members, str(reserved))
    discovery = FaultyDiscovery([], [{**members[0], "phase": "DRAINING"}, members[1]])
    try:
        assert program.request(build_request("ok"))[0] == 200
        wait_until(lambda: any("discovery" in line for line in list(program.log)))  # a call has failed
        before = [len(node.requests) for node in nodes]
        discovery.sock.close()
        discovery.sock = socket.create_server(("127.0.0.1", reserved.port))
        threading.Thread(target=discovery._accept, daemon=True).start()
        wait_until(lambda: discovery.list_was_received)
        assert {program.request(build_request("ok"))[0] for _ in range(4)} == {200}
        assert len(nodes[0].requests) == before[0] and len(nodes[1].requests) == before[1] + 4
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()
        reserved.close()


# ---------------------------------------------------------------- races in one process


def test_an_answer_of_the_old_discovery_that_comes_after_the_move_changes_nothing() -> None:
    """Discovery moves when the watcher has received its answer but has not run yet."""
    rig = DispatcherRig()
    config: Any = SimpleNamespace(
        kinds={}, zones={}, known={}, discovery=("127.0.0.1", 1), conn_idle_us=9_000_000
    )
    with open_listener() as listener:
        nodes = NodeList(config, rig.driver, make_pool(rig, listener))
        watchers: list[Any] = []

        def fetch(watcher: Any) -> Any:
            gevent.sleep(0)
            watchers.append(watcher)
            if len(watchers) == 1:
                nodes.watcher = None  # as `apply_settings` leaves it for a moment
                nodes.revision = 0
                return {"revision": 99, "complete": True, "members": []}
            raise OSError("enough")

        nodes._fetch = fetch  # type: ignore[method-assign]
        nodes.watch(True)
        while not watchers:
            gevent.sleep(0)
        gevent.sleep(0)
        assert nodes.revision == 0 and len(watchers) == 1


def test_a_call_without_an_answer_is_abandoned_at_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(node_list, "WATCH_DEADLINE_US", 60_000)
    rig = DispatcherRig()
    kinds: list[ListKind] = []
    rig.driver.update_nodes = lambda kind, *_: kinds.append(kind)  # type: ignore[method-assign]
    with open_listener() as listener:
        config: Any = SimpleNamespace(
            kinds={}, zones={}, known={}, discovery=listener.getsockname(), conn_idle_us=9_000_000
        )
        nodes = NodeList(config, rig.driver, make_pool(rig, listener))
        # A whole list has the same deadline as a watch, as discovery may have requests queued.
        for revision in (None, 5):
            nodes.revision = revision
            nodes.watch(True)
            conn, _ = listener.accept()
            assert conn.recv(1000).startswith(b"GET /v1/endpoints")
            assert conn.recv(1) == b""  # closed by the proxy
            assert nodes.watcher is None and kinds.pop() is ListKind.FAILED
            conn.close()
