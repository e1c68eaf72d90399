"""Starts, reconfigures and stops the replicated copies and the ledger as the settings require. Their modules are
imported only where the settings switch them on."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any

from ..drivers.clock import Timer, clock
from ..drivers.dispatcher import DispatcherDriver
from ..nodes.outcomes import execution_evidence
from ..settings.reader import ConfigError, ProxyConfig
from .peers import FleetLifecycle

if TYPE_CHECKING:
    from ..copies.driver import CopiesDriver
    from ..copies.fleet_maintenance import FleetMaintenance
    from ..core.jobs import Job


class CopiesLifecycle:
    """`serving`: this process accepts the proxy's connections, and so uses the folder of the copies."""

    def __init__(self, config: ProxyConfig, dispatcher: DispatcherDriver, peers: FleetLifecycle) -> None:
        self.config, self.dispatcher, self.peers = config, dispatcher, peers
        self.driver: CopiesDriver | None = None
        self.fleet_maintenance: FleetMaintenance | None = None
        self.nodes_out_locally: Collection[str] = ()
        # Applies an operator's call at this proxy alone.
        self.apply_locally: Callable[[dict[str, Any]], int] = lambda tree: 500
        self.serving = False

    @staticmethod
    def check(config: ProxyConfig) -> None:
        """Raises ConfigError where the operator's file contradicts the platform's."""
        memory_mb = config.operator.copies.memory_mb
        if memory_mb > config.memory_mb // 2:
            raise ConfigError(
                f"copies.most: takes {memory_mb} MB, more than half of the {config.memory_mb} MB there are"
            )
        for name in config.operator.ledger.classes:
            if name not in config.classes:
                raise ConfigError(f"ledger.classes: no such class: {name[:60]!r}")

    def apply_settings(self, config: ProxyConfig) -> None:
        """Applies the settings. Called after the fleet's settings were applied; does not reject settings."""
        old, self.config = self.config.operator, config
        unchanged = self.driver is not None and self.driver.fleet is self.peers.driver
        unchanged = unchanged and old.fleet.maintenance == config.operator.fleet.maintenance
        if not (unchanged and old.copies == config.operator.copies):
            self._close()
            self._open()
        self._configure_ledger()

    def _open(self) -> None:
        settings, fleet = self.config.operator.copies, self.peers.driver
        if not (self.serving and fleet and settings.voters):
            return
        from ..copies.driver import CopiesDriver

        self.driver = CopiesDriver(self.config.name, settings, fleet, self.config.seed)
        self.driver.open()
        if self.config.operator.fleet.maintenance == "fleet":
            from ..copies.fleet_maintenance import MAINTENANCE_TOPIC, FleetMaintenance

            self.fleet_maintenance = FleetMaintenance(
                self.driver, lambda tree: self.apply_locally(tree), lambda: list(self.nodes_out_locally)
            )
            fleet.peer.handlers[MAINTENANCE_TOPIC] = self.fleet_maintenance.receive
            self.fleet_maintenance.open()

    def _close(self) -> None:
        if self.fleet_maintenance:
            self.fleet_maintenance.close()
            self.fleet_maintenance = None
        if self.driver:
            self.driver.close()
            self.driver = None

    def _configure_ledger(self) -> None:
        settings = self.config.operator.ledger
        if not (self.driver and settings.classes):
            self.dispatcher.intent_store = None
            return
        from ..copies.idempotency_ledger import IdempotencyLedger

        current = self.dispatcher.intent_store
        if isinstance(current, IdempotencyLedger) and current.registers is self.driver:
            # The ledger tracks the running attempts; a new one could not record how they end.
            current.settings = settings
            return
        ledger = IdempotencyLedger(
            self.driver,
            self.dispatcher,
            settings,
            execution_evidence,
            self._class_and_tenant,
            self.config.seed,
        )
        ledger.schedule = lambda delay, callback: Timer(clock() + delay, callback)
        self.dispatcher.intent_store = ledger

    def _class_and_tenant(self, job: Job) -> tuple[str, str]:
        classes = {number: name for name, number in self.config.classes.items()}
        tenants = {number: name for name, number in self.config.accounts.items()}
        return classes.get(job.cls, ""), tenants.get(job.tenant, "")

    def serve(self) -> None:
        """This process serves for the proxy from now on."""
        self.serving = True
        if not self.driver:
            self._open()
            self._configure_ledger()

    def suspend(self) -> None:
        """Releases the folder: another process of this proxy takes it over."""
        self.serving = False
        self._close()
        self._configure_ledger()

    def stop(self) -> None:
        """Drains and closes the driver as the process ends."""
        if self.driver:
            self.driver.drain()
        self.suspend()

    def change_voters(self, kind: str, name: str, new: str) -> str | None:
        """Starts a change of voters. Returns "" where it has begun, else the reason; None: there is no group."""
        return self.driver.change_voters(kind, name, new) if self.driver else None

    def set_node_out(self, ident: str, out: bool) -> str | None:
        """Starts the maintenance of a node at all proxies (`out`), or ends it. Returns "" where this was done, else the
        reason; None where each proxy keeps its own list."""
        return self.fleet_maintenance.set_for_fleet(ident, out) if self.fleet_maintenance else None

    def status(self) -> dict[str, Any] | None:
        """The state for operators; None: there is no group."""
        if not self.driver:
            return None
        ledger: Any = self.dispatcher.intent_store
        return self.driver.status() | {"ledger": ledger.counts if ledger else {}}
