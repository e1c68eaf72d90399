"""What a run saw: requests as their clients saw them and executions as the nodes saw them. Judges nothing."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


def now() -> float:
    """Monotonic seconds, the same clock in all processes of a run."""
    return time.monotonic()


@dataclass(slots=True)
class ClientRequest:
    """A request of a client that keeps to the protocol. Times are seconds of `now`; 0: it did not happen."""

    request_id: str
    safe: bool  # whether it may run more than once
    timeout_s: float
    began_at: float = 0.0  # the client began to send it for the first time
    sent_at: float = 0.0  # its last byte was written
    closed_at: float = 0.0  # the client closed its connection before the answer
    unanswered_close_at: float = (
        0.0  # the proxy closed a connection that had carried answers; it was sent once more
    )
    read_and_closed: bool = False  # the proxy read it on a new connection, and closed that with no answer
    answered_at: float = 0.0  # the last byte of the answer arrived
    status: int = 0  # 0: no whole answer
    cut_off_at: float = 0.0  # the connection ended within the answer
    how_it_ended: str = ""  # where there was no whole answer: in words
    foreign: bool = False  # the answer belongs to another request, or is damaged
    must_be_served: bool = False  # nothing in the run is a reason to let it fail; it may be refused at once
    # Over 64 KiB: its first bytes are timed instead of its last. So are those of one that does not state its length.
    long_answer: bool = False


@dataclass(frozen=True, slots=True)
class Execution:
    """A request that a node has received whole. Times are seconds of `now`."""

    request_id: str
    node_id: str
    began_at: float  # its first byte arrived
    received_at: float  # its last byte arrived


@dataclass(slots=True)
class Record:
    """Everything that a run has seen so far."""

    requests: list[ClientRequest] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    deaths: list[float] = field(
        default_factory=list
    )  # of processes of nodes and of the proxy that were killed
    arrivals: list[tuple[float, str]] = field(
        default_factory=list
    )  # a request's first bytes at a node, and its id
