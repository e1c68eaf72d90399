"""Discovery as the proxies reach it: the Registry behind the simulated network. This module maps calls to their
callers and records calls and responses. The Registry decides what is answered, and when."""

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
    """Polls the node list of one tier for the lab itself, without a record. A proxy that starts is given this list as
    the one that it had last. The list stays unchanged while discovery is down."""

    def __init__(self, context: SimulationContext, tier: int) -> None:
        self.context, self.tier = context, tier
        self.rows: tuple[RegistryEntry, ...] = ()

    def poll(self) -> None:
        discovery, now = self.context.discovery, self.context.clock.now
        call_id = discovery.new_call_id()
        discovery.calls[call_id] = self
        discovery.registry.receive_call(now, "", self.tier, None, 0, call_id)
        discovery.advance()

    def answered(self, response: RegistryResponse) -> None:
        if response.status == 200:
            self.rows = response.entries

    def broken(self, call_id: int) -> None: ...


class Discovery:
    """`calls`: the callers that wait for a response, by call id."""

    def __init__(self, context: SimulationContext) -> None:
        self.context, self.clock = context, context.clock
        self.registry = Registry(context.scenario, self.clock.now)
        self.calls: dict[int, DiscoveryClient | UnrecordedPoller] = {}
        self.pollers = [UnrecordedPoller(context, tier) for tier in range(len(context.scenario.tiers))]
        self._call_ids = count(1)
        self._wake: ScheduledCall | None = None

    def set_node_state(self, spec: NodeSpec, address: str, phase: str, since: int) -> None:
        self.registry.set_node(self.clock.now, spec.id, phase, spec.tier, address, since)
        self._set_wake()

    def apply_fault(self, change: FaultEvent) -> None:
        now = self.clock.now
        if change.kind == "discovery-down":
            for call_id in self.registry.set_down(now, change.is_start):
                if client := self.calls.pop(call_id, None):
                    self.clock.call_at(now + self.context.network.internal_delay(), client.broken, call_id)
        else:
            tier = self.context.simulated_nodes[change.targets[0]].spec.tier
            self.registry.set_false_deletions(now, tier, change.targets if change.is_start else ())
        self._set_wake()

    def new_call_id(self) -> int:
        return next(self._call_ids)

    def receive_call(self, client: DiscoveryClient, since: int | None, wait_us: int, call_id: int) -> None:
        """A call has arrived."""
        spec = client.proxy.spec
        self.calls[call_id] = client
        self.context.add_record(Polled(self.clock.now, spec.name))
        self.registry.receive_call(self.clock.now, spec.name, spec.tier, since, wait_us, call_id)
        self.advance()

    def cancel_call(self, call_id: int) -> None:
        """The caller has closed its connection."""
        if self.calls.pop(call_id, None):
            self.registry.cancel_call(call_id)

    def advance(self) -> None:
        for response in self.registry.advance(self.clock.now):
            if client := self.calls.pop(response.call_id, None):
                self._answer(client, response)
        self._set_wake()

    def _answer(self, client: DiscoveryClient | UnrecordedPoller, response: RegistryResponse) -> None:
        now = self.clock.now
        for entry in response.entries if response.proxy else ():
            self.context.add_record(Told(now, response.proxy, entry.node, entry.phase, entry.started_at_us))
        self.clock.call_at(now + self.context.network.internal_delay(), client.answered, response)

    def _set_wake(self) -> None:
        due = self.registry.next_event_time()
        if self._wake:
            if self._wake.due == due:
                return
            self._wake.cancel()
        self._wake = None if due is None else self.clock.call_at(due, self._wake_up)

    def _wake_up(self) -> None:
        self._wake = None
        self.advance()
