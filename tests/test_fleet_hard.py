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
from fleet_rig import Callers, Fleet, fleet
from plant import until

from slatehub.decisions.fleet.load import PLAIN, Load, NodeLoad
from slatehub.fleet.peer import Peer, Place
from slatehub.settings import keys

FAR = 1e12  # more than any figure may say


def shared(rig: Fleet, key: str) -> list[Any]:
    return [rig.status(name)["shared"][key] for name in rig.programs]


def together(rig: Fleet) -> None:
    until(
        lambda: shared(rig, "sum_of") == [len(rig.names)] * len(rig.programs) and all(shared(rig, "in_use"))
    )


@pytest.mark.parametrize("count", [2, 4])
def test_half_or_all_killed_at_once_and_started_empty_find_each_other(tmp_path: Path, count: int) -> None:
    with fleet(tmp_path, 4) as rig:
        together(rig)
        callers = Callers(rig)
        callers.warm()
        rest = rig.names[count:]
        if not rest:
            callers.end()
        for name in rig.names[:count]:
            rig.kill(name)
        for name in rig.names[:count]:
            rig.start(name)
        for name in rig.names:
            until(lambda name=name: rig.alive(name) == set(rig.names))
        together(rig)
        callers.end()
        assert not rest or callers.statuses[1] > 200


def test_one_that_hears_and_is_not_heard_goes_on_serving_and_comes_back(tmp_path: Path) -> None:
    with fleet(tmp_path, 4) as rig:
        together(rig)
        callers = Callers(rig)
        callers.warm()
        others = [name for name in rig.names if name != "p2"]
        rig.set(lambda net: net.sever("mute", ["p2"], others, both=False))
        for name in others:
            until(lambda name=name: "p2" not in rig.alive(name))
        served = callers.statuses[1]
        until(lambda: callers.statuses[1] > served + 100)
        rig.set(lambda net: net.mend("mute"))
        together(rig)
        callers.end()
        assert not callers.statuses[0]


def test_news_that_is_too_late_counts_for_nothing_and_costs_no_answer(tmp_path: Path) -> None:
    with fleet(tmp_path, 3) as rig:
        together(rig)
        callers = Callers(rig)
        callers.warm()
        rig.set(lambda net: setattr(net.weather, "delay", 4_000_000))
        until(lambda: not any(shared(rig, "in_use")))
        served = callers.statuses[1]
        until(lambda: callers.statuses[1] > served + 100)
        rig.set(lambda net: setattr(net.weather, "delay", 0))
        together(rig)
        callers.end()
        assert not callers.statuses[0]


def test_a_cut_heals_while_one_wakes_with_old_news_and_datagrams_come_twice_late_and_broken(
    tmp_path: Path,
) -> None:
    with fleet(tmp_path, 4) as rig:
        together(rig)
        rig.set(lambda net: net.sever("cut", ["p0", "p1"], ["p2", "p3"]))
        asleep = rig.programs.pop("p3")
        os.kill(asleep.process.pid, signal.SIGSTOP)
        until(lambda: rig.alive("p0") == rig.alive("p1") == {"p0", "p1"})
        callers = Callers(rig)
        callers.warm()

        def weather(net: Any) -> None:
            net.mend("cut")
            net.weather.twice = net.weather.broken = net.weather.late = 0.2
            net.weather.late_by = 1_000_000

        rig.set(weather)
        os.kill(asleep.process.pid, signal.SIGCONT)
        rig.programs["p3"] = asleep
        for name in rig.names:
            until(lambda name=name: rig.alive(name) == set(rig.names))
        callers.end()
        rig.set(lambda net: [setattr(net.weather, key, 0.0) for key in ("twice", "broken", "late")])
        together(rig)
        assert not callers.statuses[0]


class Liar:
    """A member under a good key that tells of more than anybody can do, negative and endless figures among it."""

    def __init__(self, rig: Fleet, name: str) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(rig.relay.listens[name])
        self.sock.settimeout(0.02)
        host, port = rig.relay.advertised(name)
        seeds = tuple(rig.relay.advertised(one) for one in rig.names[:2])
        place = Place(name, "test", 0, host, port, seeds)
        self.peer = Peer(place, keys.read(str(rig.key)), self.now(), Random(1))
        module: Any = SimpleNamespace(
            servers={},
            ready=(),
            ejected_count=0,
            settings=SimpleNamespace(classes=()),
            uncrowded_work_us=lambda: 0.0,
        )
        share = self.peer.tell_load(self.now(), lambda: module, lambda *_: None)
        nodes = {2**40 + i: NodeLoad(FAR, FAR, FAR, 0.0) for i in range(24)}
        most = Load(1, (FAR,) * len(PLAIN), ((FAR, FAR),) * 16, nodes)
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
                self.peer.received(self.now(), self.sock.recv(2048))
            except OSError:
                pass
            self.peer.advance(self.now())
            for host, port, data in self.peer.take():
                self.sock.sendto(data, (host, port))

    def end(self) -> None:
        self.on = False
        self.thread.join()
        self.sock.close()


def test_nonsense_under_a_good_key_is_clamped_and_nobody_is_turned_away_for_it(tmp_path: Path) -> None:
    with fleet(tmp_path, 4) as rig:
        rig.kill("p3")
        liar = Liar(rig, "p3")
        try:
            together(rig)
            callers = Callers(rig)
            callers.warm()
            until(lambda: all(rig.status(name)["shared"]["arrivals_per_s"] > 10_000 for name in rig.programs))
            callers.statuses[:] = [0, 0]
            until(lambda: callers.statuses[1] > 300)
            callers.end()
            assert all(part >= 0.5 / 4 for part in shared(rig, "part"))
            assert callers.statuses[0] < 0.1 * callers.statuses[1]
        finally:
            liar.end()
