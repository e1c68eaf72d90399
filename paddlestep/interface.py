"""The interface of a Balancer: settings, events and actions.

Times are whole microseconds of a clock chosen by the caller, which must not run backwards. Endpoints are numbers
chosen by the caller (the wire codec packs address and port into one); the Balancer only compares and sorts them.
Classes, tenants, zones and machine kinds are indexes into the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class Effect(Enum):
    """The effect of executing a request of this class more than once."""

    SAFE = "safe"  # may be executed any number of times
    KEYED = "keyed"  # one group of endpoints drops repeats for a limited time
    UNSAFE = "unsafe"  # must not be executed twice


class Scope(Enum):
    """The endpoints that drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Status(IntEnum):
    """The outcome of an attempt or a probe. The comments say whether the request may have been executed."""

    OK = 0
    ERROR = 5  # maybe
    FULL = 11  # no
    RESET = 104  # maybe
    CONNECT_FAILED = 111  # no
    TIMEOUT = 110  # maybe, or it is still running
    MOOT = 114  # no, it was not sent
    CANCELLED = 125  # maybe

    @property
    def never_ran(self) -> bool:
        """Whether the request was certainly not executed."""
        return self in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class State(IntEnum):
    """The state of an endpoint according to discovery."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(IntEnum):
    """The contents of a ListUpdate."""

    FAILED = 1  # no entries: a call to discovery failed or the subscription broke
    CACHED = 2  # the whole list as last known, possibly stale
    DELTA = 3  # changed entries only
    FULL = 4  # the whole list; endpoints that it lacks are gone


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests."""

    name: str = ""
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.CELL
    memory_us: int = 0  # how long repeats of a keyed request are dropped
    aim_us: int = 1_000_000  # answers within this time earn the full worth
    deadline_us: int = 1_000_000
    worth: float = 1.0
    late_worth: float = 0.0
    streamed: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer and the request rate over all sidecars that is within its share."""

    name: str = ""
    share: float = 1.0
    allowance_per_s: float = 0.0  # 0: no limit


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of a Balancer. `NewSettings` replaces them at run time."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    me: int = 0
    siblings: int = 1  # sidecars that send to the same tier, this one included
    zone: int = 0
    tier: int = 0  # index of the tier this sidecar sends to
    tiers: int = 1
    passes_deadline: bool = True
    pushed_discovery: bool = True
    tick_us: int = 1_000
    max_attempts: int = 3
    may_cancel: bool = False
    may_duplicate: bool = False
    may_probe: bool = False
    may_tell_peers: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    report_columns: tuple[str, ...] = ()
    over_share_worth: float = 1.0
    answer_slack_us: int = 0
    drain_grace_us: int = 0
    ask_every_us: int = 10_000_000
    cold_from: float = 1.0
    warm_after_us: int = 0
    fall_multiple: float = 1.0
    tip_after_us: int = 1_000_000


@dataclass(frozen=True, slots=True)
class Entry:
    """One endpoint of the list."""

    endpoint: int
    state: State = State.READY
    since_us: int = 0  # time of its last start; 0: long ago
    weight: float = 1.0
    cell: int = 0
    kind: int = 0
    zone: int = 0


# ---------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A list of endpoints, or a failure, from discovery."""

    kind: ListKind
    version: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A new request. It must get exactly one final answer."""

    request: int
    cls: int
    tenant: int = 0
    key: int = 0
    left_us: int = 0  # time left until the client abandons this attempt
    hint_us: int | None = None  # expected work, if the client gives it
    repeat: bool = False  # marked by the client as a retry
    write: bool = False
    kept: bool = False  # returns at the time it was advised to retry
    reserve: int = 0  # capacity to keep free for requests advised to retry now


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The answer of a streamed class has begun; from here on only the client ends the attempt."""

    request: int
    attempt: int
    endpoint: int
    latency_us: int = 0


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt. Each Send gets exactly one Outcome."""

    request: int
    attempt: int
    endpoint: int
    status: Status
    latency_us: int
    closed: bool  # whether the request has ended, with this outcome or before
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client disconnected early; no final answer is needed."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that a SetTimer asked for has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a Probe."""

    endpoint: int
    status: Status
    latency_us: int
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from a sibling."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class NewSettings:
    """Settings that were read again. Known classes and tenants keep their indexes; new ones follow."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Peers:
    """A summary of the load reports of all siblings. `slatehub.decisions.fleet` computes and clamps it. It is valid
    until the next one; an empty one ends it, and the Balancer then decides from its own observations alone."""

    alive: int = 0  # live siblings, including this sidecar; 0: unknown
    part: float = 0.0  # this sidecar's fraction of the servers' slots, by need; 0: an equal one
    idle: float = 0.0  # idle fraction of the slots of all siblings
    further: bool = True  # whether the common retry budget allows more retries
    barred: frozenset[int] = frozenset()  # bad endpoints that another sibling tests
    # Worth per microsecond of service time below which requests are limited, as all siblings are short of capacity;
    # 0: they are not.
    worth: float = 0.0
    work: float = 0.0  # service time of a call in microseconds, over all siblings; 0: unknown


Event = (
    ListUpdate
    | Arrival
    | StreamStarted
    | Outcome
    | ClientGone
    | TimerFired
    | Probed
    | PeerMessage
    | NewSettings
    | Peers
)

# ---------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order of their Sends."""

    request: int
    endpoint: int
    timeout_us: int = 0  # 0: until the deadline of the client


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: refused. A retry is safe."""

    request: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed. The request may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Abandon an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired with this token after a delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint; a Probed event reports the result."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Subscribe to changes of the list of endpoints, or unsubscribe."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators' log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | Watch | Log
