"""The fleet's place in the program: switched on and off, swapped with the settings, ended. It owns whether there is a
driver. It must never load one that is not wanted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..drivers.dispatcher import DispatcherDriver
from ..settings.operator import FleetConfig, InvalidSettingError
from ..settings.reader import ConfigError, ProxyConfig

if TYPE_CHECKING:
    from ..fleet.driver import FleetDriver

KEEPS = ("listen", "advertise", "name")  # what a driver cannot change while it lives


class Peers:
    """`serving`: this process has the door, and so speaks for the proxy."""

    def __init__(self, plant: ProxyConfig, desk: DispatcherDriver) -> None:
        self.config, self.dispatcher = plant, desk
        self.driver: FleetDriver | None = None
        self.serving = False

    def settle(self, plant: ProxyConfig) -> None:
        """As the settings now want it. ConfigError, and nothing changed, where that cannot be."""
        old, new = self.config.operator.fleet, plant.operator.fleet
        same = self.driver is not None and all(getattr(old, key) == getattr(new, key) for key in KEEPS)
        try:
            if same and self.driver:
                self.driver.rekey(new)
                self._share(new.share)
            else:
                made = self._made(plant, new)
                self._replace(made)
        except InvalidSettingError as problem:
            raise ConfigError(f"fleet.{problem.key}: {problem}") from None
        self.config = plant

    def _made(self, plant: ProxyConfig, terms: FleetConfig) -> FleetDriver | None:
        if not terms.listen:
            return None
        if len(plant.name) > 64:
            raise ConfigError("name: at most 64 characters in a fleet")
        from ..fleet.driver import FleetDriver

        return FleetDriver(plant.name, plant.settings.tier, terms, plant.seed)

    def _replace(self, made: FleetDriver | None) -> None:
        if self.driver:
            self.driver.close(leave=made is None)
        self.driver = made
        self._share(made is not None and made.settings.share)
        if self.serving and made:
            made.open()

    def _share(self, wanted: bool) -> None:
        """Whether our load is told, and that of all heard."""
        desk = self.dispatcher.dispatcher
        if not (wanted and self.driver):
            if self.driver:
                self.driver.peer.load_sharing = None
            desk.batch_observer = None
        elif self.driver.peer.load_sharing is None:
            desk.batch_observer = self.driver.start_load_sharing(
                lambda: desk.balancer, self.dispatcher.update_peers
            )

    def serve(self) -> None:
        """This process speaks for the proxy from now on."""
        self.serving = True
        if self.driver:
            self.driver.open()

    def rest(self) -> None:
        """Another process of this proxy takes the name up: no good-bye."""
        self.serving = False
        if self.driver:
            self.driver.close(leave=False)

    def leave(self) -> None:
        """The process ends."""
        if self.serving and self.driver:
            self.driver.close(leave=True)
        self.serving = False

    def status(self) -> dict[str, Any] | None:
        """None: not in a fleet."""
        return self.driver.status() if self.driver else None
