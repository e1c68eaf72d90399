"""The hard cases of proxies that know each other: real processes, and between them what no net should do. Each ends in
the shared audit; none judges by how fast it went."""

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

FAR = 1e12  # more than any figure may say


def shared(rig: FleetRig, key: str) -> list[Any]:
    return [rig.fleet_status(name)["shared"][key] for name in rig.programs]


def together(rig: FleetRig) -> None:
    wait_until(
        lambda: shared(rig, "sum_of") == [len(rig.names)] * len(rig.programs) and all(shared(rig, "in_use"))
    )


@pytest.mark.parametrize("count", [2, 4])
def test_half_or_all_killed_at_once_and_started_empty_find_each_other(tmp_path: Path, count: int) -> None:
    with running_fleet(tmp_path, 4) as rig:
        together(rig)
        callers = LoadClients(rig)
        callers.wait_until_warm()
        rest = rig.names[count:]
        if not rest:
            callers.stop()
        for name in rig.names[:count]:
            rig.kill(name)
        for name in rig.names[:count]:
            rig.start(name)
        for name in rig.names:
            wait_until(lambda name=name: rig.alive_members(name) == set(rig.names))
        together(rig)
        callers.stop()
        assert not rest or callers.statuses[1] > 200


def test_one_that_hears_and_is_not_heard_goes_on_serving_and_comes_back(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as rig:
        together(rig)
        callers = LoadClients(rig)
        callers.wait_until_warm()
        others = [name for name in rig.names if name != "p2"]
        rig.set_faults(lambda net: net.partition("mute", ["p2"], others, both=False))
        for name in others:
            wait_until(lambda name=name: "p2" not in rig.alive_members(name))
        served = callers.statuses[1]
        wait_until(lambda: callers.statuses[1] > served + 100)
        rig.set_faults(lambda net: net.heal("mute"))
        together(rig)
        callers.stop()
        assert not callers.statuses[0]


def test_news_that_is_too_late_counts_for_nothing_and_costs_no_answer(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 3) as rig:
        together(rig)
        callers = LoadClients(rig)
        callers.wait_until_warm()
        rig.set_faults(lambda net: setattr(net.faults, "delay", 4_000_000))
        wait_until(lambda: not any(shared(rig, "in_use")))
        served = callers.statuses[1]
        wait_until(lambda: callers.statuses[1] > served + 100)
        rig.set_faults(lambda net: setattr(net.faults, "delay", 0))
        together(rig)
        callers.stop()
        assert not callers.statuses[0]


def test_a_cut_heals_while_one_wakes_with_old_news_and_datagrams_come_twice_late_and_broken(
    tmp_path: Path,
) -> None:
    with running_fleet(tmp_path, 4) as rig:
        together(rig)
        rig.set_faults(lambda net: net.partition("cut", ["p0", "p1"], ["p2", "p3"]))
        asleep = rig.programs.pop("p3")
        os.kill(asleep.process.pid, signal.SIGSTOP)
        wait_until(lambda: rig.alive_members("p0") == rig.alive_members("p1") == {"p0", "p1"})
        callers = LoadClients(rig)
        callers.wait_until_warm()

        def weather(net: Any) -> None:
            net.heal("cut")
            net.faults.duplication = net.faults.corruption = net.faults.reordering = 0.2
            net.faults.reordering_delay = 1_000_000

        rig.set_faults(weather)
        os.kill(asleep.process.pid, signal.SIGCONT)
        rig.programs["p3"] = asleep
        for name in rig.names:
            wait_until(lambda name=name: rig.alive_members(name) == set(rig.names))
        callers.stop()
        rig.set_faults(
            lambda net: [setattr(net.faults, key, 0.0) for key in ("duplication", "corruption", "reordering")]
        )
        together(rig)
        assert not callers.statuses[0]


class Liar:
    """A member under a good key that tells of more than anybody can do, negative and endless figures among it."""

    def __init__(self, rig: FleetRig, name: str) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(rig.relay.listen_addresses[name])
        self.sock.settimeout(0.02)
        host, port = rig.relay.advertised_address(name)
        seeds = tuple(rig.relay.advertised_address(one) for one in rig.names[:2])
        place = PeerIdentity(name, "test", 0, host, port, seeds)
        self.peer = Peer(place, key_file.read(str(rig.key)), self.now(), Random(1))
        module: Any = SimpleNamespace(
            servers={},
            ready=(),
            ejected_count=0,
            settings=SimpleNamespace(classes=()),
            uncrowded_work_us=lambda: 0.0,
        )
        share = self.peer.start_load_sharing(self.now(), lambda: module, lambda *_: None)
        nodes = {2**40 + i: NodeLoad(FAR, FAR, FAR, 0.0) for i in range(24)}
        most = Load(1, (FAR,) * len(TOTAL_NAMES), ((FAR, FAR),) * 16, nodes)
        share.meter.read = lambda *_: most  # type: ignore[assignment]
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


def test_nonsense_under_a_good_key_is_clamped_and_nobody_is_turned_away_for_it(tmp_path: Path) -> None:
    with running_fleet(tmp_path, 4) as rig:
        rig.kill("p3")
        liar = Liar(rig, "p3")
        try:
            together(rig)
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
            liar.end()
