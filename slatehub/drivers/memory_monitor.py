"""Measures the memory of this process, at intervals and whenever much more is counted, and has the count of requests
and answers follow it (`decisions/memory_pressure.py`). It closes no connection and refuses no request."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from ..core.memory import MemoryBudget
from ..decisions.memory_pressure import MemoryPressure, MemoryReading
from ..observe.log import log_event
from .clock import clock
from .process_memory import ProcessMemory

MEASUREMENT_INTERVAL_S = 0.1
MEASUREMENTS_PER_MARGIN = 2  # so often at least while what is counted grows by the margin
LOGGED_PARTS = 8  # a line tells each time the memory passes another part in so many of the limit
FIRST_LOGGED_PART = 4


class MemoryMonitor:
    """`process_limit`: bytes that this process may take. `unreceived_bytes`: bytes that are counted for bodies that
    have not been received yet. `connection_count` is for the log."""

    def __init__(
        self,
        memory: MemoryBudget,
        process_limit: Callable[[], int],
        unreceived_bytes: Callable[[], int],
        connection_count: Callable[[], int],
        process_memory: ProcessMemory | None = None,
    ) -> None:
        self.memory = memory
        self.process_limit = process_limit
        self.unreceived_bytes = unreceived_bytes
        self.connection_count = connection_count
        self.process_memory = process_memory or ProcessMemory()
        self.pressure = MemoryPressure(process_limit(), memory.whole_limit)
        self.highest = 0  # private memory, bytes
        self.logged_part = 0

    def start(self) -> None:
        """Measures from now on."""
        self.memory.on_growth = self.measure
        self.measure()
        gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            gevent.sleep(MEASUREMENT_INTERVAL_S)
            self.measure()

    def measure(self) -> None:
        """Measures once, and gives free memory back to the system if that is due."""
        pressure = self.pressure
        pressure.set_limits(self.process_limit(), self.memory.whole_limit)
        reading = self._read()
        if pressure.release_due(clock(), reading):
            reading = self._release(reading)
        had_excess, was_critical = self.memory.excess > 0, self.memory.critical
        self.memory.set_excess(pressure.excess(reading))
        self.memory.critical = pressure.is_critical(reading.private)
        self.memory.next_measurement = self.memory.held + pressure.margin // MEASUREMENTS_PER_MARGIN
        self._log_changes(reading, had_excess, was_critical)

    def _read(self) -> MemoryReading:
        private = self.process_memory.private_bytes()
        self.memory.private = private
        self.highest = max(self.highest, private)
        # Looking at all connections takes a while, and is not needed where even all of it would fit.
        unreceived = self.unreceived_bytes() if self.pressure.is_near(private) else 0
        return MemoryReading(private, self.memory.counted, unreceived)

    def _release(self, before: MemoryReading) -> MemoryReading:
        self.process_memory.release_free()
        after = self._read()
        released = before.private - after.private
        self.pressure.released(clock(), released)
        log_event("pressure", f"gave {released} free bytes back to the system", **self._fields(after))
        return after

    def _log_changes(self, reading: MemoryReading, had_excess: bool, was_critical: bool) -> None:
        part = reading.private * LOGGED_PARTS // self.pressure.limit
        if part > max(self.logged_part, FIRST_LOGGED_PART - 1):
            log_event(
                "pressure",
                f"private memory has passed {part}/{LOGGED_PARTS} of the limit",
                **self._fields(reading),
            )
            self.logged_part = part
        elif part < self.logged_part - 1:
            self.logged_part = part  # a part is told again only after the memory has been well below it
        if had_excess != (self.memory.excess > 0):
            change = "ends" if had_excess else "begins: requests get less memory"
            log_event("pressure", f"memory pressure {change}", "warning", **self._fields(reading))
        if was_critical != self.memory.critical:
            is_critical = self.memory.critical
            text = (
                "new connections wait: memory is full"
                if is_critical
                else "new connections are accepted again"
            )
            log_event("pressure", text, "warning", **self._fields(reading))

    def _fields(self, reading: MemoryReading) -> dict[str, Any]:
        return {
            "private_bytes": reading.private,
            "limit_bytes": self.pressure.limit,
            "counted_bytes": reading.counted,
            "unreceived_bytes": reading.unreceived,
            "excess_bytes": self.memory.excess,
            "connections": self.connection_count(),
        }
