"""A node's call to the next tier, through the proxy of its own beside it. It owns what the node sees of the
call, and must never decide what the node makes of its end."""

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
    """One call, and the screen of its job. Every end is told to the place once, unless the place itself gives
    up."""

    __slots__ = ("act", "ask", "job", "finished", "node", "proxy", "wake")

    def __init__(self, place: SimulatedNode, act: DownstreamCall, ask: ClientRequest) -> None:
        self.node, self.act = place, act
        self.ask = replace(
            ask,
            request=act.request,
            attempt=0,
            caller=place.spec.id,
            path=act.path,
            intended=place.clock.now,
            until=act.until,
            retried=False,
        )
        self.proxy: Proxy | None = None
        self.job: Job | None = None
        self.finished = False
        self.wake: ScheduledCall | None = None

    def send(self) -> None:
        day, world = self.node.clock, self.node.context
        world.open_calls += 1
        # A little longer than it says: an answer on its way must not be taken for none.
        self.wake = day.call_at(self.act.until + world.scenario.rules.answer_slack, self._late)
        if self.act.until <= day.now:
            return  # nobody waits for it any more
        post = self.node.own
        if post is None or post.proxy is None or not post.proxy.client_listener.listening:
            day.call_at(day.now + 2 * LOOPBACK_US, self._refused)
            return
        self.proxy = post.proxy
        ask, tier = self.ask, self.node.spec.tier + 1
        world.say(
            Asked(
                day.now,
                ask.request,
                0,
                ask.caller,
                post.spec.name,
                tier,
                world.classes[ask.cls],
                world.tenants[ask.tenant],
                ask.intended,
                ask.until,
            )
        )
        day.call_at(day.now + LOOPBACK_US, self._reach, day.now)

    def _reach(self, sent: int) -> None:
        if self.finished or self.proxy is None:
            return
        if self.proxy.over:
            return self.broken()
        self.proxy.outs[self] = None
        if status := self.proxy.take(self.ask, sent, self):
            self._leave()
            self._back(status, "", 0)

    # ------------------------------------------------------------ what the proxy says

    def answer(self, job: Job, answer: Answer) -> None:
        self._leave()
        self._back(*http_response(answer))

    def broken(self) -> None:
        """The proxy has ended with this in hand."""
        self.node.clock.call_at(self.node.clock.now + LOOPBACK_US, self._broke)

    def _back(self, status: int, token: str, retry_after_us: int) -> None:
        self.node.clock.call_at(self.node.clock.now + LOOPBACK_US, self._heard, status, token, retry_after_us)

    def _leave(self) -> None:
        self.job = None
        if self.proxy:
            self.proxy.outs.pop(self, None)
            self.proxy.client_listener.look()

    # ------------------------------------------------------------ ends

    def _heard(self, status: int, token: str, retry_after_us: int) -> None:
        if not self.finished:
            self._end()
            self.node.context.say(
                Answered(self.node.clock.now, self.ask.request, status, token, retry_after_us)
            )
            self.node.returned(self, status == 200)

    def _refused(self) -> None:
        self._lost(False, "refused")

    def _broke(self) -> None:
        self._lost(True, "reset")

    def _lost(self, sent: bool, why: str) -> None:
        if not self.finished:
            self._end()
            self.node.context.say(BrokenOff(self.node.clock.now, self.ask.request, sent, why))
            self.node.returned(self, False)

    def _late(self) -> None:
        if not self.finished:
            self.give_up()
            self.node.returned(self, False)

    def give_up(self) -> None:
        """Its time is up, or the node has ended."""
        if self.finished:
            return
        self._end()
        self.node.context.say(GaveUp(self.node.clock.now, self.ask.request))
        if self.proxy and self.job:
            self.node.clock.call_at(
                self.node.clock.now + LOOPBACK_US, self.proxy.caller_disconnected, self.job
            )
        self._leave()

    def _end(self) -> None:
        self.finished = True
        self.node.context.open_calls -= 1
        if self.wake:
            self.wake.cancel()
