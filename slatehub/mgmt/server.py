"""The HTTP server of the operators' API: one call to a connection, answered whatever else the proxy is doing. Manages
these connections from opening to closing. Silent connections cannot lock an operator out, no connection delays another,
and success is reported only once the call is done."""

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

MAX_CONNECTIONS = 16  # open at once
MAX_BODY_BYTES = 1024  # no call needs a body
CALL_TIMEOUT_US = 8_000_000  # for a whole call
LINGER_US = 1_000_000  # for the operator's client to read the response
LOGGED_OPERATIONS = ("maint", "ready", "fail", "ok", "voters")  # health is polled all the time and not logged


class AdminServer:
    """Serves calls; `handler` carries them out, may block its greenlet, and answers 500 where it raises."""

    def __init__(self, handler: Callable[[AdminRequest], AdminResponse]) -> None:
        self.handler = handler
        self.listener: Any = None
        self.accept_greenlet: Any = None
        self.connections: OrderedDict[AdminConnection, None] = OrderedDict()  # the oldest first

    def open(self, listener: Any) -> None:
        """Serves at this listener in place of the former one, if any; None: stops serving."""
        self.close()
        if listener:
            self.listener = listener
            self.accept_greenlet = gevent.spawn(self._accept, listener)
            host, port = listener.getsockname()[:2]
            log_event("start", f"operators call at {host}:{port}")

    def close(self) -> None:
        """Accepts no new connections; open ones are still answered."""
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
        """Closes the oldest connection without a complete request, as calls in progress end by themselves; the oldest
        of all if every call is in progress."""
        spare = next((c for c in self.connections if not c.request_complete), None) or next(
            iter(self.connections)
        )
        spare.close()

    def answer(self, method: str, target: str) -> AdminResponse:
        """Routes a request and carries it out; any error of the handler is logged and answered with 500."""
        call = route(method, target)
        if isinstance(call, AdminResponse):
            return call
        try:
            response = self.handler(call)
        except Exception as problem:
            log_event(
                "fault",
                f"an operator's call: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )
            response = AdminResponse(500, "failed")
        if call.operation in LOGGED_OPERATIONS:
            log_event("operator", f"{call.operation}: {response.text}", node=call.subject or None)
        return response


class AdminConnection:
    """One connection, served by a greenlet of its own."""

    def __init__(self, server: AdminServer, sock: Any) -> None:
        self.server = server
        self.sock = sock
        self.request_complete = False
        self.closed = False
        self.timer = Timer(clock() + CALL_TIMEOUT_US, self.close)
        self.greenlet = gevent.spawn(self._serve)

    def close(self) -> None:
        """Closes the connection and ends its greenlet; may be called more than once."""
        if self.closed:
            return
        self.closed = True
        self.timer.cancel()
        if self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)
        self.sock.close()
        self.server.connections.pop(self, None)

    def _serve(self) -> None:
        parser = RequestParser(MAX_BODY_BYTES)
        try:
            item = None
            while item is None:
                data = self.sock.recv(READ_CHUNK_BYTES)
                if not data:
                    return
                parser.feed(data)
                item = parser.parsed[0] if parser.parsed else None
            self.request_complete = True
            if isinstance(item, LocalResponse):
                response, head = AdminResponse(item.status, item.message), False
            else:
                response, head = self.server.answer(item.method, item.target), item.method == "HEAD"
            self._send_response(response, head)
        except OSError:
            pass
        finally:
            parser.close()
            self.close()

    def _send_response(self, response: AdminResponse, head: bool) -> None:
        """Sends the response and lingers: a close with unread bytes would reset the connection before it is read."""
        body = response.text.encode() + b"\n"
        allow = f"Allow: {response.allowed_method}\r\n" if response.allowed_method else ""
        lines = (
            f"HTTP/1.1 {response.status} {'OK' if response.status < 300 else 'No'}\r\n"
            f"Content-Type: text/plain\r\n{allow}"
        )
        lines += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        self.sock.sendall(lines.encode() + (b"" if head else body))
        self.sock.shutdown(socket.SHUT_WR)
        self.timer.cancel()
        self.timer = Timer(clock() + LINGER_US, self.close)
        while self.sock.recv(READ_CHUNK_BYTES):
            pass
