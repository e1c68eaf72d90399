"""The types of the figures. All of them can be encoded to JSON; shares and goodput are between 0 and 1, and None if
there was nothing to measure."""

from __future__ import annotations

import msgspec


class Latency(msgspec.Struct, frozen=True):
    """Latency of served orders from the intended time of the first attempt to the last byte of the answer, in
    milliseconds with three significant digits. `hdr` is the complete HdrHistogram (1 µs to 120 s; longer values count
    as 120 s) in its V2 compressed base64 form, values in microseconds."""

    count: int = 0
    mean: float = 0.0
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    max: float = 0.0
    hdr: str = ""


class Group(msgspec.Struct, frozen=True):
    """The orders of a class or a tenant after the warm-up. `over` is how many were beyond the tenant's allowance: those
    count in a class's goodput with their reduced worth, and not at all in a tenant's."""

    name: str
    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    over: int
    goodput: float | None
    latency: Latency


class Worst(msgspec.Struct, frozen=True):
    """The class or tenant with the lowest goodput."""

    name: str
    goodput: float


class Window(msgspec.Struct, frozen=True):
    """`seconds` seconds from `start`, both in whole seconds of the run."""

    start: int
    seconds: int
    goodput: float


class Series(msgspec.Struct, frozen=True):
    """One value per second, including the warm-up. Orders count in the second in which their first attempt was due,
    whenever they were answered; attempts at nodes of the first tier count in the second in which they arrived."""

    offered: list[int]
    in_time: list[int]
    late: list[int]
    refused: list[int]
    failed: list[int]
    attempts: list[int]
    worth: list[float]  # requested
    goodput: list[float | None]


class NodeLoad(msgspec.Struct, frozen=True):
    """One value per step of `Figures.load_step` seconds: work that arrived (microseconds at speed 1), attempts that
    arrived, and attempts held at the end of the step. An attempt counts as held until the node answered or ended, or
    the request ended for its caller; a node may continue work whose caller has left."""

    node: str
    tier: int
    work_us: list[int]
    requests: list[int]
    held: list[int]


class Return(msgspec.Struct, frozen=True):
    """Recovery from a fault: after how many seconds the goodput of one second first reached 95 % of the mean before the
    first fault; None if it did not before the arrivals ended."""

    fault: str
    kind: str
    ended: int  # microseconds since the run's epoch
    seconds: int | None


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of a run. `requests` counts orders, each with all its attempts. `served` = `in_time` + `late`. All
    figures except `series`, `nodes` and `returns` leave out orders due before the end of the warm-up."""

    goodput: float | None  # worth answered within the class's aim, divided by the worth requested
    worth: float  # requested
    requests: int
    served: int
    in_time: int
    late: int
    refused: int
    failed: int
    unheard: int  # of `failed`: no attempt was accepted, so class and tenant are unknown; counted with the mean worth
    over_share: int
    attempts: float | None  # at nodes of the first tier, per order
    tries: float | None  # attempts of the client per order
    # Index: attempts at nodes of the first tier for one try; value: number of tries.
    attempts_histogram: list[int]
    tries_histogram: list[int]  # index: tries; value: number of orders
    wasted: float | None  # share of the work at nodes that did not lead to an answer 200 for its caller
    latency: Latency
    classes: list[Group]
    tenants: list[Group]
    worst_class: Worst | None
    worst_tenant: Worst | None
    worst_window: Window | None  # of 10 s, or of the whole time if that is shorter
    returns: list[Return]
    series: Series
    load_step: int  # seconds; 1 except in very large runs
    nodes: list[NodeLoad]
