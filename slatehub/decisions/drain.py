"""Drains callers' connections without a stop, because an operator asked for it or another process has taken over:
decides whether answers close their connection, and from when on idle connections are closed. Pure; used by the front.
Only the operator or process that started a drain may end it.

The platform (the operators' page): it keeps sending new connections for 0.3 s and callers reuse open connections. 4 s
after the call no connection may be idle here, and none may carry a request that came in the last 2 s of these 4 s. A
process whose listener has been taken over lives for 3.7 s more, and requests that come in that time have less time than
their callers would wait."""

from __future__ import annotations

# From the call until idle connections are closed: 0.5 s before the time from which no request may come.
IDLE_GRACE_US = 1_500_000
# The same after another process has taken over the listener: active callers have had an answer by then.
HANDOVER_IDLE_GRACE_US = 600_000
FIRST_REQUEST_GRACE_US = 300_000  # for the first request on a connection opened after the drain began


class Drain:
    """Inactive at first. `started_at`: when the drain in force began, microseconds; 0: none is in force.
    `idle_grace_us`: time from then until idle connections are closed."""

    __slots__ = ("idle_grace_us", "started_at")

    def __init__(self, idle_grace_us: int = IDLE_GRACE_US) -> None:
        self.started_at = 0
        self.idle_grace_us = idle_grace_us

    @property
    def active(self) -> bool:
        """Whether a drain is in force."""
        return self.started_at > 0

    def start(self, now: int) -> None:
        """Starts the drain. A second call while it is in force does not extend it."""
        self.started_at = self.started_at or max(1, now)

    def cancel(self) -> None:
        """Ends the drain."""
        self.started_at = 0

    def should_close_idle(self, now: int, opened: int, fresh: bool) -> bool:
        """Whether an idle connection is to be closed. `opened`: when it was opened; `fresh`: no request has come on it
        yet, so one may still be in transit."""
        return (
            self.active
            and now - self.started_at >= self.idle_grace_us
            and (not fresh or now - opened >= FIRST_REQUEST_GRACE_US)
        )
