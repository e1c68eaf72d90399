"""Hot restart: a new process finds the running one, takes over its listener and its state. Manages the Unix socket in
$TMPDIR and the link to the other process. The old process stops accepting only once the new one serves, and accepts
again if the new one ends, so that one of them always accepts. A process counts as alive only while it answers."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent import socket

from ..observe.log import log_event
from .link import ProcessLink, Tree
from .messages import SENT_IDS, VERSION, MessageDecoder, MessageError, pack
from .paths import shared_path

HANDSHAKE_TIMEOUT_S = 1.5  # for the old process to answer; its event loop may be busy
OPERATION_TIMEOUT_S = 0.5  # for the other process to apply an operation; an operator's call waits 1 s
MAX_PENDING_HANDSHAKES = 4  # connections that have not yet completed the handshake
MAX_SOCKET_PATH_LENGTH = 100  # of a Unix socket's path; the system's limit is a little above


class RestartHandler(Protocol):
    """What the process provides to its successor or predecessor."""

    def export_state(self) -> Tree:
        """The state for the successor, as a JSON object."""

    def get_listener(self, listen: Any) -> Any:
        """The callers' listener if it is bound to this address; else None."""

    def apply_operation(self, message: Tree) -> int:
        """Applies an operation that the other process received from an operator; returns the HTTP status."""

    def merge_sent_ids(self, request_ids: list[Any]) -> None:
        """Remembers the ids of requests that the other process has sent and that must not run twice."""

    def suspend(self) -> None:
        """Stops accepting: the successor has the listener."""

    def resume(self) -> None:
        """Accepts again: the successor has ended."""

    def set_shared(self, linked: bool) -> None:
        """Sets whether another process is connected, with which the proxy's resource limits are then shared."""


@dataclass(slots=True)
class InheritedState:
    """What a predecessor handed over: its listener (None: the process opens its own) and its state."""

    listener: Any = None
    state: Tree = field(default_factory=dict)


