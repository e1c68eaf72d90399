"""The load generator: sends each order at its scheduled time, regardless of the outcome of earlier ones,
and each retry as its client would. It holds the attempts and records what callers see of them. It never waits for
one attempt before sending another: latency counts from the intended time (open loop), so a stalled proxy
cannot slow down the offered load."""

from __future__ import annotations

import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from slatelab.plant import client, workload
from slatelab.plant.client import AttemptOutcome
from slatelab.plant.random_streams import RandomStreams
from slatelab.plant.workload import Order
from slatelab.records import Answered, Asked, BrokenOff, GaveUp
from slatelab.scenario import Scenario

from .client_pool import Exchange, request_id_of, token_from_body
from .clock import ScheduledCall
from .control_channel import HelperChannel, JobContext, Message, Part
from .front import Front, FrontRequest, ProxyAddress
from .schedule_lag import ScheduleLag
from .wire import request_bytes

MAX_LATENCIES_PER_TICK = 2000  # latencies in one tick


@dataclass(frozen=True, slots=True)
class LoadJob:
    """`stall`: the time in the scenario at which the generator stops and for how long, in microseconds; for
    tests."""

    context: JobContext
    scenario: Scenario
    seed: int
    folder: Path
    proxy_addresses: list[ProxyAddress]
    stall: tuple[int, int] | None = None

    def part(self, channel: HelperChannel) -> Part:
        return LoadGenerator(self, channel)


@dataclass(eq=False, slots=True)
class ClientAttempt:
    """One attempt of an order, in progress."""

    order: Order
    attempt: int
    intended: int
    until: int
    front_request: FrontRequest | None = None
    timer: ScheduledCall | None = None

    @property
    def request(self) -> str:
        return f"o{self.order.number}.{self.attempt}"


