"""The calls of a node to the next tier, through the proxy of its own. It owns the connections to that proxy
and what the node sees of each call as a caller; what the node makes of a call's end is told to its place."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from msgspec.structs import replace

from slatelab.plant.node import DownstreamCall
from slatelab.records import Answered, Asked, BrokenOff, GaveUp

from .client_pool import ConnectionPool, Exchange, request_id_of, token_from_body
from .clock import ScheduledCall
from .control_channel import HelperChannel

Key = tuple[int, int]  # the attempt and the index of the call for it


@dataclass(eq=False, slots=True)
class PendingCall:
    """A call under way."""

    asked: Asked
    exchange: Exchange
    timer: ScheduledCall


class DownstreamCalls:
    """`returned(key, index, ok)` is told each call's end, unless all are given up. `slack` is how much longer
    than it said the node waits, so that an answer on its way is not taken for none."""

    def __init__(
        self,
        far: HelperChannel,
        proxy: tuple[str, int],
        slack: int,
        returned: Callable[[int, int, bool], None],
    ) -> None:
        self._channel, self._slack, self._on_finished = far, slack, returned
        self._pool = ConnectionPool(far.loop, far.clock.now, proxy, self._unexpected_response)
        self._pending: dict[Key, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(self, act: DownstreamCall, asked: Asked, data: bytes) -> None:
        """`asked` is what will have been seen once the call has been written."""
        key = (act.key, act.index)
        exchange = Exchange(data, partial(self._ended, key))
        wake = self._channel.clock.call_at(act.until + self._slack, partial(self._timed_out, key))
        self._pending[key] = PendingCall(asked, exchange, wake)
        self._pool.send(exchange)

    def cancel_all(self) -> None:
        """The node has died."""
        for key in list(self._pending):
            self._cancel(key)
        self._pool.close()

    def close(self) -> None:
        """The run is over: nothing is recorded any more."""
        self._pool.close()

    def _ended(self, key: Key, exchange: Exchange) -> None:
        out, now = self._pending.pop(key), self._channel.clock.now()
        out.timer.cancel()
        self._note_asked(out)
        request = out.asked.request
        if exchange.status:
            wait = exchange.retry_after_us
            self._channel.facts.add(
                Answered(now, request, exchange.status, token_from_body(exchange.body), wait)
            )
        else:
            self._channel.facts.add(BrokenOff(now, request, exchange.sent_at > 0, exchange.failure))
        self._on_finished(*key, exchange.status == 200)

    def _timed_out(self, key: Key) -> None:
        self._cancel(key)
        self._on_finished(*key, False)

    def _cancel(self, key: Key) -> None:
        out = self._pending.pop(key)
        out.timer.cancel()
        out.exchange.cancel()
        self._note_asked(out)
        self._channel.facts.add(GaveUp(self._channel.clock.now(), out.asked.request))

    def _note_asked(self, out: PendingCall) -> None:
        if out.exchange.sent_at:
            self._channel.facts.add(replace(out.asked, t=out.exchange.sent_at))

    def _unexpected_response(self, last: Exchange, status: int, body: bytes) -> None:
        self._channel.facts.add(
            Answered(self._channel.clock.now(), request_id_of(last.data), status, token_from_body(body))
        )
