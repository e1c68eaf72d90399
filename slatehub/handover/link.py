"""The connection between two processes of one proxy: questions and answers in both directions. It owns the socket. It
must never wait without a limit, and never leave a question open when the other side has gone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import AsyncResult
from gevent.lock import BoundedSemaphore

from ..observe.log import error_location, log_event
from .messages import MessageDecoder, MessageError, pack

Tree = dict[str, Any]


class ProcessLink:
    """`heard` answers a question; `ended` is rung once, when the other side has gone or talks nonsense. `early`: what
    came with the first words."""

    def __init__(
        self,
        sock: Any,
        words: MessageDecoder,
        early: list[Tree],
        heard: Callable[[Tree], Tree],
        ended: Callable[[ProcessLink], None],
    ) -> None:
        self.sock = sock
        self.words = words
        self.on_request = heard
        self.on_closed = ended
        self.open = True
        self.last = 0
        self.asked: dict[int, AsyncResult[Tree | None]] = {}
        self.turn = BoundedSemaphore()  # two lines at once would mix
        self.greenlet = gevent.spawn(self._read, early)

    def request(self, tree: Tree, limit_s: float) -> Tree | None:
        """What the other side answers; None where it does not in time, or has gone."""
        if not self.open:
            return None
        self.last += 1
        number = self.last
        result: AsyncResult[Tree | None] = AsyncResult()
        self.asked[number] = result
        try:
            with gevent.Timeout(limit_s):
                self._send(tree | {"n": number})
                return result.get()
        except (gevent.Timeout, OSError):
            return None
        finally:
            self.asked.pop(number, None)

    def _send(self, tree: Tree) -> None:
        with self.turn:
            self.sock.sendall(pack(tree))

    def _read(self, early: list[Tree]) -> None:
        try:
            self._take(early)
            while data := self.sock.recv(65536):
                self._take(self.words.feed(data))
        except (OSError, MessageError) as problem:
            log_event("handover", f"the other process: {problem}", "warning")
        except Exception as problem:
            log_event(
                "fault",
                f"handover: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )
        finally:
            self.close()

    def _take(self, trees: list[Tree]) -> None:
        for tree in trees:
            if "re" in tree:
                number = tree["re"]
                if isinstance(number, int) and (result := self.asked.get(number)):
                    result.set(tree)
            else:
                gevent.spawn(self._answer, tree)

    def _answer(self, tree: Tree) -> None:
        try:
            reply = self.on_request(tree)
        except Exception as problem:  # the other side is owed an answer: a caller waits for it
            log_event(
                "handover", f"a call from the other process: {type(problem).__name__}: {problem}", "error"
            )
            reply = {"status": 500}
        try:
            self._send(reply | {"re": tree.get("n")})
        except OSError:
            self.close()

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        for result in self.asked.values():
            result.set(None)
        if self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)
        self.sock.close()
        self.on_closed(self)