class LoadGenerator:
    """Sends the orders and their retries, and records what the clients observe."""

    def __init__(self, job: LoadJob, channel: HelperChannel) -> None:
        self.job, self.channel, self.scenario = job, channel, job.scenario
        channel.uses_day_time = True
        self.random_streams = RandomStreams(job.seed)
        self.orders: list[Order] = []
        self.schedule_lag = ScheduleLag()
        self.front = Front(
            channel.loop,
            channel.clock.now,
            job.proxy_addresses,
            job.scenario.clients.connections,
            self._unexpected_response,
            job.scenario.tiers[0].skew,
        )
        self.orders_sent = 0  # orders whose first attempt was sent
        self.pending_attempts = 0  # attempts in progress, and later ones of orders already started
        self.counts = {"served": 0, "refused": 0, "failed": 0}
        self.latencies: list[int] = []
        self.end_reported = False

    async def open(self) -> None:
        self.orders = workload.generate_orders(self.scenario, self.random_streams, self.job.folder)

    def handle_message(self, message: Message) -> None:
        if message["do"] == "go":
            self._schedule_next_order()
            if self.job.stall:
                at, span = self.job.stall
                self.channel.clock.call_at(at, lambda: time.sleep(span / 1e6))
        elif message["do"] == "front":
            self.front.set_in_use(message["proxy"], message["used"])

    # ------------------------------------------------------------ sending

    def _schedule_next_order(self) -> None:
        if self.orders_sent < len(self.orders):
            self.channel.clock.call_at(self.orders[self.orders_sent].at, self._send_due_orders)
        else:
            self._report_if_done()

    def _send_due_orders(self) -> None:
        now = self.channel.clock.now()
        while self.orders_sent < len(self.orders) and self.orders[self.orders_sent].at <= now:
            order = self.orders[self.orders_sent]
            self.orders_sent += 1
            self.pending_attempts += 1
            self._send(order, 0, order.at)
        self._schedule_next_order()

    def _send(self, order: Order, attempt: int, intended: int) -> None:
        self.schedule_lag.record(intended, self.channel.clock.now() - intended)
        client_attempt = ClientAttempt(
            order, attempt, intended, client.attempt_timeout_at(self.scenario, order, intended)
        )
        # Waits slightly longer than the stated timeout, so that a response already on its way is not taken
        # for a missing one.
        give_up_at = client_attempt.until + self.scenario.rules.answer_slack
        client_attempt.timer = self.channel.clock.call_at(give_up_at, partial(self._give_up, client_attempt))
        client_attempt.front_request = FrontRequest(
            partial(self._write, client_attempt), partial(self._ended, client_attempt)
        )
        self.front.send(client_attempt.front_request)

    def _write(self, client_attempt: ClientAttempt, proxy: str) -> bytes:
        order = client_attempt.order
        attrs = {
            "order": order.number,
            "seed": order.seed,
            "work": order.work_us,
            "path": "",
            "proxy": proxy,
        }
        remaining_us = max(1, client_attempt.until - self.channel.clock.now())
        retried = client_attempt.attempt > 0 and self.scenario.clients.marks_retry
        cls, alike = self.scenario.classes[order.cls], self.scenario.clients.alike
        return request_bytes(
            cls, client_attempt.request, self._tenant(order), remaining_us, attrs, retried, alike
        )

    def _tenant(self, order: Order) -> str:
        return self.scenario.tenants[order.tenant].name if self.scenario.tenants else ""

    # ------------------------------------------------------------ outcomes

    def _ended(self, client_attempt: ClientAttempt, exchange: Exchange | None) -> None:
        now, request = self.channel.clock.now(), client_attempt.request
        assert client_attempt.timer and client_attempt.front_request
        client_attempt.timer.cancel()
        self._note_asked(client_attempt, exchange)
        if exchange is None or not exchange.status:
            sent = exchange is not None and exchange.sent_at > 0
            self.channel.facts.add(
                BrokenOff(now, request, sent, exchange.failure if exchange else "no proxy takes it")
            )
            return self._after_attempt(client_attempt, "gone" if sent else "unheard", 0)
        token = token_from_body(exchange.body)
        self.channel.facts.add(Answered(now, request, exchange.status, token, exchange.retry_after_us))
        outcome: AttemptOutcome = (
            "served" if exchange.status == 200 else "refused" if exchange.status in (429, 503) else "failed"
        )
        self._after_attempt(client_attempt, outcome, exchange.retry_after_us)

    def _give_up(self, client_attempt: ClientAttempt) -> None:
        assert client_attempt.front_request
        client_attempt.front_request.cancel()
        self._note_asked(client_attempt, client_attempt.front_request.exchange)
        self.channel.facts.add(GaveUp(self.channel.clock.now(), client_attempt.request))
        self._after_attempt(client_attempt, "gave-up", 0)
        self.front.connection_freed()

    def _note_asked(self, client_attempt: ClientAttempt, exchange: Exchange | None) -> None:
        if exchange is None or not exchange.sent_at or client_attempt.front_request is None:
            return
        order, cls = client_attempt.order, self.scenario.classes[client_attempt.order.cls].name
        asked = Asked(
            exchange.sent_at,
            client_attempt.request,
            client_attempt.attempt,
            f"c{order.number}",
            client_attempt.front_request.proxy,
            0,
            cls,
            self._tenant(order),
            client_attempt.intended,
            client_attempt.until,
        )
        self.channel.facts.add(asked)

    def _after_attempt(
        self, client_attempt: ClientAttempt, outcome: AttemptOutcome, retry_after_us: int
    ) -> None:
        order, now = client_attempt.order, self.channel.clock.now()
        if outcome != "served":
            rng = self.random_streams.stream("client", order.number, client_attempt.attempt)
            again = client.next_retry(
                self.scenario, order, client_attempt.attempt, now, outcome, retry_after_us, rng
            )
            if again:
                self.channel.clock.call_at(
                    again.at, partial(self._send, order, client_attempt.attempt + 1, again.at)
                )
                return
        self.pending_attempts -= 1
        self.counts[outcome if outcome in self.counts else "failed"] += 1
        if outcome == "served" and len(self.latencies) < MAX_LATENCIES_PER_TICK:
            self.latencies.append(now - order.at)
        self._report_if_done()

    def _unexpected_response(self, last: Exchange, status: int, body: bytes) -> None:
        """Records an unsolicited response; the judge takes it for a second answer to the last request."""
        token = token_from_body(body)
        self.channel.facts.add(Answered(self.channel.clock.now(), request_id_of(last.data), status, token))

    def _report_if_done(self) -> None:
        if not self.end_reported and not self.pending_attempts and self.orders_sent == len(self.orders):
            self.end_reported = True
            self.channel.send("over")

    # ------------------------------------------------------------ requests from the lab

    def tick(self) -> Message:
        latencies, self.latencies = self.latencies, []
        return {
            "t": self.channel.clock.now(),
            "asked": self.orders_sent,
            "latencies": latencies,
            **self.counts,
        }

    def close(self) -> Message:
        self.front.close()
        return {"late_p99_us": self.schedule_lag.p99_us, "complaint": self.schedule_lag.invalid_reason()}
