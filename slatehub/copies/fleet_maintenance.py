"""Fleet-wide maintenance of nodes in the daemon: an operator's call at one proxy is written to a replicated register,
and each proxy applies the registers. This module keeps what this proxy has applied. A call succeeds only after a quorum
holds it, an operator waits at most a second, and a node listed in a register is never put back into service."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, Protocol

import gevent
from gevent.event import AsyncResult

from ..decisions.maintenance_registers import (
    REGISTER_COUNT,
    NodesInMaintenance,
    SetNodeMaintenance,
    decode_value,
    register_key,
    register_number,
    rewrite_unchanged,
)
from ..drivers.clock import clock
from ..observe.log import error_location, log_event
from .replica import UNCHANGED, WRITTEN, ChangeFunction, OperationResult

MAINTENANCE_TOPIC = 2  # topic number on the fleet link
PROPOSE_TIMEOUT_US = 700_000  # for an operation on a register
POLL_INTERVAL_S = 1.0  # between two reads, once all registers have been read
NO_QUORUM_RETRY_S = 0.1  # before the next attempt while no quorum is reachable
BROADCAST_DELAYS_S = (0.0, 0.15, 0.4)  # before each repetition of an announcement: a datagram may be lost


class Registers(Protocol):
    """The replicated registers, and the link to the other members."""

    def propose(
        self,
        key: bytes,
        change: ChangeFunction,
        expires_at_s: int,
        done: Callable[[OperationResult], None],
        limit_us: int = 0,
    ) -> None: ...

    def has_quorum(self) -> bool: ...

    def broadcast(self, topic: int, body: bytes) -> None:
        """Sends the payload to all reachable members."""


class FleetMaintenance:
    """`apply_call`: carries out a management call at this proxy alone, as for a handover between processes, and returns
    its status. `local_nodes`: the nodes in maintenance at this proxy, possibly since before a restart; where they
    differ, the registers are right."""

    def __init__(
        self,
        registers: Registers,
        apply_call: Callable[[dict[str, Any]], int],
        local_nodes: Callable[[], Iterable[str]],
    ) -> None:
        self.registers, self.apply_call, self.local_nodes = registers, apply_call, local_nodes
        self.applied: dict[int, NodesInMaintenance] = {}
        self.greenlet: Any = None

    def open(self) -> None:
        """Starts reading the registers."""
        self.greenlet = gevent.spawn(self._poll)

    def close(self) -> None:
        """Stops reading the registers."""
        if self.greenlet:
            self.greenlet.kill()

    # ------------------------------------------------------------ an operator's call

    def set_for_fleet(self, ident: str, out: bool) -> str:
        """Waits for a quorum, at most a second. Returns the reason for a failure, or "": the call applies to all
        proxies from now on."""
        number = register_number(ident)
        call = SetNodeMaintenance(ident, out, clock() // 1000)
        result = self._propose(number, call)
        if result.outcome == WRITTEN:
            self._update(number, result.value)
            gevent.spawn(self._announce, number, result.value)
            return ""
        return call.error or "no majority of the voters is there; perhaps it will be done all the same"

    def _propose(self, number: int, change: ChangeFunction) -> OperationResult:
        pending_result: AsyncResult[OperationResult] = AsyncResult()
        self.registers.propose(register_key(number), change, 0, pending_result.set, PROPOSE_TIMEOUT_US)
        result = pending_result.get()
        assert result
        return result

    def _announce(self, number: int, value: bytes) -> None:
        for delay in BROADCAST_DELAYS_S:
            gevent.sleep(delay)
            self.registers.broadcast(MAINTENANCE_TOPIC, bytes([number]) + value)

    # ------------------------------------------------------------ updates

    def receive(self, now: int, sender: str, body: bytes) -> None:
        """Handles the announcement of a register value by another proxy, which announces only decided values."""
        if body and body[0] < REGISTER_COUNT:
            self._update(body[0], body[1:])

    def _update(self, number: int, value: bytes) -> None:
        register, applied = decode_value(value), self.applied.get(number)
        if register is None or (applied and register.version <= applied.version):
            return
        applied = applied or NodesInMaintenance(
            started_at={ident: 0 for ident in self.local_nodes() if register_number(ident) == number}
        )
        self.applied[number] = register
        for ident in [x for x in applied.started_at if x not in register.started_at]:
            self._apply({"call": "ready", "ident": ident})
        for ident in [x for x in register.started_at if x not in applied.started_at]:
            self._apply({"call": "maint", "ident": ident})

    def _apply(self, call: dict[str, Any]) -> None:
        try:
            self.apply_call(call)
        except Exception as error:
            log_event(
                "fault",
                f"fleet-wide maintenance: {type(error).__name__}: {error}",
                "error",
                where=error_location(error),
            )

    def _poll(self) -> None:
        """Greenlet that reads one register after another: all of them without a pause at the start and after a loss of
        the quorum, otherwise slowly, to pick up updates whose announcements were lost."""
        unread, number = set(range(REGISTER_COUNT)), 0
        while True:
            if not self.registers.has_quorum():
                unread = set(range(REGISTER_COUNT))
                gevent.sleep(NO_QUORUM_RETRY_S)
                continue
            number = min(unread) if unread else (number + 1) % REGISTER_COUNT
            result = self._propose(number, rewrite_unchanged)
            if result.outcome in (WRITTEN, UNCHANGED):
                self._update(number, result.value)
                unread.discard(number)
            gevent.sleep(0 if unread else POLL_INTERVAL_S)
