"""When the input of a connection was sent, as far as this side can tell. The time of a request counts from its last
byte, also where this side has left it in the socket. Pure."""

from __future__ import annotations

# What the systems of both sides may hold of a connection: more than this cannot all have been sent while it lay unread.
MAX_SYSTEM_BUFFER_BYTES = 10 * 1024 * 1024
PAUSE_US = 100_000  # a caller that sends nothing for so long had sent no more than what came before


class ReceiptClock:
    """After input was left unread, what comes without a pause counts as sent when that began. Times are
    microseconds."""

    def __init__(self) -> None:
        self.unread_since = 0  # 0: all that came was received at once
        self._received_bytes = 0  # since then
        self._drained_at = 0  # when the socket was last found empty; 0: it was not

    def left_unread(self, now: int) -> None:
        """Input is left in the socket from now on, or still."""
        if not self.unread_since:
            self.unread_since, self._received_bytes, self._drained_at = now, 0, 0

    def caught_up(self) -> None:
        """All that was sent has been answered: what comes from now on was sent later."""
        self.unread_since = 0

    def received(self, size: int, now: int, drained: bool) -> int:
        """Returns when these bytes were sent at the earliest. `drained`: nothing more was in the socket."""
        is_over = self._received_bytes >= MAX_SYSTEM_BUFFER_BYTES
        if is_over or self._drained_at and now - self._drained_at >= PAUSE_US:
            self.unread_since = 0
        self._received_bytes += size
        self._drained_at = now if drained else 0
        return self.unread_since or now
