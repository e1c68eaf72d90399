"""Network delays with jitter. Messages are never lost here; `OrderedChannel` keeps the messages of one connection in
order."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from slatelab.scenario import Scenario

from .virtual_clock import VirtualClock

LOOPBACK_US = 30  # one way between a node and its own proxy on the same machine


class Network:
    """One-way delays in microseconds, drawn uniformly between (1 - jitter) and (1 + jitter) times the scenario's
    delay."""

    def __init__(self, scenario: Scenario, rng: random.Random) -> None:
        net = scenario.network
        self._random = rng.random
        self._internal_least, self._client_least = (
            net.delay * (1 - net.jitter),
            net.client_delay * (1 - net.jitter),
        )
        self._internal_spread, self._client_spread = (
            2 * net.jitter * net.delay,
            2 * net.jitter * net.client_delay,
        )

    def internal_delay(self) -> int:
        """Between proxies, nodes and discovery."""
        return int(self._internal_least + self._internal_spread * self._random() + 0.5)

    def client_delay(self) -> int:
        """Between outside clients and proxies."""
        return int(self._client_least + self._client_spread * self._random() + 0.5)


class OrderedChannel:
    """One direction of one connection. Like TCP it keeps the order of messages, whatever the jitter."""

    __slots__ = ("_clock", "_delay", "last")

    def __init__(self, clock: VirtualClock, delay: Callable[[], int]) -> None:
        self._clock, self._delay, self.last = clock, delay, 0

    def arrival(self) -> int:
        """The time at which a message sent now arrives."""
        due = self._clock.now + self._delay()
        if due > self.last:
            self.last = due
        return self.last

    def send(self, call: Callable[..., None], *args: Any) -> None:
        """Makes the call at the time at which a message sent now arrives."""
        self._clock.call_at(self.arrival(), call, *args)
