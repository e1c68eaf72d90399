"""Discovery as the proxies reach it: the Registry with the network before it. It owns which call is whose,
and the facts of what was asked and told; what is told, and when, is the Registry's."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from slatelab.plant.faults import FaultEvent
from slatelab.plant.fleet import NodeSpec
from slatelab.plant.registry import Registry, RegistryEntry, RegistryResponse
from slatelab.records import Polled, Told

from .virtual_clock import ScheduledCall
from .world import SimulationContext

if TYPE_CHECKING:
    from .discovery_client import DiscoveryClient


class UnrecordedPoller:
    """The lab's own look at the list of one tier, which is no fact: what a proxy that starts is given as the
    list it last had. While discovery is down that stays as it was."""

    def __init__(self, world: SimulationContext, tier: int) -> None:
        self.context, self.tier = world, tier
        self.rows: tuple[RegistryEntry, ...] = ()

    def ask(self) -> None:
        discovery, now = self.context.discovery, self.context.clock.now
        ticket = discovery.new_call_id()
        discovery.calls[ticket] = self
        discovery.registry.receive_call(now, "", self.tier, None, 0, ticket)
        discovery.turn()

    def answered(self, answer: RegistryResponse) -> None:
        if answer.status == 200:
            self.rows = answer.entries

    def broken(self, ticket: int) -> None: ...


class Discovery:
    """`calls`: who waits for what, by ticket."""

    def __init__(self, world: SimulationContext) -> None:
        self.context, self.clock = world, world.clock
        self.registry = Registry(world.scenario, self.clock.now)
        self.calls: dict[int, DiscoveryClient | UnrecordedPoller] = {}
        self.asides = [UnrecordedPoller(world, tier) for tier in range(len(world.scenario.tiers))]
        self._tickets = count(1)
        self._wake: ScheduledCall | None = None

    def set(self, spec: NodeSpec, address: str, phase: str, since: int) -> None:
        self.registry.set_node(self.clock.now, spec.id, phase, spec.tier, address, since)
        self._set_wake()

    def change(self, change: FaultEvent) -> None:
        now = self.clock.now
        if change.kind == "discovery-down":
            for ticket in self.registry.set_down(now, change.is_start):
                if caller := self.calls.pop(ticket, None):
                    self.clock.call_at(now + self.context.network.near(), caller.broken, ticket)
        else:
            tier = self.context.simulated_nodes[change.targets[0]].spec.tier
            self.registry.set_false_deletions(now, tier, change.targets if change.is_start else ())
        self._set_wake()

    def new_call_id(self) -> int:
        return next(self._tickets)

    def ask(self, listing: DiscoveryClient, since: int | None, wait_us: int, ticket: int) -> None:
        """A call has come."""
        spec = listing.proxy.spec
        self.calls[ticket] = listing
        self.context.say(Polled(self.clock.now, spec.name))
        self.registry.receive_call(self.clock.now, spec.name, spec.tier, since, wait_us, ticket)
        self.turn()

    def forget(self, ticket: int) -> None:
        """Its caller has hung up."""
        if self.calls.pop(ticket, None):
            self.registry.cancel_call(ticket)

    def turn(self) -> None:
        for answer in self.registry.advance(self.clock.now):
            if caller := self.calls.pop(answer.call_id, None):
                self._answer(caller, answer)
        self._set_wake()

    def _answer(self, caller: DiscoveryClient | UnrecordedPoller, answer: RegistryResponse) -> None:
        now = self.clock.now
        for shown in answer.entries if answer.proxy else ():
            self.context.say(Told(now, answer.proxy, shown.node, shown.phase, shown.started_at_us))
        self.clock.call_at(now + self.context.network.near(), caller.answered, answer)

    def _set_wake(self) -> None:
        due = self.registry.next_event_time()
        if self._wake:
            if self._wake.due == due:
                return
            self._wake.cancel()
        self._wake = None if due is None else self.clock.call_at(due, self._fire)

    def _fire(self) -> None:
        self._wake = None
        self.turn()
