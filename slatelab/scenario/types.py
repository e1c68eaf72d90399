"""The scenario as typed objects: everything a run needs to know, whichever engine plays it. This file owns the names,
defaults, bounds and cross-checks of the file format; `docs/operators/lab.md` explains it to operators. It must never
read a file or draw a random number: ranges are drawn in `slatelab.plant`."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from .units import LongTime, Rate, Share, Time

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,39}$")]
Count = Annotated[int, Field(ge=0, le=100_000, strict=True)]
Positive = Annotated[int, Field(ge=1, le=100_000, strict=True)]
Factor = Annotated[float, Field(ge=1, le=1000)]
Times = Annotated[float, Field(gt=0, le=100)]
Speed = Times | tuple[Times, Times]


class Part(BaseModel):
    """Base of all: unknown keys are errors, and nothing changes once read."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class About(Part):
    name: Name
    about: str = Field(default="", max_length=2000)
    duration: LongTime  # arrivals come for so long; then what is open is waited for
    warmup: Time = 0  # what is ordered before this does not count in the figures (the judge counts all)
    seed: int = Field(default=1, ge=0, le=2**53, strict=True)
    overload: bool = False  # more is offered than the nodes can carry, on purpose


class Storms(Part):
    """The operator's table of the same name, for all proxies."""

    watch: bool = True
    advice: Literal["appointments", "exponential", "fixed", "none"] = "appointments"
    pace: bool = True  # (engine live; the model paces no connections)


class Proxies(Part):
    """The proxies, all alike. `direct` (engine model only): callers go to a random node themselves, with no limit and
    no second try, as a yardstick."""

    kind: Literal["slatehub", "direct"] = "slatehub"
    attempts: Annotated[int, Field(ge=1, le=20, strict=True)] = 4
    tick: LongTime = 5_000
    cancel: bool = True
    second_copies: bool = True
    probes: bool = True
    retry_after: bool = True
    max_retry_after: Time = 2_000_000
    connect_timeout: LongTime = 150_000
    idle_close: LongTime = 30_000_000
    passes_deadline: bool = (
        True  # nodes call on with the time that is left, not with the class's whole deadline
    )
    over_share_worth: Share = 0.2
    max_open: Positive = 32_768
    memory_mb: Annotated[int, Field(ge=16, le=65_536, strict=True)] = 192
    sockets: Annotated[int, Field(ge=64, le=1_000_000, strict=True)] = 1024
    storms: Storms = Storms()


class Fleet(Part):
    """Proxies of one tier that know each other (model engine). `delay`: one way, on average."""

    peers: bool = False
    share: bool = True  # what each carries is told, and overload handled together; else only who is there
    delay: Time = 300
    lost: Share = 0.0  # of the datagrams, at all times


class Rules(Part):
    """What the judge holds the proxies to."""

    drain_grace: Time = 2_500_000
    fall_multiple: Factor = 3.0
    fall_window: LongTime = 1_500_000
    answer_slack: Time = 50_000
    ask_every: LongTime = 6_000_000  # a change counts as told at the latest so long after it
    fleet_attempts: Annotated[float, Field(ge=0, le=20)] = 0.0  # an order, all proxies together; 0: no limit
    inversions: Share = 0.0  # of the tries, refused while worth less was taken elsewhere; 0: no limit


class Network(Part):
    """One way delays; `jitter` is the share by which one varies up and down."""

    delay: Time = 200
    client_delay: Time = 800
    jitter: Share = 0.2
    handshake_trips: Annotated[float, Field(ge=0, le=10)] = 1.0  # round trips before the first byte


class Discovery(Part):
    delay: Time = 1_000_000  # from a change of a node until the list shows it
    answer: Time = 1_000  # to answer one call
    capacity: Rate = 0.0  # calls a second it can take; 0: as many as come
    timeout: LongTime = 1_000_000  # a call that waited so long for its turn fails


class Work(Part):
    """How much work a request of a class is, in time on one core of speed 1. `cv`: standard deviation over mean."""

    mean: LongTime
    dist: Literal["fixed", "exponential", "lognormal", "pareto"] = "lognormal"
    cv: Annotated[float, Field(ge=0, le=20)] = 1.0
    noise: Share = 0.0  # by which two runs of the same request differ


class Class(Part):
    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0  # of the arrivals, in proportion
    work: Work
    aim: LongTime = 2_500_000
    deadline: LongTime = 6_000_000
    effect: Literal["safe", "unsafe"] = "unsafe"
    worth: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    body: Annotated[int, Field(ge=0, le=65_536, strict=True)] = (
        0  # bytes of a request's body (unsafe classes only)
    )

    @model_validator(mode="after")
    def _sound(self) -> Class:
        if self.aim > self.deadline:
            raise ValueError("aim: later than the deadline")
        if self.effect == "safe" and self.body:
            raise ValueError("body: a safe class is asked with GET and has none")
        return self


class Tenant(Part):
    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0  # of the arrivals, in proportion
    allowance: Rate = 0.0  # beyond it requests are worth less; 0: no limit


