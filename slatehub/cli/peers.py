"""Starts, reconfigures and stops the fleet driver as the settings require. The driver's module is imported only where
the settings switch the fleet on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..drivers.dispatcher import DispatcherDriver
from ..settings.operator import FleetConfig, InvalidSettingError
from ..settings.reader import ConfigError, ProxyConfig

if TYPE_CHECKING:
    from ..fleet.driver import FleetDriver

FIXED_KEYS = ("listen", "advertise", "name")  # a driver is replaced when one of these keys changes


class FleetLifecycle:
    """`serving`: this process accepts the proxy's connections, and so represents it in the fleet."""

    def __init__(self, config: ProxyConfig, dispatcher: DispatcherDriver) -> None:
        self.config, self.dispatcher = config, dispatcher
        self.driver: FleetDriver | None = None
        self.serving = False

    def apply_settings(self, config: ProxyConfig) -> None:
        """Applies the settings. Raises ConfigError, with nothing changed, where they cannot be applied."""
        old, new = self.config.operator.fleet, config.operator.fleet
        unchanged = self.driver is not None and all(
            getattr(old, key) == getattr(new, key) for key in FIXED_KEYS
        )
        try:
            if unchanged and self.driver:
                self.driver.rekey(new)
                self._configure_load_sharing(new.share)
            else:
                driver = self._create_driver(config, new)
                self._replace(driver)
        except InvalidSettingError as problem:
            raise ConfigError(f"fleet.{problem.key}: {problem}") from None
        self.config = config

    def _create_driver(self, config: ProxyConfig, settings: FleetConfig) -> FleetDriver | None:
        if not settings.listen:
            return None
        if len(config.name) > 64:
            raise ConfigError("name: at most 64 characters in a fleet")
        from ..fleet.driver import FleetDriver

        return FleetDriver(config.name, config.settings.tier, settings, config.seed)

    def _replace(self, driver: FleetDriver | None) -> None:
        if self.driver:
            self.driver.close(leave=driver is None)
        self.driver = driver
        self._configure_load_sharing(driver is not None and driver.settings.share)
        if self.serving and driver:
            driver.open()

    def _configure_load_sharing(self, enabled: bool) -> None:
        """Starts or stops sending this proxy's load and receiving that of the other proxies."""
        dispatcher = self.dispatcher.dispatcher
        if not (enabled and self.driver):
            if self.driver:
                self.driver.peer.load_sharing = None
            dispatcher.batch_observer = None
        elif self.driver.peer.load_sharing is None:
            dispatcher.batch_observer = self.driver.start_load_sharing(
                lambda: dispatcher.balancer, self.dispatcher.update_peers
            )

    def serve(self) -> None:
        """This process represents the proxy in the fleet from now on."""
        self.serving = True
        if self.driver:
            self.driver.open()

    def suspend(self) -> None:
        """Closes the socket without announcing a departure: another process of this proxy takes over its name."""
        self.serving = False
        if self.driver:
            self.driver.close(leave=False)

    def stop(self) -> None:
        """Leaves the fleet as the process ends."""
        if self.serving and self.driver:
            self.driver.close(leave=True)
        self.serving = False

    def status(self) -> dict[str, Any] | None:
        """The state for operators; None: not in a fleet."""
        return self.driver.status() if self.driver else None
