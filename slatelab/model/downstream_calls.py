"""A node's calls to the next tier, through the node's own proxy on the same machine. This module records what the
node sees of a call; the node itself decides what follows from the result."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from slatehub.core.jobs import Answer, Job
from slatelab.plant.node import DownstreamCall
from slatelab.records import Answered, Asked, BrokenOff, GaveUp

from .http_response import http_response
from .network import LOOPBACK_US
from .virtual_clock import ScheduledCall
from .world import ClientRequest

if TYPE_CHECKING:
    from .proxy import Proxy
    from .simulated_node import SimulatedNode


class DownstreamExchange:
    """One call, and the responder of its job. The result is reported to the node once, unless the node itself gives
    up."""

    __slots__ = ("call", "client_request", "job", "finished", "node", "proxy", "timer")

    def __init__(self, node: SimulatedNode, call: DownstreamCall, client_request: ClientRequest) -> None:
        self.node, self.call = node, call
        self.client_request = replace(
            client_request,
            request=call.request,
            attempt=0,
            caller=node.spec.id,
            path=call.path,
            intended=node.clock.now,
            until=call.until,
            retried=False,
        )
        self.proxy: Proxy | None = None
        self.job: Job | None = None
        self.finished = False
        self.timer: ScheduledCall | None = None

    def send(self) -> None:
        clock, context = self.node.clock, self.node.context
        context.open_calls += 1
        # Waits a little longer than the deadline, so that an answer in transit is not counted as missing.
        self.timer = clock.call_at(self.call.until + context.scenario.rules.answer_slack, self._timed_out)
        if self.call.until <= clock.now:
            return  # the deadline has passed already
        supervisor = self.node.own_proxy
        if supervisor is None or supervisor.proxy is None or not supervisor.proxy.client_listener.listening:
            clock.call_at(clock.now + 2 * LOOPBACK_US, self._connection_refused)
            return
        self.proxy = supervisor.proxy
        client_request, tier = self.client_request, self.node.spec.tier + 1
        context.add_record(
            Asked(
                clock.now,
                client_request.request,
                0,
                client_request.caller,
                supervisor.spec.name,
                tier,
                context.classes[client_request.cls],
                context.tenants[client_request.tenant],
                client_request.intended,
                client_request.until,
            )
        )
        clock.call_at(clock.now + LOOPBACK_US, self._deliver, clock.now)

    def _deliver(self, sent_at: int) -> None:
        if self.finished or self.proxy is None:
            return
        if self.proxy.has_ended:
            return self.broken()
        self.proxy.downstream_exchanges[self] = None
        if status := self.proxy.receive_request(self.client_request, sent_at, self):
            self._release_job()
            self._send_back(status, "", 0)

    # ------------------------------------------------------------ results from the proxy

    def answer(self, job: Job, answer: Answer) -> None:
        self._release_job()
        self._send_back(*http_response(answer))

    def may_begin(self, job: Job) -> bool:
        return True

    def broken(self) -> None:
        """The proxy has ended while the call was open."""
        self.node.clock.call_at(self.node.clock.now + LOOPBACK_US, self._connection_reset)

    def _send_back(self, status: int, token: str, retry_after_us: int) -> None:
        self.node.clock.call_at(
            self.node.clock.now + LOOPBACK_US, self._response_received, status, token, retry_after_us
        )

    def _release_job(self) -> None:
        self.job = None
        if self.proxy:
            self.proxy.downstream_exchanges.pop(self, None)
            self.proxy.client_listener.check_finished()

    # ------------------------------------------------------------ how the call ends

    def _response_received(self, status: int, token: str, retry_after_us: int) -> None:
        if not self.finished:
            self._finish()
            self.node.context.add_record(
                Answered(self.node.clock.now, self.client_request.request, status, token, retry_after_us)
            )
            self.node.downstream_finished(self, status == 200)

    def _connection_refused(self) -> None:
        self._fail(False, "refused")

    def _connection_reset(self) -> None:
        self._fail(True, "reset")

    def _fail(self, sent: bool, reason: str) -> None:
        if not self.finished:
            self._finish()
            self.node.context.add_record(
                BrokenOff(self.node.clock.now, self.client_request.request, sent, reason)
            )
            self.node.downstream_finished(self, False)

    def _timed_out(self) -> None:
        if not self.finished:
            self.give_up()
            self.node.downstream_finished(self, False)

    def give_up(self) -> None:
        """The deadline has passed, or the node has ended."""
        if self.finished:
            return
        self._finish()
        self.node.context.add_record(GaveUp(self.node.clock.now, self.client_request.request))
        if self.proxy and self.job:
            self.node.clock.call_at(
                self.node.clock.now + LOOPBACK_US, self.proxy.caller_disconnected, self.job
            )
        self._release_job()

    def _finish(self) -> None:
        self.finished = True
        self.node.context.open_calls -= 1
        if self.timer:
            self.timer.cancel()
