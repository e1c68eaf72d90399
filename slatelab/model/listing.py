"""A proxy's node list: asks discovery for the nodes of its tier and keeps a watch on changes, as the program
does (`slatehub.discovery.node_list`), in the same times. It owns the revision held and the
number of each node id. It must never ask more often than the module wants, but to go on with a watch."""

from __future__ import annotations

from typing import TYPE_CHECKING

from paddlestep.interface import Entry, ListKind, State
from slatehub.discovery.numbers import Numbers
from slatehub.discovery.terms import SILENT_US, WAIT_MS
from slatelab.plant.registry import Answer, Shown

from .day import Wake
from .still import Still, alive
from .world import EPOCH, World

if TYPE_CHECKING:
    from .proxy import Proxy

WAIT_US = WAIT_MS * 1000
PHASES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class Entries:
    """Rows of discovery as entries of the module. They are alike for all proxies, so each is made once."""

    def __init__(self, world: World) -> None:
        self.numbers = Numbers({})
        self._world = world
        self._made: dict[tuple[str, str, int], Entry] = {}
        self._kinds = [{kind.name: i for i, kind in enumerate(tier.kind)} for tier in world.scenario.tiers]

    def of(self, row: Shown) -> Entry:
        key = row.node, row.phase, row.since_us
        if key not in self._made:
            spec = self._world.specs[row.node]
            # Discovery tells whole milliseconds of Unix time, and 0 for long ago.
            since = (EPOCH + row.since_us) // 1000 * 1000 if row.since_us else 0
            kind = self._kinds[spec.tier][spec.kind.name]
            self._made[key] = Entry(self.numbers.of(row.node), PHASES[row.phase], since, kind=kind)
        return self._made[key]


class Listing:
    """`ticket`: the call now out, 0: none."""

    def __init__(self, proxy: Proxy, entries: Entries) -> None:
        self.proxy, self.world, self.day, self.entries = proxy, proxy.world, proxy.world.day, entries
        self.revision: int | None = None
        self.linked = False  # has a connection to discovery
        self.ticket = 0
        self._late: Wake | None = None

    @property
    def still(self) -> Still:
        return self.proxy.still

    def start(self, known: tuple[Shown, ...]) -> None:
        """The list as this proxy last had it, perhaps old."""
        self._take(known, ListKind.CACHED, 0)

    def watch(self, on: bool) -> None:
        if on and not self.ticket:
            self._ask()
        elif not on:
            self.close()

    def close(self) -> None:
        """Hangs up."""
        if self._late:
            self._late.off()
        if self.ticket:
            self.day.at(self.day.now + self.world.network.near(), self.world.discovery.forget, self.ticket)
        self.ticket, self.linked = 0, False

    # ------------------------------------------------------------ the watch

    def _ask(self) -> None:
        discovery, near = self.world.discovery, self.world.network.near
        self.ticket = discovery.ticket()
        written = self.day.now + (0 if self.linked else near() + near())
        self.linked = True
        wait = 0 if self.revision is None else WAIT_US
        self.day.at(written + near(), discovery.ask, self, self.revision, wait, self.ticket)
        self._late = self.day.at(written + SILENT_US, self._failed)

    @alive
    def answered(self, answer: Answer) -> None:
        if answer.ticket != self.ticket or self.proxy.over:
            return
        if answer.status != 200:
            return self._failed()
        self._stop_waiting()
        self._take(answer.entries, ListKind.FULL if answer.complete else ListKind.DELTA, answer.revision)
        if not self.ticket:  # else the module has ended the watch and begun another
            self._ask()

    @alive
    def broken(self, ticket: int) -> None:
        if ticket == self.ticket:
            self._failed()

    @alive
    def _failed(self) -> None:
        if not self.proxy.over:
            self.close()
            self.proxy.listed(ListKind.FAILED, 0, ())

    def _stop_waiting(self) -> None:
        self.ticket = 0
        if self._late:
            self._late.off()

    def _take(self, rows: tuple[Shown, ...], kind: ListKind, revision: int) -> None:
        for row in rows:
            if row.phase != "DELETED":
                self.proxy.floor.place(self.entries.numbers.of(row.node), row.host_port)
        self.revision = revision
        self.proxy.listed(kind, revision, tuple(self.entries.of(row) for row in rows))
        for endpoint in self.proxy.desk.left:
            self.proxy.floor.forget(endpoint)
