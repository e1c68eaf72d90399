"""Descriptors: idle callers may fill them while discovery is down. Discovery, nodes and operators still get theirs, who
rested longest makes room, and a restart in the middle of it works."""

from __future__ import annotations

import json
import os
import signal
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from proxy_rig import (
    ProxyProcess,
    ProxyRig,
    ScriptedNode,
    build_request,
    node_entry,
    read_response,
    running_proxy,
    wait_until,
)
from test_told import FaultyDiscovery

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
FEW = {"cores": 1.0, "memory_mb": 192, "sockets": 96}


class Away(FaultyDiscovery):
    """A discovery that is down until `back`; its address is known."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        super().__init__([], members)
        self.place = self.sock.getsockname()
        self.sock.shutdown(socket.SHUT_RDWR)  # the thread that accepts ends with it
        self.sock.close()

    def back(self) -> None:
        self.sock = socket.create_server(self.place)
        threading.Thread(target=self._accept, daemon=True).start()


@contextmanager
def away(
    tmp: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[tuple[ProxyProcess, list[ScriptedNode], Away]]:
    """A proxy with few descriptors whose list is old: one of its two nodes drains, as discovery will tell."""
    monkeypatch.setenv("TMPDIR", str(tmp))
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    discovery = Away([{**members[0], "phase": "DRAINING"}, members[1]])
    program = ProxyProcess(tmp, members, discovery.address, limits=FEW, mgmt="127.0.0.1:0")
    try:
        yield program, nodes, discovery
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()
        assert not [line for line in program.log if "Traceback" in line or "fault" in line]


def crowd(program: ProxyProcess, used: bool, count: int = 150) -> list[socket.socket]:
    """Callers who stay and say nothing (more); more of them than the process has descriptors."""
    found = []
    for _ in range(count):
        conn = program.connect()
        if used:
            conn.sendall(READY)
            read_response(conn)
        found.append(conn)
    return found


def descriptors(program: ProxyProcess) -> int:
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@pytest.mark.parametrize("used", [False, True])
def test_idle_callers_fill_the_descriptors_while_discovery_is_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, used: bool
) -> None:
    with away(tmp_path, monkeypatch) as (program, nodes, discovery):
        idle = crowd(program, used)
        assert descriptors(program) <= FEW["sockets"]
        assert (
            program.request(build_request("ok"))[0] == 200
        )  # a node gets its connection, and who rested longest makes room
        assert program.management_call("GET", "/healthcheck") == 200
        wait_until(lambda: len([x for x in list(program.log) if "call failed" in x]) > 1)
        discovery.back()
        idle += crowd(program, used)
        wait_until(lambda: discovery.list_was_received)
        before = len(nodes[0].requests)
        assert {program.request(build_request("ok"))[0] for _ in range(3)} == {200}
        assert len(nodes[0].requests) == before and nodes[1].requests
        assert descriptors(program) <= FEW["sockets"]
        assert not [
            x for x in program.log if "cannot accept" in x
        ]  # it is never so short that accepting fails
        for conn in idle:
            conn.close()


def test_a_restart_under_such_a_crowd_is_ready_and_serves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with away(tmp_path, monkeypatch) as (program, nodes, _):
        idle = crowd(program, used=False)
        program.process.send_signal(signal.SIGKILL)
        program.process.wait()
        tree = json.loads((tmp_path / "config.json").read_text())
        again = ProxyProcess(tmp_path, tree["known"]["members"], tree["discovery"], limits=FEW, listen=(
            f"{program.address[0]}:{program.address[1]}"))  # fmt: skip
        try:
            idle += crowd(again, used=False)
            assert again.request(READY)[0] == 200 and again.request(build_request("ok"))[0] == 200
        finally:
            again.process.kill()
            again.process.wait()
            for conn in idle:
                conn.close()


def test_much_at_once_and_gone_leaves_nothing(tmp_path: Path) -> None:
    """Callers who write hundreds of requests and go before any is answered: neither descriptors nor log lines grow."""

    def flood(p: ProxyRig) -> None:
        for _ in range(20):
            conn = p.program.connect()
            conn.sendall(b"".join(build_request("ok") for _ in range(100)) + b"\x00" * 1000)
            conn.close()

    # Connections to the node that the flood had it take end soon, too: they are no part of what may be left.
    with running_proxy(tmp_path, allowed={"conn_idle_us": 2_000_000}) as p:
        assert p.program.request(build_request("ok"))[0] == 200
        wait_until(lambda: any("since=" in call for call in list(p.discovery.requests)))
        before, lines = descriptors(p.program), len(p.program.log)
        for _ in range(3):
            flood(p)
        wait_until(lambda: descriptors(p.program) <= before)
        assert len(p.program.log) - lines <= 20
        assert p.program.request(build_request("ok"))[0] == 200
