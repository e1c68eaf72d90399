"""The outside clients: they send each order at its scheduled time, regardless of the outcome of earlier ones, and
retry as the scenario's clients do. This module keeps the attempts and records what the clients see of them. The load is
open loop: no attempt waits for another, and latency counts from the intended time."""

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
    """One attempt of an order. `refused_by`: proxies that refused the connection; `resent`: the request has been
    sent a second time, because the proxy closed the idle connection while the request was in transit."""

    __slots__ = (
        "client_request",
        "attempt_number",
        "clients",
        "resent",
        "connection",
        "order",
        "finished",
        "refused_by",
        "timer",
    )

    def __init__(self, clients: Clients, order: Order, attempt: int, intended: int) -> None:
        context = clients.context
        self.clients, self.order, self.attempt_number = clients, order, attempt
        until = client.attempt_timeout_at(context.scenario, order, intended)
        retried = attempt > 0 and context.scenario.clients.marks_retry
        self.client_request = ClientRequest(
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
        self.refused_by: list[str] = []
        self.resent = self.finished = False
        # Waits a little longer than the deadline, so that an answer in transit is not counted as missing.
        self.timer = context.clock.call_at(until + context.scenario.rules.answer_slack, self._timed_out)

    def request_written(self, proxy: str) -> None:
        """The whole request has been written."""
        client_request, context = self.client_request, self.clients.context
        context.add_record(
            Asked(
                context.clock.now,
                client_request.request,
                client_request.attempt,
                client_request.caller,
                proxy,
                0,
                context.classes[client_request.cls],
                context.tenants[client_request.tenant],
                client_request.intended,
                client_request.until,
            )
        )

    def answered(self, status: int, token: str, retry_after_us: int) -> None:
        context = self.clients.context
        context.add_record(
            Answered(context.clock.now, self.client_request.request, status, token, retry_after_us)
        )
        self._finish(
            "served" if status == 200 else "refused" if status in REFUSALS else "failed", retry_after_us
        )

    def broken(self, reason: str) -> None:
        self._connection_failed(True, reason)

    def no_proxy_available(self) -> None:
        self._connection_failed(False, "no proxy takes it")

    def _connection_failed(self, sent: bool, reason: str) -> None:
        context = self.clients.context
        context.add_record(BrokenOff(context.clock.now, self.client_request.request, sent, reason))
        self._finish("gone" if sent else "unheard", 0)

    def _timed_out(self) -> None:
        context = self.clients.context
        context.add_record(GaveUp(context.clock.now, self.client_request.request))
        if self.connection:
            self.connection.give_up()
        self._finish("gave-up", 0)
        self.clients.balancer.send_waiting()

    def _finish(self, outcome: AttemptOutcome, retry_after_us: int) -> None:
        self.finished = True
        self.timer.cancel()
        self.clients.attempt_ended(self, outcome, retry_after_us)


class Clients:
    """`on_completed` is called once no order is open and none is still to be sent."""

    def __init__(
        self,
        context: SimulationContext,
        balancer: ConnectionBalancer,
        orders: list[Order],
        on_completed: Callable[[], None],
    ) -> None:
        self.context, self.clock, self.balancer, self.orders, self._on_completed = (
            context,
            context.clock,
            balancer,
            orders,
            on_completed,
        )
        self.started = self.open_orders = 0
        self._completed = False
        self.counts = {"served": 0, "refused": 0, "failed": 0}
        self.latencies: list[int] | None = None  # of served orders, if progress is reported
        self._schedule_next_order()

    def _schedule_next_order(self) -> None:
        if self.started < len(self.orders):
            self.clock.call_at(self.orders[self.started].at, self._start_order)
        else:
            self._check_completed()

    def _start_order(self) -> None:
        order = self.orders[self.started]
        self.started += 1
        self.open_orders += 1
        self._send(order, 0, order.at)
        self._schedule_next_order()

    def _send(self, order: Order, attempt: int, intended: int) -> None:
        self.balancer.send(ClientAttempt(self, order, attempt, intended))

    def attempt_ended(self, attempt: ClientAttempt, outcome: AttemptOutcome, retry_after_us: int) -> None:
        order, now = attempt.order, self.clock.now
        if outcome != "served":
            rng = self.context.random_streams.stream("client", order.number, attempt.attempt_number)
            retry = client.next_retry(
                self.context.scenario, order, attempt.attempt_number, now, outcome, retry_after_us, rng
            )
            if retry:
                self.clock.call_at(retry.at, self._send, order, attempt.attempt_number + 1, retry.at)
                return
        self.open_orders -= 1
        self.counts[outcome if outcome in self.counts else "failed"] += 1
        if outcome == "served" and self.latencies is not None:
            self.latencies.append(now - order.at)
        self._check_completed()

    def _check_completed(self) -> None:
        if not (self.open_orders or self._completed) and self.started == len(self.orders):
            self._completed = True
            self._on_completed()
