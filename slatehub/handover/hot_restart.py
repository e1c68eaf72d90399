"""One process of a proxy takes over from another: who is there, who holds the door, what goes along. It owns the Unix
socket in $TMPDIR and the link to the other process. It must never say that the old one may rest before the new one
serves, never leave the door to nobody, and never trust that a process lives but by its answer."""

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
from .messages import VERSION, MessageDecoder, MessageError, pack
from .paths import shared_path

HELLO_S = 1.5  # for the old process to answer a new one; its loop may be busy
ACK_S = 0.5  # for the other process to do what an operator asks: a caller waits 1 s
MOST_GREETED = 4  # processes that have connected and not yet said what they are
LONGEST_PATH = 100  # of a Unix socket, by the system


class RestartHandler(Protocol):
    """The process, as its successor or predecessor sees it."""

    def export_state(self) -> Tree:
        """What goes along: JSON."""

    def get_listener(self, listen: Any) -> Any:
        """The callers' listener, if it is the one for this address; else None."""

    def apply_operation(self, tree: Tree) -> int:
        """An operator's call that the other process has been given: the HTTP status."""

    def suspend(self) -> None:
        """The successor has the door."""

    def resume(self) -> None:
        """There is no successor any more."""

    def set_shared(self, linked: bool) -> None:
        """Whether another process lives: what one proxy may hold is shared with it."""


@dataclass(slots=True)
class InheritedState:
    """What a predecessor gave: its listener (None: listen for yourself) and what it holds."""

    listener: Any = None
    state: Tree = field(default_factory=dict)


class HotRestart:
    def __init__(self, name: str, listen: Any, body: RestartHandler) -> None:
        self.name, self.listen, self.handler = name, list(listen), body
        self.path = shared_path(name, "sock")
        self.predecessor: ProcessLink | None = None  # to the process that was there
        self.successor: ProcessLink | None = None  # to the one that takes over
        self.suspended = False
        self.greeted = 0
        self.sock: Any = None
        self.greenlet: Any = None

    @property
    def is_connected(self) -> bool:
        return self.predecessor is not None or self.successor is not None

    # ------------------------------------------------------------ the new process

    def connect_to_predecessor(self) -> InheritedState | None:
        """Asks a process that is already there; None where there is none that answers."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with gevent.Timeout(HELLO_S):
                sock.connect(_short(self.path))
                sock.sendall(pack({"version": VERSION, "name": self.name, "listen": self.listen}))
                _, fds, _, _ = socket.recv_fds(sock, 1, 1)
                estate = InheritedState(socket.socket(fileno=fds[0]) if fds else None)
                words = MessageDecoder()
                trees = _first(sock, words)
        except (OSError, MessageError, gevent.Timeout) as problem:
            sock.close()
            if not isinstance(problem, FileNotFoundError | ConnectionRefusedError):
                log_event("handover", f"the process that is there does not answer: {problem}", "warning")
            return None
        estate.state = trees[0]
        self.predecessor = ProcessLink(sock, words, trees[1:], self._heard, self._ended)
        self.handler.set_shared(True)
        log_event("handover", "takes over from the process that is there")
        return estate

    def announce_serving(self) -> None:
        """This process serves: the old one may let its door rest, and the next one will find this one."""
        if self.predecessor and self.predecessor.request({"serving": True}, HELLO_S) is None:
            log_event("handover", "the process that was there did not hear that this one serves", "warning")
        self._listen()

    def _listen(self) -> None:
        """At a name of its own first, then in the place of the old one: nobody finds half a socket."""
        own = self.path.with_suffix(f".{os.getpid()}")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            own.unlink(missing_ok=True)
            sock.bind(_short(own))
            sock.listen(4)
            os.replace(own, self.path)
        except OSError as problem:
            log_event("handover", f"a next process will not find this one: {problem}", "error")
            sock.close()
            return
        self._hang_up()
        self.sock = sock
        self.greenlet = gevent.spawn(self._accept, sock)

    def _hang_up(self) -> None:
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
            if self.successor or self.greeted >= MOST_GREETED:
                peer.close()  # one at a time
                continue
            self.greeted += 1
            gevent.spawn(self._greet, peer)

    def _greet(self, peer: Any) -> None:
        """In a greenlet of its own: one that connects and says nothing must not keep the next process waiting."""
        try:
            self._give(peer)
        except (OSError, MessageError, gevent.Timeout) as problem:
            log_event("handover", f"a process that wants to take over: {problem}", "warning")
            peer.close()
        finally:
            self.greeted -= 1

    def _give(self, peer: Any) -> None:
        words = MessageDecoder()
        with gevent.Timeout(HELLO_S):
            trees = _first(peer, words)
            hello = trees[0]
            if hello.get("version") != VERSION or hello.get("name") != self.name:
                raise MessageError("of another version or name")
            if self.successor:
                raise MessageError("another one takes over already")
            door = self.handler.get_listener(hello.get("listen"))
            if door is None:
                peer.sendall(b"N")
            else:
                socket.send_fds(peer, [b"L"], [door.fileno()])
            # From here on the other one hears of every call: what it holds must be what was true when the link opened.
            peer.sendall(pack(self.handler.export_state()))
        self.successor = ProcessLink(peer, words, trees[1:], self._heard, self._ended)
        self.handler.set_shared(True)
        log_event("handover", "a new process takes over")

    # ------------------------------------------------------------ both

    def _heard(self, tree: Tree) -> Tree:
        if tree.get("serving") is True and self.successor:
            self.suspended = True
            self.handler.suspend()
            self._hang_up()
            return {"ok": True}
        return {"status": self.handler.apply_operation(tree)}

    def _ended(self, link: ProcessLink) -> None:
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

    def forward_operation(self, tree: Tree) -> bool:
        """Whether the other process, where there is one, has done it too. One that does not know a node that is put
        back has nothing to do."""
        for link in (self.predecessor, self.successor):
            reply = link.request(tree, ACK_S) if link else None
            status = reply.get("status") if reply else None
            if link and link.open and not (isinstance(status, int) and 200 <= status < 500):
                return False
        return True


def _first(sock: Any, words: MessageDecoder) -> list[Tree]:
    """What the other side says first. OSError and MessageError as usual."""
    while data := sock.recv(65536):
        if trees := words.feed(data):
            return trees
    raise MessageError("it has gone without a word")


def _short(path: Path) -> str:
    """A name for the socket that the system takes, however deep the folder lies: through a descriptor of the folder,
    which the process then keeps."""
    text = str(path)
    return text if len(text) <= LONGEST_PATH else f"/proc/self/fd/{_folder(str(path.parent))}/{path.name}"


@cache
def _folder(path: str) -> int:
    return os.open(path, os.O_RDONLY | os.O_DIRECTORY)
