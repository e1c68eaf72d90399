"""The copies' and the ledger's place in the program: switched on and off, swapped with the settings, ended. It owns
whether there is a driver. It must never load one that is not wanted."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from ..drivers.clock import Timer, clock
from ..drivers.dispatcher import DispatcherDriver
from ..nodes.outcomes import execution_evidence
from ..settings.reader import ConfigError, ProxyConfig
from .peers import Peers

if TYPE_CHECKING:
    from ..copies.driver import CopiesDriver
    from ..copies.fleet_maintenance import FleetMaintenance
    from ..core.jobs import Job


class Promises:
    """`serving`: this process has the door, and so the folder."""

    def __init__(self, plant: ProxyConfig, desk: DispatcherDriver, peers: Peers) -> None:
        self.config, self.dispatcher, self.peers = plant, desk, peers
        self.driver: CopiesDriver | None = None
        self.fleet_maintenance: FleetMaintenance | None = None
        self.out_here: Collection[str] = ()
        self.do: Callable[[dict[str, Any]], int] = lambda tree: 500  # a call at this proxy alone
        self.serving = False

    @staticmethod
    def check(plant: ProxyConfig) -> None:
        """ConfigError where the operator's file and the platform's do not go together."""
        takes = plant.operator.copies.memory_mb
        if takes > plant.memory_mb // 2:
            raise ConfigError(
                f"copies.most: takes {takes} MB, more than half of the {plant.memory_mb} MB there are"
            )
        for name in plant.operator.ledger.classes:
            if name not in plant.classes:
                raise ConfigError(f"ledger.classes: no such class: {name[:60]!r}")

    def settle(self, plant: ProxyConfig) -> None:
        """As the settings now want it, after the peers have been settled. It finds nothing wrong any more."""
        old, self.config = self.config.operator, plant
        same = self.driver is not None and self.driver.fleet is self.peers.driver
        same = same and old.fleet.maintenance == plant.operator.fleet.maintenance
        if not (same and old.copies == plant.operator.copies):
            self._close()
            self._open()
        self._keeper()

    def _open(self) -> None:
        terms, link = self.config.operator.copies, self.peers.driver
        if not (self.serving and link and terms.voters):
            return
        from ..copies.driver import CopiesDriver

        self.driver = CopiesDriver(self.config.name, terms, link, self.config.seed)
        self.driver.open()
        if self.config.operator.fleet.maintenance == "fleet":
            from ..copies.fleet_maintenance import MAINTENANCE_TOPIC, FleetMaintenance

            self.fleet_maintenance = FleetMaintenance(
                self.driver, lambda tree: self.do(tree), lambda: list(self.out_here)
            )
            link.peer.handlers[MAINTENANCE_TOPIC] = self.fleet_maintenance.receive
            self.fleet_maintenance.open()

    def _close(self) -> None:
        if self.fleet_maintenance:
            self.fleet_maintenance.close()
            self.fleet_maintenance = None
        if self.driver:
            self.driver.close()
            self.driver = None

    def _keeper(self) -> None:
        terms = self.config.operator.ledger
        if not (self.driver and terms.classes):
            self.dispatcher.intent_store = None
            return
        from ..copies.idempotency_ledger import IdempotencyLedger

        held = self.dispatcher.intent_store
        if isinstance(held, IdempotencyLedger) and held.registers is self.driver:
            held.settings = (
                terms  # it knows whose attempts are out: another one could not write down how they end
            )
            return
        keeper = IdempotencyLedger(
            self.driver, self.dispatcher, terms, execution_evidence, self._names, self.config.seed
        )
        keeper.schedule = lambda span, ring: Timer(clock() + span, ring)
        self.dispatcher.intent_store = keeper

    def _names(self, job: Job) -> tuple[str, str]:
        classes = {number: name for name, number in self.config.classes.items()}
        tenants = {number: name for name, number in self.config.accounts.items()}
        return classes.get(job.cls, ""), tenants.get(job.tenant, "")

    def serve(self) -> None:
        """This process speaks for the proxy from now on."""
        self.serving = True
        if not self.driver:
            self._open()
            self._keeper()

    def rest(self) -> None:
        """Another process of this proxy takes the folder."""
        self.serving = False
        self._close()
        self._keeper()

    def leave(self) -> None:
        """The process ends."""
        if self.driver:
            self.driver.drain()
        self.rest()

    def change(self, what: str, name: str, new: str) -> str | None:
        """An operator's wish who is to vote. "": it has begun; None: there is no group."""
        return self.driver.change_voters(what, name, new) if self.driver else None

    def node(self, ident: str, out: bool) -> str | None:
        """An operator's call about a node, for all proxies: why it was not done, "": it was. None: each has its own."""
        return self.fleet_maintenance.set_for_fleet(ident, out) if self.fleet_maintenance else None

    def status(self) -> dict[str, Any] | None:
        """None: there is no group."""
        if not self.driver:
            return None
        keeper: Any = self.dispatcher.intent_store
        return self.driver.status() | {"ledger": keeper.counts if keeper else {}}
