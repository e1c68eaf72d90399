"""A pipe between the greenlet that reads a large body and the one that writes it. It owns the pieces on their way, one
at a time. It must never hold more, and never leave one side waiting for another that has gone."""

from __future__ import annotations

from collections.abc import Callable

from gevent.queue import Empty, Full, Queue

STALL_TIMEOUT_S = 10.0  # for one piece: longer, and that side has gone


def _nothing() -> None: ...


class ReaderClosed(Exception):
    """The other side takes no more."""


class Pipe:
    """`on_leave` is rung once, when the reader has left or has been waited for too long."""

    def __init__(self, on_leave: Callable[[], None]) -> None:
        self.pieces: Queue[bytes | None] = Queue(1)
        self.on_reader_closed: Callable[[], None] | None = on_leave  # None: the reader has left
        self.over = False

    def write_chunk(self, piece: bytes | None) -> None:
        """The next piece; b"": that was all; None: it breaks off here. Waits while the one before is still there.
        ReaderClosed where nobody takes it."""
        if self.on_reader_closed is None:
            raise ReaderClosed
        try:
            self.pieces.put(piece, timeout=STALL_TIMEOUT_S)
        except Full:
            self.close()
            raise ReaderClosed from None

    def finish(self) -> None:
        """All has come: the reader may leave now, and nobody needs to know. ReaderClosed as by `write_chunk`."""
        if self.on_reader_closed is not None:
            self.on_reader_closed = _nothing
        self.write_chunk(b"")

    def abort(self) -> None:
        """It breaks off here; what is on its way still arrives."""
        try:
            self.write_chunk(None)
        except ReaderClosed:
            pass

    def read_chunk(self) -> bytes | None:
        """The next piece. After the last, or a break, always that again."""
        if self.over:
            return None
        try:
            piece = self.pieces.get(timeout=STALL_TIMEOUT_S)
        except Empty:
            piece = None
        self.over = not piece
        return piece

    def close(self) -> None:
        ring, self.on_reader_closed = self.on_reader_closed, None
        if ring:
            ring()