class Cold(Part):
    """A node that starts does `from` of its capacity, rising evenly to all of it over `for`; nodes that stand at the
    run's beginning are warm."""

    share: Share = Field(default=1.0, alias="from")
    span: Time = Field(default=0, alias="for")
    falls: bool = True  # one that is sent too much while cold falls over and stays down


class Pause(Part):
    """Garbage collection and the like: all work on the node stands still."""

    every: LongTime
    length: LongTime


class Thrash(Part):
    """Beyond `at` requests in work, each further one takes this share of the node's capacity."""

    at: Positive
    share: Share


class Choke(Part):
    """Overdriven: with more than `at` requests a core held for `over`, the node turns `slower` times slower, until it
    has held fewer than `below` a core for `rest`, or for `most` at the longest."""

    at: Annotated[float, Field(gt=0, le=10_000)]
    over: LongTime
    slower: Factor
    below: Annotated[float, Field(gt=0, le=10_000)] = 0.4
    rest: LongTime = 3_000_000
    most: LongTime = 30_000_000


class Kind(Part):
    """Nodes of one kind. `speed` may be a range, drawn for each node."""

    name: Name
    nodes: Positive
    cores: Annotated[int, Field(ge=1, le=1024, strict=True)] = 1
    speed: Speed = 1.0
    slots: Positive = 32  # requests in work at once, sharing the cores
    waiting: Count = 4  # beyond these: turned away
    cold: Cold = Cold()
    pause: Pause | None = None
    thrash: Thrash | None = None
    choke: Choke | None = None
    errors: Share = 0.0
    connections: Positive = 700
    handshake_work: Time = 0  # a new connection costs so much of it
    drops_cancelled: bool = (
        True  # waiting work is dropped when its caller has left; running work always goes on
    )
    report_every: LongTime = 100_000  # the load report on answers is refreshed so often


class Tier(Part):
    """`work`: the part of a class's work done here for each call. `calls`: how many calls to the next tier one request
    makes, on average, one after another. `proxies` counts for the first tier; in later ones every node of the tier
    before has its own. `skew`: the first proxy of the first tier is handed so many times the callers of another."""

    name: Name
    proxies: Positive = 1
    skew: Annotated[int, Field(ge=1, le=100, strict=True)] = 1
    work: Annotated[float, Field(gt=0, le=100)] = 1.0
    calls: Annotated[float, Field(ge=0, le=20)] = 0.0
    kind: list[Kind] = Field(min_length=1)


class Arrivals(Part):
    """One stream of orders; several add up. `poisson` and `steady` at `rate`; `ramp` from `rate` to `to_rate` over its
    time; `burst`: `size` at once each `every`; `trace`: recorded, one "seconds[,class[,tenant]]" a line of `file`."""

    kind: Literal["poisson", "steady", "ramp", "burst", "trace"]
    rate: Rate = 0.0
    to_rate: Rate = 0.0
    every: Time = 0
    size: Count = 0
    file: str = ""
    start: Time = 0
    end: Time = 0  # 0: until the scenario's duration
    classes: list[Name] = []  # only these; empty: all by their shares
    tenants: list[Name] = []

    @model_validator(mode="after")
    def _sound(self) -> Arrivals:
        needs = {"poisson": ("rate",), "steady": ("rate",), "burst": ("every", "size"), "trace": ("file",)}
        for key in needs.get(self.kind, ()):
            if not getattr(self, key):
                raise ValueError(f"{key}: missing, kind {self.kind!r} needs it")
        if self.kind == "ramp" and not (self.rate or self.to_rate):
            raise ValueError("rate: missing, kind 'ramp' needs it or to_rate")
        if self.end and self.end <= self.start:
            raise ValueError("end: not after start")
        return self


class Clients(Part):
    """How the outside callers behave. Safe orders are tried again after any failure, unsafe ones only after a refusal
    or where nobody took the request (unless `reckless`, which breaks the platform's rules on purpose)."""

    retries: Annotated[int, Field(ge=0, le=50, strict=True)] = 0
    backoff: Literal["none", "fixed", "exponential"] = "exponential"
    base: Time = 200_000
    honour: Share = 1.0  # of the clients that come back when Retry-After says, instead
    patience: Share = 1.0  # a try is given up after this share of the class's deadline
    patience_least: Share | None = None  # drawn evenly from here up to `patience`
    marks_retry: bool = False
    reckless: bool = False
    alike: bool = (
        False  # all orders of a class and tenant ask for the same, so that nobody can tell them apart
    )
    connections: Positive = 512  # the most that are open at once


FAULT_KINDS = (
    "kill", "restart", "freeze", "reset", "black-hole", "slow", "errors", "heavy-tail", "drain", "replace",
    "discovery-down", "discovery-lies", "strip-headers", "proxy-kill", "proxy-stop", "proxy-freeze",
    "proxy-reload", "peer-cut", "peer-mute", "peer-lossy",
)  # fmt: skip


