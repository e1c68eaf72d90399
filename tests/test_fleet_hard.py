"""Severe faults in a fleet of real processes: mass kills, one-way partitions, stale processes, faulty networks and a
member that reports absurd load. Each test ends in the shared audit; none depends on speed."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from fleet_rig import FleetRig, LoadClients, running_fleet
from proxy_rig import wait_until

from slatehub.decisions.fleet.load import TOTAL_NAMES, Load, NodeLoad
from slatehub.fleet.peer import Peer, PeerIdentity
from slatehub.settings import key_file

EXCESSIVE_FIGURE = 1e12  # above the bound of any figure


def shared(rig: FleetRig, key: str) -> list[Any]:
    return [rig.fleet_status(name)["shared"][key] for name in rig.programs]


def wait_for_shared_load(rig: FleetRig) -> None:
    wait_until(
        lambda: shared(rig, "sum_of") == [len(rig.names)] * len(rig.programs) and all(shared(rig, "in_use"))
    )


@pytest.mark.parametrize("count", [2, 4])
def test_members_killed_together_find_each_other_after_restart(tmp_path: Path, count: int) -> None:
    with running_fleet(tmp_path, 4) as rig:
        wait_for_shared_load(rig)
        callers = LoadClients(rig)
        callers.wait_until_warm()
        others = rig.names[count:]
        if not others:
            callers.stop()
        for name in rig.names[:count]:
            rig.kill(name)
        for name in rig.names[:count]:
            rig.start(name)
        for name in rig.names:
            wait_until(lambda name=name: rig.alive_members(name) == set(rig.names))
        wait_for_shared_load(rig)
        callers.stop()
        assert not others or callers.statuses[1] > 200


def test_proxy_that_can_only_receive_keeps_serving_and_rejoins(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as rig:
        wait_for_shared_load(rig)
        callers = LoadClients(rig)
        callers.wait_until_warm()
        others = [name for name in rig.names if name != "p2"]
        rig.set_faults(lambda net: net.partition("mute", ["p2"], others, both=False))
        for name in others:
            wait_until(lambda name=name: "p2" not in rig.alive_members(name))
        served = callers.statuses[1]
        wait_until(lambda: callers.statuses[1] > served + 100)
        rig.set_faults(lambda net: net.heal("mute"))
        wait_for_shared_load(rig)
        callers.stop()
        assert not callers.statuses[0]


def test_stale_fleet_load_is_ignored_and_costs_no_response(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as rig:
        wait_for_shared_load(rig)
        callers = LoadClients(rig)
        callers.wait_until_warm()
        rig.set_faults(lambda net: setattr(net.faults, "delay", 4_000_000))
        wait_until(lambda: not any(shared(rig, "in_use")))
        served = callers.statuses[1]
        wait_until(lambda: callers.statuses[1] > served + 100)
        rig.set_faults(lambda net: setattr(net.faults, "delay", 0))
        wait_for_shared_load(rig)
        callers.stop()
        assert not callers.statuses[0]


def test_partition_heals_while_a_stale_process_resumes_on_a_faulty_network(
    tmp_path: Path,
) -> None:
    with running_fleet(tmp_path, 4) as rig:
        wait_for_shared_load(rig)
        rig.set_faults(lambda net: net.partition("cut", ["p0", "p1"], ["p2", "p3"]))
        suspended = rig.programs.pop("p3")
        os.kill(suspended.process.pid, signal.SIGSTOP)
        wait_until(lambda: rig.alive_members("p0") == rig.alive_members("p1") == {"p0", "p1"})
        callers = LoadClients(rig)
        callers.wait_until_warm()

        def make_network_faulty(net: Any) -> None:
            net.heal("cut")
            net.faults.duplication = net.faults.corruption = net.faults.reordering = 0.2
            net.faults.reordering_delay = 1_000_000

        rig.set_faults(make_network_faulty)
        os.kill(suspended.process.pid, signal.SIGCONT)
        rig.programs["p3"] = suspended
        for name in rig.names:
            wait_until(lambda name=name: rig.alive_members(name) == set(rig.names))
        callers.stop()
        rig.set_faults(
            lambda net: [setattr(net.faults, key, 0.0) for key in ("duplication", "corruption", "reordering")]
        )
        wait_for_shared_load(rig)
        assert not callers.statuses[0]


class FalseLoadMember:
    """A member with a valid key that reports more load than any proxy can have."""

    def __init__(self, rig: FleetRig, name: str) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(rig.relay.listen_addresses[name])
        self.sock.settimeout(0.02)
        host, port = rig.relay.advertised_address(name)
        seeds = tuple(rig.relay.advertised_address(one) for one in rig.names[:2])
        identity = PeerIdentity(name, "test", 0, host, port, seeds)
        self.peer = Peer(identity, key_file.read(str(rig.key)), self.now(), Random(1))
        module: Any = SimpleNamespace(
            servers={},
            ready=(),
            ejected_count=0,
            settings=SimpleNamespace(classes=()),
            uncrowded_work_us=lambda: 0.0,
        )
        load_sharing = self.peer.start_load_sharing(self.now(), lambda: module, lambda *_: None)
        nodes = {
            2**40 + i: NodeLoad(EXCESSIVE_FIGURE, EXCESSIVE_FIGURE, EXCESSIVE_FIGURE, 0.0) for i in range(24)
        }
        most = Load(
            1, (EXCESSIVE_FIGURE,) * len(TOTAL_NAMES), ((EXCESSIVE_FIGURE, EXCESSIVE_FIGURE),) * 16, nodes
        )
        load_sharing.meter.read = lambda *_: most  # type: ignore[assignment]
        self.on = True
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    @staticmethod
    def now() -> int:
        return time.time_ns() // 1000

    def _run(self) -> None:
        while self.on:
            try:
                self.peer.receive(self.now(), self.sock.recv(2048))
            except OSError:
                pass
            self.peer.advance(self.now())
            for host, port, data in self.peer.drain_datagrams():
                self.sock.sendto(data, (host, port))

    def end(self) -> None:
        self.on = False
        self.thread.join()
        self.sock.close()


def test_authentic_absurd_figures_are_clamped_and_cause_no_refusals(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as rig:
        rig.kill("p3")
        false_member = FalseLoadMember(rig, "p3")
        try:
            wait_for_shared_load(rig)
            callers = LoadClients(rig)
            callers.wait_until_warm()
            wait_until(
                lambda: all(
                    rig.fleet_status(name)["shared"]["arrivals_per_s"] > 10_000 for name in rig.programs
                )
            )
            callers.statuses[:] = [0, 0]
            wait_until(lambda: callers.statuses[1] > 300)
            callers.stop()
            assert all(part >= 0.5 / 4 for part in shared(rig, "part"))
            assert callers.statuses[0] < 0.1 * callers.statuses[1]
        finally:
            false_member.end()
