"""A proxy's discovery client: fetches the nodes of the proxy's tier and watches for changes, as
`slatehub.discovery.node_list` does, with the same timeouts. It keeps the current revision and the number of each node
id. Apart from continuing a watch, it calls discovery only when the decision module wants it."""

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

WATCH_TIMEOUT_US = WATCH_TIMEOUT_MS * 1000
PHASES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class Entries:
    """Converts discovery rows to entries of the decision module. All proxies share them, so each is made once."""

    def __init__(self, context: SimulationContext) -> None:
        self.numbers = EndpointNumbers({})
        self._context = context
        self._entries: dict[tuple[str, str, int], Entry] = {}
        self._kinds = [{kind.name: i for i, kind in enumerate(tier.kind)} for tier in context.scenario.tiers]

    def entry_for(self, row: RegistryEntry) -> Entry:
        key = row.node, row.phase, row.started_at_us
        if key not in self._entries:
            spec = self._context.specs[row.node]
            # Discovery gives whole milliseconds of Unix time, and 0 for nodes that started long ago.
            since = (EPOCH_UNIX_US + row.started_at_us) // 1000 * 1000 if row.started_at_us else 0
            kind = self._kinds[spec.tier][spec.kind.name]
            self._entries[key] = Entry(self.numbers.number_of(row.node), PHASES[row.phase], since, kind=kind)
        return self._entries[key]


class DiscoveryClient:
    """`call_id`: the open call, 0 if there is none."""

    def __init__(self, proxy: Proxy, entries: Entries) -> None:
        self.proxy, self.context, self.clock, self.entries = (
            proxy,
            proxy.context,
            proxy.context.clock,
            entries,
        )
        self.revision: int | None = None
        self.connected = False  # whether a connection to discovery is open
        self.call_id = 0
        self._deadline_timer: ScheduledCall | None = None

    @property
    def suspension(self) -> Suspension:
        return self.proxy.suspension

    def start(self, cached_rows: tuple[RegistryEntry, ...]) -> None:
        """Loads the node list that this proxy had last, which may be outdated."""
        self._apply(cached_rows, ListKind.CACHED, 0)

    def watch(self, on: bool) -> None:
        if on and not self.call_id:
            self._send_call()
        elif not on:
            self.close()

    def close(self) -> None:
        """Cancels the open call and closes the connection."""
        if self._deadline_timer:
            self._deadline_timer.cancel()
        if self.call_id:
            self.clock.call_at(
                self.clock.now + self.context.network.internal_delay(),
                self.context.discovery.cancel_call,
                self.call_id,
            )
        self.call_id, self.connected = 0, False

    # ------------------------------------------------------------ the watch

    def _send_call(self) -> None:
        discovery, internal_delay = self.context.discovery, self.context.network.internal_delay
        self.call_id = discovery.new_call_id()
        sent_at = self.clock.now + (0 if self.connected else internal_delay() + internal_delay())
        self.connected = True
        wait = 0 if self.revision is None else WATCH_TIMEOUT_US
        self.clock.call_at(
            sent_at + internal_delay(), discovery.receive_call, self, self.revision, wait, self.call_id
        )
        self._deadline_timer = self.clock.call_at(sent_at + WATCH_DEADLINE_US, self._failed)

    @deferred_while_suspended
    def answered(self, response: RegistryResponse) -> None:
        if response.call_id != self.call_id or self.proxy.has_ended:
            return
        if response.status != 200:
            return self._failed()
        self._stop_waiting()
        self._apply(
            response.entries, ListKind.FULL if response.complete else ListKind.DELTA, response.revision
        )
        if not self.call_id:  # otherwise the module has already ended this watch and begun another
            self._send_call()

    @deferred_while_suspended
    def broken(self, call_id: int) -> None:
        if call_id == self.call_id:
            self._failed()

    @deferred_while_suspended
    def _failed(self) -> None:
        if not self.proxy.has_ended:
            self.close()
            self.proxy.update_nodes(ListKind.FAILED, 0, ())

    def _stop_waiting(self) -> None:
        self.call_id = 0
        if self._deadline_timer:
            self._deadline_timer.cancel()

    def _apply(self, rows: tuple[RegistryEntry, ...], kind: ListKind, revision: int) -> None:
        for row in rows:
            if row.phase != "DELETED":
                self.proxy.node_pool.set_node(self.entries.numbers.number_of(row.node), row.host_port)
        self.revision = revision
        self.proxy.update_nodes(kind, revision, tuple(self.entries.entry_for(row) for row in rows))
        for endpoint in self.proxy.dispatcher.unavailable_since:
            self.proxy.node_pool.close_node(endpoint)
