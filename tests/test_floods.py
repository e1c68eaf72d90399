"""Descriptors: idle callers may use them up while discovery is down. Connections to discovery, nodes and operators
still get descriptors, the caller idle for longest is closed, and a restart in this state works."""

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
SMALL_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 96}


class UnavailableDiscovery(FaultyDiscovery):
    """A discovery service that is down until `start`; its address is known."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        super().__init__([], members)
        self.restart_address = self.sock.getsockname()
        self.sock.shutdown(socket.SHUT_RDWR)  # this ends the accepting thread
        self.sock.close()

    def start(self) -> None:
        self.sock = socket.create_server(self.restart_address)
        threading.Thread(target=self._accept, daemon=True).start()


@contextmanager
def proxy_without_discovery(
    tmp: Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[tuple[ProxyProcess, list[ScriptedNode], UnavailableDiscovery]]:
    """A proxy with few descriptors and an outdated node list: one of its two nodes drains, which
    discovery reports once it is up."""
    monkeypatch.setenv("TMPDIR", str(tmp))
    nodes = [ScriptedNode(), ScriptedNode()]
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(nodes)]
    discovery = UnavailableDiscovery([{**members[0], "phase": "DRAINING"}, members[1]])
    program = ProxyProcess(tmp, members, discovery.address, limits=SMALL_LIMITS, mgmt="127.0.0.1:0")
    try:
        yield program, nodes, discovery
    finally:
        program.process.kill()
        program.process.wait()
        for peer in (*nodes, discovery):
            peer.sock.close()
        assert not [line for line in program.log if "Traceback" in line or "fault" in line]


def open_idle_connections(program: ProxyProcess, used: bool, count: int = 150) -> list[socket.socket]:
    """Opens connections that send nothing, or nothing after one request (`used`); more than the process has
    descriptors."""
    conns = []
    for _ in range(count):
        conn = program.connect()
        if used:
            conn.sendall(READY)
            read_response(conn)
        conns.append(conn)
    return conns


def descriptor_count(program: ProxyProcess) -> int:
    return len(os.listdir(f"/proc/{program.process.pid}/fd"))


@pytest.mark.parametrize("used", [False, True])
def test_idle_callers_use_up_the_descriptors_while_discovery_is_down(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, used: bool
) -> None:
    with proxy_without_discovery(tmp_path, monkeypatch) as (program, nodes, discovery):
        idle = open_idle_connections(program, used)
        assert descriptor_count(program) <= SMALL_LIMITS["sockets"]
        # The caller idle for longest is closed, and the connection to the node gets its descriptor.
        assert program.request(build_request("ok"))[0] == 200
        assert program.management_call("GET", "/healthcheck") == 200
        wait_until(lambda: len([x for x in list(program.log) if "call failed" in x]) > 1)
        discovery.start()
        idle += open_idle_connections(program, used)
        wait_until(lambda: discovery.list_was_received)
        before = len(nodes[0].requests)
        assert {program.request(build_request("ok"))[0] for _ in range(3)} == {200}
        assert len(nodes[0].requests) == before and nodes[1].requests
        assert descriptor_count(program) <= SMALL_LIMITS["sockets"]
        # `accept` never fails for lack of descriptors.
        assert not [x for x in program.log if "cannot accept" in x]
        for conn in idle:
            conn.close()


def test_a_proxy_restarted_among_idle_callers_is_ready_and_serves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with proxy_without_discovery(tmp_path, monkeypatch) as (program, nodes, _):
        idle = open_idle_connections(program, used=False)
        program.process.send_signal(signal.SIGKILL)
        program.process.wait()
        config = json.loads((tmp_path / "config.json").read_text())
        restarted = ProxyProcess(tmp_path, config["known"]["members"], config["discovery"], limits=SMALL_LIMITS,
            listen=f"{program.address[0]}:{program.address[1]}")  # fmt: skip
        try:
            idle += open_idle_connections(restarted, used=False)
            assert restarted.request(READY)[0] == 200 and restarted.request(build_request("ok"))[0] == 200
        finally:
            restarted.process.kill()
            restarted.process.wait()
            for conn in idle:
                conn.close()


def test_floods_of_abandoned_requests_leave_no_descriptors(tmp_path: Path) -> None:
    """Callers write hundreds of requests and disconnect before any is answered: neither the number of descriptors nor
    the log grows."""

    def flood(p: ProxyRig) -> None:
        for _ in range(20):
            conn = p.program.connect()
            conn.sendall(b"".join(build_request("ok") for _ in range(100)) + b"\x00" * 1000)
            conn.close()

    # Idle connections to the node that the flood opened are closed soon, too, so the count must return to its start.
    with running_proxy(tmp_path, allowed={"conn_idle_us": 2_000_000}) as p:
        assert p.program.request(build_request("ok"))[0] == 200
        wait_until(lambda: any("since=" in call for call in list(p.discovery.requests)))
        before, lines_before = descriptor_count(p.program), len(p.program.log)
        for _ in range(3):
            flood(p)
        wait_until(lambda: descriptor_count(p.program) <= before)
        assert len(p.program.log) - lines_before <= 20
        assert p.program.request(build_request("ok"))[0] == 200
