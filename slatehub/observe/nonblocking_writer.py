"""The way out for log lines: a descriptor that is written to without ever waiting. It owns the descriptor's own
non-blocking twin and the end of a line that was taken in part. It must never block, never raise, and never put the
descriptor that others share into another mode."""

from __future__ import annotations

import os
import select
import socket
import stat
from collections.abc import Callable
from functools import partial

Put = Callable[[bytes], int]  # bytes taken; OSError where none can be now


class NonBlockingWriter:
    """Called with a whole line of at most PIPE_BUF bytes: whether it was taken. A pipe takes such a line whole or not
    at all (pipe(7)); of what else takes a part, the rest goes out before the next line."""

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.put: Put | None = None
        self.rest = b""

    def __call__(self, line: bytes) -> bool:
        try:
            if self.put is None:
                self.put = _way(self.fd)
            if self.rest:
                self.rest = self.rest[self.put(self.rest) :]
            if self.rest:
                return False
            self.rest = line[self.put(line) :]
            return True
        except (OSError, ValueError):
            return False  # nobody reads our log, or it is closed: no reason to stop serving


def _way(fd: int) -> Put:
    mode = os.fstat(fd).st_mode
    if stat.S_ISSOCK(mode):  # the journal of systemd
        sock = socket.socket(fileno=os.dup(fd))
        return lambda data: sock.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
    if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
        # O_NONBLOCK on the descriptor itself, or on a dup of it, would hold for all that share it: the shell, or what
        # else writes to the same pipe. Opened anew it is ours alone.
        try:
            own = os.open(f"/proc/self/fd/{fd}", os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY)
            return partial(os.write, own)
        except OSError:  # it belongs to another user, or its reader has gone
            return partial(_write_if_ready, fd)
    return partial(os.write, fd)


def _write_if_ready(fd: int, data: bytes) -> int:
    """Writes only where there is room for a whole line. May block after all where others fill the same pipe between the
    two calls."""
    poll = select.poll()
    poll.register(fd, select.POLLOUT)
    if not poll.poll(0):
        raise BlockingIOError
    return os.write(fd, data)
