"""The calls of a node to the next tier, through the proxy of its own. It owns the connections to that proxy
and what the node sees of each call as a caller; what the node makes of a call's end is told to its place."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from msgspec.structs import replace

from slatelab.plant.node import DownstreamCall
from slatelab.records import Answered, Asked, BrokenOff, GaveUp

from .client_pool import ConnectionPool, Exchange, request_of, token_of
from .clock import ScheduledCall
from .control_channel import HelperChannel

Key = tuple[int, int]  # the attempt and the index of the call for it


@dataclass(eq=False, slots=True)
class Out:
    """A call under way."""

    asked: Asked
    exchange: Exchange
    wake: ScheduledCall


class Outs:
    """`returned(key, index, ok)` is told each call's end, unless all are given up. `slack` is how much longer
    than it said the node waits, so that an answer on its way is not taken for none."""

    def __init__(
        self,
        far: HelperChannel,
        proxy: tuple[str, int],
        slack: int,
        returned: Callable[[int, int, bool], None],
    ) -> None:
        self._far, self._slack, self._returned = far, slack, returned
        self._pool = ConnectionPool(far.loop, far.clock.now, proxy, self._surplus)
        self._out: dict[Key, Out] = {}

    def __len__(self) -> int:
        return len(self._out)

    def send(self, act: DownstreamCall, asked: Asked, data: bytes) -> None:
        """`asked` is what will have been seen once the call has been written."""
        key = (act.key, act.index)
        exchange = Exchange(data, partial(self._ended, key))
        wake = self._far.clock.at(act.until + self._slack, partial(self._late, key))
        self._out[key] = Out(asked, exchange, wake)
        self._pool.send(exchange)

    def give_up_all(self) -> None:
        """The node has died."""
        for key in list(self._out):
            self._give_up(key)
        self._pool.close()

    def close(self) -> None:
        """The run is over: nothing is recorded any more."""
        self._pool.close()

    def _ended(self, key: Key, exchange: Exchange) -> None:
        out, now = self._out.pop(key), self._far.clock.now()
        out.wake.cancel()
        self._note_asked(out)
        request = out.asked.request
        if exchange.status:
            wait = exchange.retry_after_us
            self._far.facts.add(Answered(now, request, exchange.status, token_of(exchange.body), wait))
        else:
            self._far.facts.add(BrokenOff(now, request, exchange.sent_at > 0, exchange.failure))
        self._returned(*key, exchange.status == 200)

    def _late(self, key: Key) -> None:
        self._give_up(key)
        self._returned(*key, False)

    def _give_up(self, key: Key) -> None:
        out = self._out.pop(key)
        out.wake.cancel()
        out.exchange.give_up()
        self._note_asked(out)
        self._far.facts.add(GaveUp(self._far.clock.now(), out.asked.request))

    def _note_asked(self, out: Out) -> None:
        if out.exchange.sent_at:
            self._far.facts.add(replace(out.asked, t=out.exchange.sent_at))

    def _surplus(self, last: Exchange, status: int, body: bytes) -> None:
        self._far.facts.add(Answered(self._far.clock.now(), request_of(last.data), status, token_of(body)))