class HotRestart:
    """The hot restart of one process: first as the successor of a running one, then as a predecessor."""

    def __init__(self, name: str, listen: Any, handler: RestartHandler) -> None:
        self.name, self.listen, self.handler = name, list(listen), handler
        self.path = shared_path(name, "sock")
        self.predecessor: ProcessLink | None = None  # link to the older process
        self.successor: ProcessLink | None = None  # link to the newer process
        self.suspended = False
        self.pending_handshakes = 0
        self.sock: Any = None
        self.greenlet: Any = None

    @property
    def is_connected(self) -> bool:
        """Whether another process of this proxy is connected."""
        return self.predecessor is not None or self.successor is not None

    # ------------------------------------------------------------ the new process

    def connect_to_predecessor(self) -> InheritedState | None:
        """Connects to a running process; None if there is none that answers."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
                sock.connect(_bindable_path(self.path))
                sock.sendall(pack({"version": VERSION, "name": self.name, "listen": self.listen}))
                _, fds, _, _ = socket.recv_fds(sock, 1, 1)
                inherited = InheritedState(socket.socket(fileno=fds[0]) if fds else None)
                decoder = MessageDecoder()
                messages = _receive_first(sock, decoder)
        except (OSError, MessageError, gevent.Timeout) as problem:
            sock.close()
            if not isinstance(problem, FileNotFoundError | ConnectionRefusedError):
                log_event("handover", f"the running process does not answer: {problem}", "warning")
            return None
        inherited.state = messages[0]
        self.predecessor = ProcessLink(
            sock, decoder, messages[1:], self._handle_request, self._on_link_closed
        )
        self.handler.set_shared(True)
        log_event("handover", "takes over from the running process")
        return inherited

    def announce_serving(self) -> None:
        """Tells the predecessor that this process serves, so that it stops accepting; then listens for a successor."""
        if self.predecessor and self.predecessor.request({"serving": True}, HANDSHAKE_TIMEOUT_S) is None:
            log_event("handover", "the old process has not confirmed that this one serves", "warning")
        self._listen()

    def _listen(self) -> None:
        """Binds under a temporary name, then renames it over the old socket: no process finds a socket that does not
        listen yet."""
        temporary = self.path.with_suffix(f".{os.getpid()}")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            temporary.unlink(missing_ok=True)
            sock.bind(_bindable_path(temporary))
            sock.listen(4)
            os.replace(temporary, self.path)
        except OSError as problem:
            log_event("handover", f"cannot listen for a successor: {problem}", "error")
            sock.close()
            return
        self._close_listener()
        self.sock = sock
        self.greenlet = gevent.spawn(self._accept, sock)

    def _close_listener(self) -> None:
        if self.sock:
            self.greenlet.kill()
            self.sock.close()
            self.sock = None

    # ------------------------------------------------------------ the old process

    def _accept(self, sock: Any) -> None:
        while True:
            try:
                peer, _ = sock.accept()
            except OSError:
                if sock.fileno() < 0:
                    return
                gevent.sleep(0.05)
                continue
            if self.successor or self.pending_handshakes >= MAX_PENDING_HANDSHAKES:
                peer.close()  # one successor at a time
                continue
            self.pending_handshakes += 1
            gevent.spawn(self._handshake, peer)

    def _handshake(self, peer: Any) -> None:
        """Runs in a greenlet of its own: a silent connection must not block the next process."""
        try:
            self._hand_over(peer)
        except (OSError, MessageError, gevent.Timeout) as problem:
            log_event("handover", f"handing over to a new process failed: {problem}", "warning")
            peer.close()
        finally:
            self.pending_handshakes -= 1

    def _hand_over(self, peer: Any) -> None:
        decoder = MessageDecoder()
        with gevent.Timeout(HANDSHAKE_TIMEOUT_S):
            messages = _receive_first(peer, decoder)
            hello = messages[0]
            if hello.get("version") != VERSION or hello.get("name") != self.name:
                raise MessageError("different protocol version or proxy name")
            if self.successor:
                raise MessageError("another process is already taking over")
            listener = self.handler.get_listener(hello.get("listen"))
            if listener is None:
                peer.sendall(b"N")
            else:
                socket.send_fds(peer, [b"L"], [listener.fileno()])
            # From here on every operation is forwarded, so the state must be the one at the time the link opens.
            state = self.handler.export_state()
            peer.sendall(pack(state))
        self.successor = ProcessLink(peer, decoder, messages[1:], self._handle_request, self._on_link_closed)
        exported = set(state.get(SENT_IDS, ()))
        self.successor.announce(
            [x for x in self.handler.export_state().get(SENT_IDS, ()) if x not in exported]
        )
        self.handler.set_shared(True)
        log_event("handover", "a new process takes over")

    # ------------------------------------------------------------ both

    def _handle_request(self, message: Tree) -> Tree:
        if message.get("serving") is True and self.successor:
            self.suspended = True
            self.handler.suspend()
            self._close_listener()
            return {"ok": True}
        if isinstance(ids := message.get(SENT_IDS), list):
            self.handler.merge_sent_ids(ids)
            return {"ok": True}
        return {"status": self.handler.apply_operation(message)}

    def _on_link_closed(self, link: ProcessLink) -> None:
        if link is self.predecessor:
            self.predecessor = None
            log_event("handover", "the old process has gone")
        elif link is self.successor:
            self.successor = None
            log_event("handover", "the new process has gone", "warning")
            if self.suspended:
                self.suspended = False
                self.handler.resume()
                self._listen()
        if not self.is_connected:
            self.handler.set_shared(False)

    def announce_sent_id(self, request_id: str) -> None:
        """Tells the other process, if there is one, of a request that must not run twice and is being sent."""
        for link in (self.predecessor, self.successor):
            if link:
                link.announce([request_id])

    def forward_operation(self, message: Tree) -> bool:
        """Whether the other process, if there is one, has applied the operation too. A 4xx answer counts: a process
        that does not know the node has nothing to apply."""
        for link in (self.predecessor, self.successor):
            reply = link.request(message, OPERATION_TIMEOUT_S) if link else None
            status = reply.get("status") if reply else None
            if link and link.open and not (isinstance(status, int) and 200 <= status < 500):
                return False
        return True


def _receive_first(sock: Any, decoder: MessageDecoder) -> list[Tree]:
    """Reads the first messages. Raises OSError, and MessageError if the peer closes the connection before."""
    while data := sock.recv(65536):
        if messages := decoder.feed(data):
            return messages
    raise MessageError("the connection closed before the first message")


def _bindable_path(path: Path) -> str:
    """A path to the socket within the system's length limit: a long one goes through a descriptor of its directory,
    which the process keeps open."""
    text = str(path)
    return (
        text
        if len(text) <= MAX_SOCKET_PATH_LENGTH
        else f"/proc/self/fd/{_directory_fd(str(path.parent))}/{path.name}"
    )


@cache
def _directory_fd(path: str) -> int:
    return os.open(path, os.O_RDONLY | os.O_DIRECTORY)
