"""A proxy's node list: asks discovery for the nodes of its tier and keeps a watch on changes, as the program
does (`slatehub.discovery.node_list`), in the same times. It owns the revision held and the
number of each node id. It must never ask more often than the module wants, but to go on with a watch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from paddlestep.interface import Entry, ListKind, State
from slatehub.discovery.endpoint_numbers import EndpointNumbers
from slatehub.discovery.timing import WATCH_DEADLINE_US, WATCH_TIMEOUT_MS
from slatelab.plant.registry import RegistryEntry, RegistryResponse

from .suspension import Suspension, deferred_while_suspended
from .virtual_clock import ScheduledCall
from .world import EPOCH_UNIX_US, SimulationContext

if TYPE_CHECKING:
    from .proxy import Proxy

WAIT_US = WATCH_TIMEOUT_MS * 1000
PHASES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class Entries:
    """Rows of discovery as entries of the module. They are alike for all proxies, so each is made once."""

    def __init__(self, world: SimulationContext) -> None:
        self.numbers = EndpointNumbers({})
        self._world = world
        self._made: dict[tuple[str, str, int], Entry] = {}
        self._kinds = [{kind.name: i for i, kind in enumerate(tier.kind)} for tier in world.scenario.tiers]

    def of(self, row: RegistryEntry) -> Entry:
        key = row.node, row.phase, row.started_at_us
        if key not in self._made:
            spec = self._world.specs[row.node]
            # Discovery tells whole milliseconds of Unix time, and 0 for long ago.
            since = (EPOCH_UNIX_US + row.started_at_us) // 1000 * 1000 if row.started_at_us else 0
            kind = self._kinds[spec.tier][spec.kind.name]
            self._made[key] = Entry(self.numbers.number_of(row.node), PHASES[row.phase], since, kind=kind)
        return self._made[key]


class DiscoveryClient:
    """`ticket`: the call now out, 0: none."""

    def __init__(self, proxy: Proxy, entries: Entries) -> None:
        self.proxy, self.context, self.clock, self.entries = (
            proxy,
            proxy.context,
            proxy.context.clock,
            entries,
        )
        self.revision: int | None = None
        self.linked = False  # has a connection to discovery
        self.call_id = 0
        self._late: ScheduledCall | None = None

    @property
    def still(self) -> Suspension:
        return self.proxy.still

    def start(self, known: tuple[RegistryEntry, ...]) -> None:
        """The list as this proxy last had it, perhaps old."""
        self._take(known, ListKind.CACHED, 0)

    def watch(self, on: bool) -> None:
        if on and not self.call_id:
            self._ask()
        elif not on:
            self.close()

    def close(self) -> None:
        """Hangs up."""
        if self._late:
            self._late.cancel()
        if self.call_id:
            self.clock.call_at(
                self.clock.now + self.context.network.near(), self.context.discovery.forget, self.call_id
            )
        self.call_id, self.linked = 0, False

    # ------------------------------------------------------------ the watch

    def _ask(self) -> None:
        discovery, near = self.context.discovery, self.context.network.near
        self.call_id = discovery.new_call_id()
        written = self.clock.now + (0 if self.linked else near() + near())
        self.linked = True
        wait = 0 if self.revision is None else WAIT_US
        self.clock.call_at(written + near(), discovery.ask, self, self.revision, wait, self.call_id)
        self._late = self.clock.call_at(written + WATCH_DEADLINE_US, self._failed)

    @deferred_while_suspended
    def answered(self, answer: RegistryResponse) -> None:
        if answer.call_id != self.call_id or self.proxy.over:
            return
        if answer.status != 200:
            return self._failed()
        self._stop_waiting()
        self._take(answer.entries, ListKind.FULL if answer.complete else ListKind.DELTA, answer.revision)
        if not self.call_id:  # else the module has ended the watch and begun another
            self._ask()

    @deferred_while_suspended
    def broken(self, ticket: int) -> None:
        if ticket == self.call_id:
            self._failed()

    @deferred_while_suspended
    def _failed(self) -> None:
        if not self.proxy.over:
            self.close()
            self.proxy.update_nodes(ListKind.FAILED, 0, ())

    def _stop_waiting(self) -> None:
        self.call_id = 0
        if self._late:
            self._late.cancel()

    def _take(self, rows: tuple[RegistryEntry, ...], kind: ListKind, revision: int) -> None:
        for row in rows:
            if row.phase != "DELETED":
                self.proxy.node_pool.set_node(self.entries.numbers.number_of(row.node), row.host_port)
        self.revision = revision
        self.proxy.update_nodes(kind, revision, tuple(self.entries.of(row) for row in rows))
        for endpoint in self.proxy.dispatcher.unavailable_since:
            self.proxy.node_pool.close_node(endpoint)
