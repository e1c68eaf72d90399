"""Nodes out by hand, fleet-wide, in the daemon: an operator's call at one proxy becomes a register of the group, and
each proxy does as the registers say. It owns what of them this proxy has done. It must never say yes before a majority
holds it, never make an operator wait beyond a second, and never put back a node that a register still holds."""

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
from .replica import UNCHANGED, WRITTEN, Change, OperationResult

MAINTENANCE_TOPIC = 2  # of the fleet's link
CALL_US = 700_000  # for a majority
LOOK_S = 1.0  # between two reads of one register, once all have been read
FIRST_S = 0.1  # while no majority is there
TELL_AGAIN_S = (0.0, 0.15, 0.4)  # news goes out more than once: a datagram may be lost


class Group(Protocol):
    def propose(
        self, key: bytes, change: Change, until: int, done: Callable[[OperationResult], None], limit: int = 0
    ) -> None: ...

    def has_quorum(self) -> bool: ...

    def broadcast(self, topic: int, body: bytes) -> None:
        """To all who are there."""


class FleetMaintenance:
    """`do`: a call at this proxy alone, as the other process of an upgrade would have it done; its status. `mine`: the
    nodes that are out here, perhaps from an earlier life: the registers are right."""

    def __init__(
        self, group: Group, do: Callable[[dict[str, Any]], int], mine: Callable[[], Iterable[str]]
    ) -> None:
        self.group, self.do, self.mine = group, do, mine
        self.known: dict[int, NodesInMaintenance] = {}
        self.greenlet: Any = None

    def open(self) -> None:
        self.greenlet = gevent.spawn(self._look)

    def close(self) -> None:
        if self.greenlet:
            self.greenlet.kill()

    # ------------------------------------------------------------ an operator's call

    def set_for_fleet(self, ident: str, out: bool) -> str:
        """Waits for a majority, a second at the most. Why it was not done, or "": it binds all from now on."""
        number = register_number(ident)
        call = SetNodeMaintenance(ident, out, clock() // 1000)
        result = self._ask(number, call)
        if result.outcome == WRITTEN:
            self._heard(number, result.value)
            gevent.spawn(self._tell, number, result.value)
            return ""
        return call.error or "no majority of the voters is there; perhaps it will be done all the same"

    def _ask(self, number: int, change: Change) -> OperationResult:
        answer: AsyncResult[OperationResult] = AsyncResult()
        self.group.propose(register_key(number), change, 0, answer.set, CALL_US)
        found = answer.get()
        assert found
        return found

    def _tell(self, number: int, value: bytes) -> None:
        for wait in TELL_AGAIN_S:
            gevent.sleep(wait)
            self.group.broadcast(MAINTENANCE_TOPIC, bytes([number]) + value)

    # ------------------------------------------------------------ news

    def receive(self, now: int, sender: str, body: bytes) -> None:
        """What another proxy says stands there: decided, as it says so only of what was."""
        if body and body[0] < REGISTER_COUNT:
            self._heard(body[0], body[1:])

    def _heard(self, number: int, value: bytes) -> None:
        held, known = decode_value(value), self.known.get(number)
        if held is None or (known and held.version <= known.version):
            return
        known = known or NodesInMaintenance(
            started_at={ident: 0 for ident in self.mine() if register_number(ident) == number}
        )
        self.known[number] = held
        for ident in [x for x in known.started_at if x not in held.started_at]:
            self._done({"call": "ready", "ident": ident})
        for ident in [x for x in held.started_at if x not in known.started_at]:
            self._done({"call": "maint", "ident": ident})

    def _done(self, tree: dict[str, Any]) -> None:
        try:
            self.do(tree)
        except Exception as problem:
            log_event(
                "fault",
                f"nodes out by hand: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )

    def _look(self) -> None:
        """Reads one register after another, without end: all of them at once at the start, and whenever no majority was
        there for a while; else slowly, as a net below the news that was lost."""
        due, number = set(range(REGISTER_COUNT)), 0
        while True:
            if not self.group.has_quorum():
                due = set(range(REGISTER_COUNT))
                gevent.sleep(FIRST_S)
                continue
            number = min(due) if due else (number + 1) % REGISTER_COUNT
            result = self._ask(number, rewrite_unchanged)
            if result.outcome in (WRITTEN, UNCHANGED):
                self._heard(number, result.value)
                due.discard(number)
            gevent.sleep(0 if due else LOOK_S)
