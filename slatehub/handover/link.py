"""The connection between two processes of one proxy: requests and replies in both directions over one socket. Every
wait has a limit, and every pending request ends when the connection closes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.lock import BoundedSemaphore

from ..observe.log import error_location, log_event
from .messages import SENT_IDS, MessageDecoder, MessageError, pack

Tree = dict[str, Any]
ANNOUNCE_TIMEOUT_S = 5.0  # for the peer to take a message; one that does not is gone or stopped


class ProcessLink:
    """`on_request` answers a request; `on_closed` is called once, when the connection has closed or the peer violates
    the protocol. `early`: messages received with the handshake."""

    def __init__(
        self,
        sock: Any,
        decoder: MessageDecoder,
        early: list[Tree],
        on_request: Callable[[Tree], Tree],
        on_closed: Callable[[ProcessLink], None],
    ) -> None:
        self.sock = sock
        self.decoder = decoder
        self.on_request = on_request
        self.on_closed = on_closed
        self.open = True
        self.last_number = 0
        self.pending: dict[int, AsyncResult[Tree | None]] = {}
        self.announced: list[str] = []  # ids of requests of which the peer is to be told
        self.announcing = False
        self.send_lock = BoundedSemaphore()  # concurrent writes would interleave
        self.greenlet = gevent.spawn(self._read, early)

    def request(self, message: Tree, limit_s: float) -> Tree | None:
        """Sends a request and returns the reply; None if there is none within `limit_s` or the connection closes."""
        if not self.open:
            return None
        self.last_number += 1
        number = self.last_number
        result: AsyncResult[Tree | None] = AsyncResult()
        self.pending[number] = result
        try:
            with gevent.Timeout(limit_s):
                self._send(message | {"n": number})
                return result.get()
        except (gevent.Timeout, OSError):
            return None
        finally:
            self.pending.pop(number, None)

    def announce(self, request_ids: list[str]) -> None:
        """Tells the peer of requests that must not run twice and are being sent. Does not wait; there is no reply."""
        self.announced += request_ids
        if self.open and not self.announcing:
            self.announcing = True
            gevent.spawn(self._send_announced)

    def _send_announced(self) -> None:
        try:
            while self.announced:
                message, self.announced = {SENT_IDS: self.announced}, []
                with gevent.Timeout(ANNOUNCE_TIMEOUT_S):
                    self._send(message)
        except (gevent.Timeout, OSError):
            self.close()
        finally:
            self.announcing = False

    def _send(self, message: Tree) -> None:
        with self.send_lock:
            self.sock.sendall(pack(message))

    def _read(self, early: list[Tree]) -> None:
        try:
            self._dispatch(early)
            while data := self.sock.recv(65536):
                self._dispatch(self.decoder.feed(data))
        except (OSError, MessageError) as problem:
            log_event("handover", f"link to the other process: {problem}", "warning")
        except Exception as problem:
            log_event(
                "fault",
                f"handover: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )
        finally:
            self.close()

    def _dispatch(self, messages: list[Tree]) -> None:
        for message in messages:
            if "re" in message:
                number = message["re"]
                if isinstance(number, int) and (result := self.pending.get(number)):
                    result.set(message)
            else:
                gevent.spawn(self._answer, message)

    def _answer(self, message: Tree) -> None:
        try:
            reply = self.on_request(message)
        except Exception as problem:  # the peer waits for a reply, and an operator for the peer
            log_event(
                "handover", f"request from the other process: {type(problem).__name__}: {problem}", "error"
            )
            reply = {"status": 500}
        try:
            self._send(reply | {"re": message.get("n")})
        except OSError:
            self.close()

    def close(self) -> None:
        """Closes the connection and ends pending requests without a reply."""
        if not self.open:
            return
        self.open = False
        for result in self.pending.values():
            result.set(None)
        if self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)
        self.sock.close()
        self.on_closed(self)
