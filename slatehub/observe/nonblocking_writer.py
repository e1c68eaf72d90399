"""Writes log lines to a file descriptor without blocking. Keeps a non-blocking descriptor of its own for the same file,
and the remainder of a partly written line. Never raises, and never changes the mode of the given descriptor, as other
processes may share it."""

from __future__ import annotations

import os
import select
import socket
import stat
from collections.abc import Callable
from functools import partial

# Returns the number of bytes written; raises OSError where none can be written now.
Write = Callable[[bytes], int]


class NonBlockingWriter:
    """A call takes a whole line of at most PIPE_BUF bytes and returns whether it was accepted. A pipe accepts such a
    line whole or not at all (pipe(7)); of other files that accept a part, the remainder is written before
    the next line."""

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.write_some: Write | None = None
        self.remainder = b""

    def __call__(self, line: bytes) -> bool:
        try:
            if self.write_some is None:
                self.write_some = _open_non_blocking(self.fd)
            if self.remainder:
                self.remainder = self.remainder[self.write_some(self.remainder) :]
            if self.remainder:
                return False
            self.remainder = line[self.write_some(line) :]
            return True
        except (OSError, ValueError):
            return False  # the log has no reader or is closed: the proxy keeps serving


def _open_non_blocking(fd: int) -> Write:
    mode = os.fstat(fd).st_mode
    if stat.S_ISSOCK(mode):  # the systemd journal
        sock = socket.socket(fileno=os.dup(fd))
        return lambda data: sock.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        # O_NONBLOCK on the descriptor itself, or on a dup of it, would apply to every process that shares it, such as
        # the shell or another writer to the same pipe. Opening the file again gives a description of our own.
        try:
            own = os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
            return partial(os.write, own)
        except OSError:  # it belongs to another user, or it has no reader any more
            return partial(_write_if_ready, fd)
    return partial(os.write, fd)


def _write_if_ready(fd: int, data: bytes) -> int:
    """Writes only where there is room for a whole line. Can still block if another process fills the same pipe between
    the two calls."""
    poll = select.poll()
    poll.register(fd, select.POLLOUT)
    if not poll.poll(0):
        raise BlockingIOError
    return os.write(fd, data)
