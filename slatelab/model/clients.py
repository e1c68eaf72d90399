"""The outside clients: sends each order at its time, whatever became of those before, and each further try as
its client would. It owns tries and what callers see of them. It must never wait for one try before it sends
another: latency counts from the intended time (open loop)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from slatelab.plant import client
from slatelab.plant.client import AttemptOutcome
from slatelab.plant.workload import Order
from slatelab.records import Answered, Asked, BrokenOff, GaveUp

from .connection_balancer import ClientConnection, ConnectionBalancer
from .world import ClientRequest, SimulationContext

if TYPE_CHECKING:
    from collections.abc import Callable

REFUSALS = (429, 503)


class ClientAttempt:
    """One try of an order. `unheard_by`: proxies that could not be reached; `resent`: it has been written
    once more, as the closing of its connection crossed it."""

    __slots__ = ("ask", "attempt", "clients", "resent", "connection", "order", "over", "unheard_by", "wake")

    def __init__(self, clients: Clients, order: Order, attempt: int, intended: int) -> None:
        world = clients.context
        self.clients, self.order, self.attempt = clients, order, attempt
        until = client.attempt_timeout_at(world.scenario, order, intended)
        retried = attempt > 0 and world.scenario.clients.marks_retry
        self.ask = ClientRequest(
            f"o{order.number}.{attempt}",
            attempt,
            f"c{order.number}",
            order.cls,
            order.tenant,
            order.seed,
            order.work_us,
            "",
            intended,
            until,
            retried,
        )
        self.connection: ClientConnection | None = None
        self.unheard_by: list[str] = []
        self.resent = self.over = False
        # A little longer than it says: an answer on its way must not be taken for none.
        self.wake = world.clock.call_at(until + world.scenario.rules.answer_slack, self._late)

    def asked(self, proxy: str) -> None:
        """It has been written whole."""
        ask, world = self.ask, self.clients.context
        world.say(
            Asked(
                world.clock.now,
                ask.request,
                ask.attempt,
                ask.caller,
                proxy,
                0,
                world.classes[ask.cls],
                world.tenants[ask.tenant],
                ask.intended,
                ask.until,
            )
        )

    def answered(self, status: int, token: str, retry_after_us: int) -> None:
        world = self.clients.context
        world.say(Answered(world.clock.now, self.ask.request, status, token, retry_after_us))
        self._end(
            "served" if status == 200 else "refused" if status in REFUSALS else "failed", retry_after_us
        )

    def broken(self, why: str) -> None:
        self._break(True, why)

    def nobody(self) -> None:
        self._break(False, "no proxy takes it")

    def _break(self, sent: bool, why: str) -> None:
        world = self.clients.context
        world.say(BrokenOff(world.clock.now, self.ask.request, sent, why))
        self._end("gone" if sent else "unheard", 0)

    def _late(self) -> None:
        world = self.clients.context
        world.say(GaveUp(world.clock.now, self.ask.request))
        if self.connection:
            self.connection.give_up()
        self._end("gave-up", 0)
        self.clients.front.freed()

    def _end(self, end: AttemptOutcome, retry_after_us: int) -> None:
        self.over = True
        self.wake.cancel()
        self.clients.ended(self, end, retry_after_us)


class Clients:
    """`over` is called when no order is open and none is to come."""

    def __init__(
        self,
        world: SimulationContext,
        front: ConnectionBalancer,
        orders: list[Order],
        over: Callable[[], None],
    ) -> None:
        self.context, self.clock, self.front, self.orders, self._over = (
            world,
            world.clock,
            front,
            orders,
            over,
        )
        self.begun = self.open = 0
        self._told = False
        self.counts = {"served": 0, "refused": 0, "failed": 0}
        self.latencies: list[int] | None = None  # of what was served, where somebody watches
        self._wait()

    def _wait(self) -> None:
        if self.begun < len(self.orders):
            self.clock.call_at(self.orders[self.begun].at, self._due)
        else:
            self._look()

    def _due(self) -> None:
        order = self.orders[self.begun]
        self.begun += 1
        self.open += 1
        self._send(order, 0, order.at)
        self._wait()

    def _send(self, order: Order, attempt: int, intended: int) -> None:
        self.front.send(ClientAttempt(self, order, attempt, intended))

    def ended(self, one: ClientAttempt, end: AttemptOutcome, retry_after_us: int) -> None:
        order, now = one.order, self.clock.now
        if end != "served":
            rng = self.context.random_streams.stream("client", order.number, one.attempt)
            again = client.next_retry(
                self.context.scenario, order, one.attempt, now, end, retry_after_us, rng
            )
            if again:
                self.clock.call_at(again.at, self._send, order, one.attempt + 1, again.at)
                return
        self.open -= 1
        self.counts[end if end in self.counts else "failed"] += 1
        if end == "served" and self.latencies is not None:
            self.latencies.append(now - order.at)
        self._look()

    def _look(self) -> None:
        if not (self.open or self._told) and self.begun == len(self.orders):
            self._told = True
            self._over()
