"""A pipe from the greenlet that reads a large body to the one that writes it. It holds one chunk at a time, and neither
side waits indefinitely for one that has gone. How long a caller may take for a chunk is the front's decision."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from gevent.queue import Empty, Full, Queue

STALL_TIMEOUT_S = 10.0  # for the writer to pass on a chunk; one that takes longer counts as gone
READER_TIMEOUT_S = (
    180.0  # the same for the reader, which closes the pipe long before if its caller takes nothing
)


def _nothing() -> None: ...


class ReaderClosed(Exception):
    """The reader does not accept any more chunks."""


class Pipe:
    """`on_close` is called once, when the reader closes the pipe or stalls for too long."""

    def __init__(self, on_close: Callable[[], None]) -> None:
        self.chunks: Queue[bytes | None] = Queue(1)
        self.on_reader_closed: Callable[[], None] | None = on_close  # None: the reader has closed
        self.ended = False

    def write_chunk(self, chunk: bytes | None) -> None:
        """Passes on the next chunk: b"" marks the end, None a body that is cut off here. Waits while the previous
        chunk has not been read. Raises ReaderClosed if the reader does not take it."""
        if self.on_reader_closed is None:
            raise ReaderClosed
        try:
            self.chunks.put(chunk, timeout=READER_TIMEOUT_S)
        except Full:
            self._stop_writer()
            raise ReaderClosed from None
        if self.on_reader_closed is None:  # closed while this waited
            raise ReaderClosed

    def finish(self) -> None:
        """Marks the end of the body. The reader may close from now on without a call of `on_close`. Raises ReaderClosed
        as `write_chunk` does."""
        if self.on_reader_closed is not None:
            self.on_reader_closed = _nothing
        self.write_chunk(b"")

    def abort(self) -> None:
        """Marks the body as cut off here; a chunk that is still in the pipe can be read."""
        try:
            self.write_chunk(None)
        except ReaderClosed:
            pass

    def read_chunk(self) -> bytes | None:
        """Returns the next chunk: b"" at the end of the body, None if it was cut off or the writer stalled. Every
        further call returns None."""
        if self.ended:
            return None
        try:
            chunk = self.chunks.get(timeout=STALL_TIMEOUT_S)
        except Empty:
            chunk = None
        self.ended = not chunk
        return chunk

    def close(self) -> None:
        """Called by the reader when it does not read on."""
        self._stop_writer()
        with suppress(Empty):
            self.chunks.get_nowait()  # wakes a writer that waits

    def _stop_writer(self) -> None:
        on_close, self.on_reader_closed = self.on_reader_closed, None
        if on_close:
            on_close()
