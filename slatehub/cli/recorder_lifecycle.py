"""Starts, reconfigures and stops the flight recorder as the settings require, and writes a file on request. The
recorder's module is imported only where the settings switch it on."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from paddlestep import balance

from .. import __version__
from ..core.dispatcher import Dispatcher
from ..observe.log import log_event
from ..settings.operator import RecorderConfig
from ..settings.reader import ConfigError, ProxyConfig

if TYPE_CHECKING:
    from ..observe.recorder import FlightRecorder


def module_sha256() -> str:
    """SHA-256 of the decision module's source text, "" where it cannot be read. Call it at the start: later the
    file may have been replaced."""
    try:
        with open(str(balance.__file__), "rb") as file:
            return hashlib.sha256(file.read()).hexdigest()
    except OSError:
        return ""


class RecorderLifecycle:
    """Holds the flight recorder while it is switched on."""

    def __init__(self, dispatcher: Dispatcher, node_ids: dict[int, str]) -> None:
        self.dispatcher = dispatcher
        self.node_ids = node_ids
        self.module_sha256 = module_sha256()
        self.settings = RecorderConfig()
        self.recorder: FlightRecorder | None = None

    def apply_settings(self, config: ProxyConfig) -> None:
        """Applies the settings. Raises ConfigError, with nothing changed, where the recorder cannot be switched on."""
        settings = config.operator.recorder
        if not settings.batches:
            self.recorder = None
        elif self.recorder is None or self.recorder.ring is None:
            self.recorder = self._create_recorder(config, settings)
        if self.recorder:
            self.recorder.configure(self._about(config), settings.batches, settings.folder, settings.keep)
        self.settings = settings
        self.dispatcher.recorder = self.recorder

    def _create_recorder(self, config: ProxyConfig, settings: RecorderConfig) -> FlightRecorder:
        try:
            from ..observe.recorder import FlightRecorder

            return FlightRecorder(lambda: self.dispatcher.balancer, lambda: self.node_ids, settings.batches)
        except Exception as problem:
            # msgspec is installed but fails to import, or the module's state cannot be serialized.
            raise ConfigError(
                f"recorder.batches: cannot record: {type(problem).__name__}: {problem}"
            ) from None

    def _about(self, config: ProxyConfig) -> tuple[str, int, str, str]:
        return config.name, config.settings.tier, __version__, self.module_sha256

    def write_requested(self) -> None:
        """Writes a recording; called on SIGUSR2."""
        if self.recorder:
            self.recorder.write("asked")
        else:
            log_event("recorder", "is off, so there is nothing to write: see recorder.batches", "warning")

    def finish(self) -> None:
        """Ends the recording as the process ends."""
        if self.recorder:
            self.recorder.finish(self.settings.on_stop)