class Fault(Part):
    """One entry of the fault schedule: at `at` (or so long after the fault named `after` has ended) it befalls `nodes`
    nodes or a `share` of the tier (or of its proxies), chosen by the seed, or the nodes named in `names`, one after
    another by `stagger`, for `span` each.

    kill: the process dies, its connections are reset; it starts again cold after `for` (0: never).
    restart: drains for `grace`, ends, and starts cold after `for`.   freeze: answers nothing, connections stay.
    reset: a share `part` of connections break.   black-hole: silent, and new connections never come up.
    slow: by `factor`.   errors: a share `part` of the requests fails at once.
    heavy-tail: a share `part` of the requests (of `cls`, if given) costs `factor` times the work.
    drain: told as draining, serves on for `for`, then ends for good.
    replace: dies, and a new node with a new id starts cold at the same address after `for`.
    discovery-down: answers nothing.   discovery-lies: tells a share `part` of the tier as gone that is not.
    strip-headers: the tier's calls to the next carry the class's whole deadline for the time left, and no marks.
    proxy-kill, proxy-stop: SIGKILL or SIGTERM to proxies of the tier, started again after `for`.
    proxy-freeze: SIGSTOP, and SIGCONT after `for`.
    proxy-reload: SIGHUP with a new configuration.
    peer-cut: proxies of the tier and the others of it no longer hear each other.   peer-mute: they are not heard.
    peer-lossy: a share `part` of the datagrams between proxies of the tier is lost."""

    name: Name = "fault"
    kind: Literal[FAULT_KINDS]  # type: ignore[valid-type]
    at: Time = 0
    after: str = ""
    span: Time = Field(default=0, alias="for")
    tier: str = ""
    nodes: Count = 0
    share: Share = 0.0
    names: list[str] = []
    stagger: Time = 0
    grace: Time = 3_000_000
    factor: Factor = 1.0
    part: Share = 0.0
    cls: str = Field(default="", alias="class")

    @model_validator(mode="after")
    def _sound(self) -> Fault:
        needs = {"slow": ("factor",), "errors": ("part",), "heavy-tail": ("factor", "part")}
        needs["discovery-lies"] = needs["peer-lossy"] = ("part",)
        for key in needs.get(self.kind, ()):
            if getattr(self, key) == type(self).model_fields[key].default:
                raise ValueError(f"{key}: missing, kind {self.kind!r} needs it")
        if not self.kind.startswith("discovery") and not self.tier:
            raise ValueError(f"tier: missing, kind {self.kind!r} needs it")
        chosen = bool(self.nodes) + bool(self.share) + bool(self.names)
        everybody = self.kind.startswith(("discovery", "proxy", "peer")) or self.kind in (
            "strip-headers",
            "heavy-tail",
        )
        if chosen > 1 or not (chosen or everybody):
            raise ValueError("nodes: give one of nodes, share and names")
        return self


class Scenario(Part):
    scenario: About
    proxy: Proxies = Proxies()
    fleet: Fleet = Fleet()
    rules: Rules = Rules()
    network: Network = Network()
    discovery: Discovery = Discovery()
    clients: Clients = Clients()
    classes: list[Class] = Field(alias="class", min_length=1)
    tenants: list[Tenant] = Field(alias="tenant", default=[])
    tiers: list[Tier] = Field(alias="tier", min_length=1)
    arrivals: list[Arrivals] = Field(min_length=1)
    faults: list[Fault] = Field(alias="fault", default=[])

    @model_validator(mode="after")
    def _names(self) -> Scenario:
        """References between the parts; each error begins with the key at fault."""
        for key, names in (
            ("class", [c.name for c in self.classes]),
            ("tenant", [t.name for t in self.tenants]),
            ("tier", [t.name for t in self.tiers]),
            ("tier.kind", [k.name for t in self.tiers for k in t.kind]),
            ("fault.name", [f.name for f in self.faults if f.name != "fault"]),
        ):
            if twice := {n for n in names if names.count(n) > 1}:
                raise ValueError(f"{key}: {sorted(twice)[0]!r} stands twice")
        classes, tenants = {c.name for c in self.classes}, {t.name for t in self.tenants}
        tiers = [t.name for t in self.tiers]
        for i, a in enumerate(self.arrivals):
            for key, named, known in (("classes", a.classes, classes), ("tenants", a.tenants, tenants)):
                if lost := [n for n in named if n not in known]:
                    raise ValueError(f"arrivals.{i}.{key}: no {key[:-1]} is named {lost[0]!r}")
        earlier: set[str] = set()
        for i, f in enumerate(self.faults):
            if f.tier and f.tier not in tiers:
                raise ValueError(f"fault.{i}.tier: no tier is named {f.tier!r}")
            if f.cls and f.cls not in classes:
                raise ValueError(f"fault.{i}.class: no class is named {f.cls!r}")
            if f.after and f.after not in earlier:
                raise ValueError(f"fault.{i}.after: no earlier fault is named {f.after!r}")
            earlier.add(f.name)
        for i, t in enumerate(self.tiers):
            if t.calls and i + 1 == len(self.tiers):
                raise ValueError(f"tier.{i}.calls: there is no further tier to call")
        if self.scenario.warmup >= self.scenario.duration:
            raise ValueError("scenario.warmup: not shorter than the duration")
        return self
