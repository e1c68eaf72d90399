"""How callers are let go without a stop: by an operator's drain, or because another process has taken over. Whether
answers end their connection, and from when on idle connections are let go. Pure; the front asks it. It must never be
undone by anything but the word of who asked for it.

The platform (the operators' page): the front goes on sending new connections for 0.3 s, callers use connections that
stay open, and 4 s after the call none may rest here, nor carry a request that came in the last 2 s of these. A process
that has been taken over from lives for 3.7 s more, and what comes then has less time than its callers would wait."""

from __future__ import annotations

LET_GO_US = (
    1_500_000  # from the call until idle connections are closed: 0.5 s before no request may come any more
)
HANDOVER_IDLE_GRACE_US = (
    600_000  # the same where another process has the door: callers at work have had an answer by then
)
FIRST_REQUEST_GRACE_US = 300_000  # for the first request on a connection made after that


class Drain:
    """Off at first. `started_at`: when the call came that is in force; 0: none is. `let_go_us`: from then until
    connections that rest are closed."""

    __slots__ = ("let_go_us", "started_at")

    def __init__(self, let_go_us: int = LET_GO_US) -> None:
        self.started_at = 0
        self.let_go_us = let_go_us

    @property
    def active(self) -> bool:
        return self.started_at > 0

    def start(self, now: int) -> None:
        """A second call while the first is in force gives nobody more time."""
        self.started_at = self.started_at or max(1, now)

    def cancel(self) -> None:
        self.started_at = 0

    def should_close_idle(self, now: int, opened: int, fresh: bool) -> bool:
        """Whether a connection that rests is to be closed: `opened` when it was made, `fresh` while no request has come
        on it, which may then still be on its way."""
        return (
            self.active
            and now - self.started_at >= self.let_go_us
            and (not fresh or now - opened >= FIRST_REQUEST_GRACE_US)
        )
