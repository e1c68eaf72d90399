"""A node's calls to the next tier through its own proxy. This module holds the connections to that proxy and
records what the node observes of each call as a caller; the outcome is reported to the node."""

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

Key = tuple[int, int]  # the attempt, and the index of the call made for it


@dataclass(eq=False, slots=True)
class PendingCall:
    """A call in progress."""

    asked: Asked
    exchange: Exchange
    timer: ScheduledCall


class DownstreamCalls:
    """`returned(key, index, ok)` is called at the end of each call, unless all are cancelled. `slack` is how
    much longer than its stated timeout the node waits, so that a response on its way is not taken for a
    missing one."""

    def __init__(
        self,
        channel: HelperChannel,
        proxy: tuple[str, int],
        slack: int,
        on_finished: Callable[[int, int, bool], None],
    ) -> None:
        self._channel, self._slack, self._on_finished = channel, slack, on_finished
        self._pool = ConnectionPool(channel.loop, channel.clock.now, proxy, self._unexpected_response)
        self._pending: dict[Key, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def send(self, call: DownstreamCall, asked: Asked, data: bytes) -> None:
        """Sends a call. `asked` is the fact recorded once the call has been written."""
        key = (call.key, call.index)
        exchange = Exchange(data, partial(self._ended, key))
        timer = self._channel.clock.call_at(call.until + self._slack, partial(self._timed_out, key))
        self._pending[key] = PendingCall(asked, exchange, timer)
        self._pool.send(exchange)

    def cancel_all(self) -> None:
        """Cancels all calls because the node has died."""
        for key in list(self._pending):
            self._cancel(key)
        self._pool.close()

    def close(self) -> None:
        """Closes the connections at the end of the run; nothing is recorded any more."""
        self._pool.close()

    def _ended(self, key: Key, exchange: Exchange) -> None:
        pending, now = self._pending.pop(key), self._channel.clock.now()
        pending.timer.cancel()
        self._note_asked(pending)
        request = pending.asked.request
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
        pending = self._pending.pop(key)
        pending.timer.cancel()
        pending.exchange.cancel()
        self._note_asked(pending)
        self._channel.facts.add(GaveUp(self._channel.clock.now(), pending.asked.request))

    def _note_asked(self, pending: PendingCall) -> None:
        if pending.exchange.sent_at:
            self._channel.facts.add(replace(pending.asked, t=pending.exchange.sent_at))

    def _unexpected_response(self, last: Exchange, status: int, body: bytes) -> None:
        self._channel.facts.add(
            Answered(self._channel.clock.now(), request_id_of(last.data), status, token_from_body(body))
        )
