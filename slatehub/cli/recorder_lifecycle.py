"""The flight recorder's place in the program: switched on and off, asked for a file, ended. It owns whether there is a
recorder. It must never load one that is not wanted."""

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
    """SHA-256 of the decision module's text. To be taken at the start: later the file may be another."""
    try:
        with open(str(balance.__file__), "rb") as file:
            return hashlib.sha256(file.read()).hexdigest()
    except OSError:
        return ""


class Flights:
    def __init__(self, desk: Dispatcher, idents: dict[int, str]) -> None:
        self.dispatcher = desk
        self.node_ids = idents
        self.module = module_sha256()
        self.terms = RecorderConfig()
        self.recorder: FlightRecorder | None = None

    def settle(self, plant: ProxyConfig) -> None:
        """As the settings now want it. ConfigError, and nothing changed, where it cannot be switched on."""
        terms = plant.operator.recorder
        if not terms.batches:
            self.recorder = None
        elif self.recorder is None or self.recorder.ring is None:
            self.recorder = self._made(plant, terms)
        if self.recorder:
            self.recorder.configure(self._about(plant), terms.batches, terms.folder, terms.keep)
        self.terms = terms
        self.dispatcher.recorder = self.recorder

    def _made(self, plant: ProxyConfig, terms: RecorderConfig) -> FlightRecorder:
        try:
            from ..observe.recorder import FlightRecorder

            return FlightRecorder(lambda: self.dispatcher.balancer, lambda: self.node_ids, terms.batches)
        except Exception as problem:  # installed and yet not to be loaded, or a module that cannot be frozen
            raise ConfigError(
                f"recorder.batches: cannot record: {type(problem).__name__}: {problem}"
            ) from None

    def _about(self, plant: ProxyConfig) -> tuple[str, int, str, str]:
        return plant.name, plant.settings.tier, __version__, self.module

    def asked(self) -> None:
        """SIGUSR2."""
        if self.recorder:
            self.recorder.write("asked")
        else:
            log_event("recorder", "is off, so there is nothing to write: see recorder.batches", "warning")

    def finish(self) -> None:
        if self.recorder:
            self.recorder.finish(self.terms.on_stop)
