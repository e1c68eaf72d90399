"""The operators' listener: one call to a connection, each answered whatever else the proxy is doing. It owns these
connections from opening to closing. It must never let callers who say nothing lock an operator out, never wait for one
of them, and never say yes before the call is done."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from ..core.limits import READ_CHUNK_BYTES, RESOURCE_EXHAUSTED_ERRNOS
from ..drivers.clock import Timer, clock
from ..fronts.http1.request_parser import RequestParser
from ..fronts.validation import LocalResponse
from ..observe.log import error_location, log_event
from .routes import AdminRequest, AdminResponse, route

MAX_CONNECTIONS = 16  # connections at once
BODY_MOST = 1024  # no call needs a body
CALL_US = 8_000_000  # for a whole call
LINGER_US = 1_000_000  # for a caller to read its answer
LOUD = ("maint", "ready", "fail", "ok", "voters")  # said in the log; health is asked all the time


class AdminServer:
    """Carries out calls; `act` may wait, and what it raises is a no."""

    def __init__(self, act: Callable[[AdminRequest], AdminResponse]) -> None:
        self.handler = act
        self.listener: Any = None
        self.accept_greenlet: Any = None
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()  # the oldest first

    def open(self, listener: Any) -> None:
        """Takes calls at this listener in place of the one before, if any; None: nowhere."""
        self.close()
        if listener:
            self.listener = listener
            self.accept_greenlet = gevent.spawn(self._accept, listener)
            host, port = listener.getsockname()[:2]
            log_event("start", f"operators call at {host}:{port}")

    def close(self) -> None:
        """No new calls; those that were made are still answered."""
        if self.listener:
            self.accept_greenlet.kill()
            self.listener.close()
            self.listener = None

    def _accept(self, listener: Any) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError as problem:
                if listener.fileno() < 0:
                    return
                if problem.errno in RESOURCE_EXHAUSTED_ERRNOS:
                    log_event("sockets", f"cannot accept an operator: {problem}", "error")
                    gevent.sleep(0.05)
                continue
            if len(self.connections) >= MAX_CONNECTIONS:
                self._make_room()
            self.connections[AdminConnection(self, sock)] = None

    def _make_room(self) -> None:
        """The one that has been here longest without a whole call goes; of calls at work, each ends by itself."""
        spare = next((c for c in self.connections if not c.called), None) or next(iter(self.connections))
        spare.close()

    def answer(self, method: str, target: str) -> AdminResponse:
        call = route(method, target)
        if isinstance(call, AdminResponse):
            return call
        try:
            reply = self.handler(call)
        except Exception as problem:
            log_event(
                "fault",
                f"an operator's call: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )
            reply = AdminResponse(500, "failed")
        if call.operation in LOUD:
            log_event("operator", f"{call.operation}: {reply.text}", node=call.subject or None)
        return reply


class AdminConnection:
    """One connection, in a greenlet of its own."""

    def __init__(self, desk: AdminServer, sock: Any) -> None:
        self.server = desk
        self.sock = sock
        self.called = False
        self.closed = False
        self.timer = Timer(clock() + CALL_US, self.close)
        self.greenlet = gevent.spawn(self._serve)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.timer.cancel()
        if self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)
        self.sock.close()
        self.server.connections.pop(self, None)

    def _serve(self) -> None:
        taker = RequestParser(BODY_MOST)
        try:
            item = None
            while item is None:
                data = self.sock.recv(READ_CHUNK_BYTES)
                if not data:
                    return
                taker.feed(data)
                item = taker.parsed[0] if taker.parsed else None
            self.called = True
            if isinstance(item, LocalResponse):
                reply, head = AdminResponse(item.status, item.message), False
            else:
                reply, head = self.server.answer(item.method, item.target), item.method == "HEAD"
            self._say(reply, head)
        except OSError:
            pass
        finally:
            taker.close()
            self.close()

    def _say(self, reply: AdminResponse, head: bool) -> None:
        """The answer, and time to read it: a close with bytes unread would reset it."""
        body = reply.text.encode() + b"\n"
        allow = f"Allow: {reply.allowed_method}\r\n" if reply.allowed_method else ""
        lines = f"HTTP/1.1 {reply.status} {'OK' if reply.status < 300 else 'No'}\r\nContent-Type: text/plain\r\n{allow}"
        lines += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        self.sock.sendall(lines.encode() + (b"" if head else body))
        self.sock.shutdown(socket.SHUT_WR)
        self.timer.cancel()
        self.timer = Timer(clock() + LINGER_US, self.close)
        while self.sock.recv(READ_CHUNK_BYTES):
            pass
