"""How long a message is on its way. It owns the delays and their jitter, and must never lose or reorder a
message: what keeps the order on one connection is the connection's (`OrderedChannel`)."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from slatelab.scenario import Scenario

from .virtual_clock import VirtualClock

LOOPBACK_US = 30  # one way between a node and its own proxy, which stand on one machine


class Network:
    """One way delays in microseconds, drawn evenly between (1 - jitter) and (1 + jitter) of the
    scenario's."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        net = scenario.network
        self._random = rng.random
        self._near, self._far = net.delay * (1 - net.jitter), net.client_delay * (1 - net.jitter)
        self._near_more, self._far_more = 2 * net.jitter * net.delay, 2 * net.jitter * net.client_delay

    def near(self) -> int:
        """Between proxies, nodes and discovery."""
        return int(self._near + self._near_more * self._random() + 0.5)

    def far(self) -> int:
        """Between outside clients and proxies."""
        return int(self._far + self._far_more * self._random() + 0.5)


class OrderedChannel:
    """One direction of one connection: what is sent later arrives later, whatever the jitter (TCP)."""

    __slots__ = ("_clock", "_delay", "last")

    def __init__(self, day: VirtualClock, delay: Callable[[], int]) -> None:
        self._clock, self._delay, self.last = day, delay, 0

    def arrival(self) -> int:
        """When a message sent now arrives."""
        due = self._clock.now + self._delay()
        if due > self.last:
            self.last = due
        return self.last

    def send(self, call: Callable[..., None], *args: Any) -> None:
        """Calls when a message sent now arrives."""
        self._clock.call_at(self.arrival(), call, *args)
