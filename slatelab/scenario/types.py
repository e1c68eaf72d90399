"""The scenario as typed objects, with everything that a run in either engine needs. Defines the names, defaults, bounds
and cross-checks of the file format; `docs/operators/lab.md` explains it to operators. Random values within the given
ranges are drawn in `slatelab.plant`."""

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


class ScenarioTable(BaseModel):
    """Base class of all tables: unknown keys are errors, and instances are immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RunInfo(ScenarioTable):
    """Name, description, duration and seed of the scenario."""

    name: Name
    about: str = Field(default="", max_length=2000)
    duration: LongTime  # of the arrivals; the run then waits for open orders
    warmup: Time = 0  # orders due before this are left out of the figures (the judge counts all)
    seed: int = Field(default=1, ge=0, le=2**53, strict=True)
    overload: bool = False  # the offered load exceeds the capacity of the nodes on purpose


class Storms(ScenarioTable):
    """The operator's table of the same name, for all proxies."""

    watch: bool = True
    advice: Literal["appointments", "exponential", "fixed", "none"] = "appointments"
    pace: bool = True  # live engine only; the model does not pace connections


class Proxies(ScenarioTable):
    """Settings of all proxies. `direct` (model engine only): as a baseline, callers send to a random node themselves,
    without limits and without a second attempt."""

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
    # Nodes call the next tier with the time left, not with the class's whole deadline.
    passes_deadline: bool = True
    over_share_worth: Share = 0.2
    max_open: Positive = 32_768
    memory_mb: Annotated[int, Field(ge=16, le=65_536, strict=True)] = 192
    sockets: Annotated[int, Field(ge=64, le=1_000_000, strict=True)] = 1024
    storms: Storms = Storms()


class Fleet(ScenarioTable):
    """Messages between the proxies of a tier (model engine). `delay`: one way, on average."""

    peers: bool = False
    share: bool = True  # proxies exchange their load and handle overload together; else only membership
    delay: Time = 300
    lost: Share = 0.0  # of the datagrams, at all times


class Rules(ScenarioTable):
    """Limits that the judge checks the proxies against."""

    drain_grace: Time = 2_500_000
    fall_multiple: Factor = 3.0
    fall_window: LongTime = 1_500_000
    answer_slack: Time = 50_000
    ask_every: LongTime = 6_000_000  # a proxy counts as informed of a change after this time
    fleet_attempts: Annotated[float, Field(ge=0, le=20)] = 0.0  # per order, all proxies together; 0: no limit
    # Share of attempts refused while orders of lower worth were accepted elsewhere; 0: no limit.
    inversions: Share = 0.0


class Network(ScenarioTable):
    """One-way delays; `jitter` is the share by which a delay varies in both directions."""

    delay: Time = 200
    client_delay: Time = 800
    jitter: Share = 0.2
    handshake_trips: Annotated[float, Field(ge=0, le=10)] = 1.0  # round trips before the first byte


class Discovery(ScenarioTable):
    """Delays and capacity of discovery."""

    delay: Time = 1_000_000  # from a change of a node until it is published
    answer: Time = 1_000  # processing time of one call
    capacity: Rate = 0.0  # calls per second; 0: no limit
    timeout: LongTime = 1_000_000  # a call that is queued for this long fails


class Work(ScenarioTable):
    """The work of a request of a class, as time on one core of speed 1. `cv`: standard deviation divided by mean."""

    mean: LongTime
    dist: Literal["fixed", "exponential", "lognormal", "pareto"] = "lognormal"
    cv: Annotated[float, Field(ge=0, le=20)] = 1.0
    noise: Share = 0.0  # by which calls of one order vary


class Class(ScenarioTable):
    """A class of requests: its share of the arrivals, its work, deadlines and worth."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0  # of the arrivals, in proportion
    work: Work
    aim: LongTime = 2_500_000
    deadline: LongTime = 6_000_000
    effect: Literal["safe", "unsafe"] = "unsafe"
    worth: Annotated[float, Field(gt=0, le=1e6)] = 1.0
    # Bytes of a request's body (unsafe classes only).
    body: Annotated[int, Field(ge=0, le=65_536, strict=True)] = 0

    @model_validator(mode="after")
    def _sound(self) -> Class:
        if self.aim > self.deadline:
            raise ValueError("aim: later than the deadline")
        if self.effect == "safe" and self.body:
            raise ValueError("body: a safe class is asked with GET and has none")
        return self


class Tenant(ScenarioTable):
    """A tenant: its share of the arrivals and its allowance."""

    name: Name
    share: Annotated[float, Field(gt=0, le=1e6)] = 1.0  # of the arrivals, in proportion
    allowance: Rate = 0.0  # requests beyond it have a lower worth; 0: no limit


class Cold(ScenarioTable):
    """Cold start: a started node has the share `from` of its capacity, rising linearly to all of it over `for`. Nodes
    that exist at the beginning of the run are warm."""

    share: Share = Field(default=1.0, alias="from")
    span: Time = Field(default=0, alias="for")
    falls: bool = True  # a node that is overloaded while cold crashes and stays down


class Pause(ScenarioTable):
    """Pauses such as garbage collection, in which all work on the node stops."""

    every: LongTime
    length: LongTime


class Thrash(ScenarioTable):
    """Each request in work beyond `at` reduces the node's capacity by this share."""

    at: Positive
    share: Share


class Choke(ScenarioTable):
    """Slowdown under sustained overload: after more than `at` requests per core for `over`, the node is `slower` times
    slower, until it has held fewer than `below` per core for `rest`, or for at most `most`."""

    at: Annotated[float, Field(gt=0, le=10_000)]
    over: LongTime
    slower: Factor
    below: Annotated[float, Field(gt=0, le=10_000)] = 0.4
    rest: LongTime = 3_000_000
    most: LongTime = 30_000_000


class Kind(ScenarioTable):
    """Nodes of one kind. `speed` may be a range, from which the speed of each node is drawn."""

    name: Name
    nodes: Positive
    cores: Annotated[int, Field(ge=1, le=1024, strict=True)] = 1
    speed: Speed = 1.0
    slots: Positive = 32  # requests in work at the same time, which share the cores
    waiting: Count = 4  # length of the queue; further requests are rejected
    cold: Cold = Cold()
    pause: Pause | None = None
    thrash: Thrash | None = None
    choke: Choke | None = None
    errors: Share = 0.0
    connections: Positive = 700
    handshake_work: Time = 0  # work of accepting a new connection
    # Queued work is dropped when its caller disconnects; running work always continues.
    drops_cancelled: bool = True
    report_every: LongTime = 100_000  # refresh interval of the load report on answers


class Tier(ScenarioTable):
    """`work`: the share of a class's work done in this tier per call. `calls`: average number of calls that a request
    makes to the next tier, one after another. `proxies` applies to the first tier; in later tiers each node of the tier
    before has its own proxy. `skew`: the first proxy of the first tier gets this many times the connections of each
    other one."""

    name: Name
    proxies: Positive = 1
    skew: Annotated[int, Field(ge=1, le=100, strict=True)] = 1
    work: Annotated[float, Field(gt=0, le=100)] = 1.0
    calls: Annotated[float, Field(ge=0, le=20)] = 0.0
    kind: list[Kind] = Field(min_length=1)


class Arrivals(ScenarioTable):
    """One stream of orders; several streams add up. `poisson` and `steady` at `rate`; `ramp` from `rate` to `to_rate`
    over its time; `burst`: `size` orders at once every `every`; `trace`: recorded in `file`, with one
    "seconds[,class[,tenant]]" per line."""

    kind: Literal["poisson", "steady", "ramp", "burst", "trace"]
    rate: Rate = 0.0
    to_rate: Rate = 0.0
    every: Time = 0
    size: Count = 0
    file: str = ""
    start: Time = 0
    end: Time = 0  # 0: until the scenario's duration
    classes: list[Name] = []  # only these; empty: all, weighted by their shares
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


class Clients(ScenarioTable):
    """Behaviour of the external clients. Safe orders are retried after any failure, unsafe ones only after a refusal or
    if no proxy accepted the request (unless `reckless`, which violates the platform's rules on purpose)."""

    retries: Annotated[int, Field(ge=0, le=50, strict=True)] = 0
    backoff: Literal["none", "fixed", "exponential"] = "exponential"
    base: Time = 200_000
    honour: Share = 1.0  # of the clients that retry when Retry-After says, instead of after their backoff
    patience: Share = 1.0  # an attempt is given up after this share of the class's deadline
    patience_least: Share | None = None  # if set, drawn uniformly between this and `patience`
    marks_retry: bool = False
    reckless: bool = False
    # All orders of a class and tenant send identical requests, so a proxy cannot distinguish them.
    alike: bool = False
    connections: Positive = 512  # limit of open connections


FAULT_KINDS = (
    "kill", "restart", "freeze", "reset", "black-hole", "slow", "errors", "heavy-tail", "drain", "replace",
    "discovery-down", "discovery-lies", "strip-headers", "proxy-kill", "proxy-stop", "proxy-freeze",
    "proxy-reload", "peer-cut", "peer-mute", "peer-lossy",
)  # fmt: skip


class Fault(ScenarioTable):
    """One entry of the fault schedule. At `at` (or `at` after the end of the fault named `after`) it affects `nodes`
    nodes or a `share` of the tier (or of its proxies), chosen by the seed, or the targets named in `names`, for `span`
    each; with `stagger` one after another at this interval.

    kill: the process dies and its connections are reset; it starts again, cold, after `for` (0: never).
    restart: drains for `grace`, stops, and starts cold after `for`.   freeze: no answers, connections stay open.
    reset: a share `part` of the connections breaks.   black-hole: no data, new connections are never established.
    slow: slower by `factor`.   errors: a share `part` of the requests fails at once.
    heavy-tail: a share `part` of the requests (of `cls`, if given) costs `factor` times the work.
    drain: published as draining, serves for `for`, then stops and is not started again.
    replace: dies, and a new node with a new id starts cold at the same address after `for`.
    discovery-down: does not answer.   discovery-lies: a share `part` of the tier is falsely published as gone.
    strip-headers: the tier's calls to the next tier carry the class's whole deadline instead of the time left, and no
    marks.
    proxy-kill, proxy-stop: SIGKILL or SIGTERM to proxies of the tier, started again after `for`.
    proxy-freeze: SIGSTOP, and SIGCONT after `for`.
    proxy-reload: SIGHUP with a new configuration.
    peer-cut: no datagrams between the targets and the other proxies of the tier.
    peer-mute: the other proxies of the tier receive no datagrams from the targets.
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
        defaults_to_all = self.kind.startswith(("discovery", "proxy", "peer")) or self.kind in (
            "strip-headers",
            "heavy-tail",
        )
        if chosen > 1 or not (chosen or defaults_to_all):
            raise ValueError("nodes: give one of nodes, share and names")
        return self


class Scenario(ScenarioTable):
    """A whole scenario file."""

    scenario: RunInfo
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
        """Checks references between the tables; each error starts with its key."""
        for key, names in (
            ("class", [c.name for c in self.classes]),
            ("tenant", [t.name for t in self.tenants]),
            ("tier", [t.name for t in self.tiers]),
            ("tier.kind", [k.name for t in self.tiers for k in t.kind]),
            ("fault.name", [f.name for f in self.faults if f.name != "fault"]),
        ):
            if duplicates := {n for n in names if names.count(n) > 1}:
                raise ValueError(f"{key}: {sorted(duplicates)[0]!r} is used twice")
        classes, tenants = {c.name for c in self.classes}, {t.name for t in self.tenants}
        tiers = [t.name for t in self.tiers]
        for i, a in enumerate(self.arrivals):
            for key, named, known in (("classes", a.classes, classes), ("tenants", a.tenants, tenants)):
                if unknown := [n for n in named if n not in known]:
                    raise ValueError(f"arrivals.{i}.{key}: no {key[:-1]} is named {unknown[0]!r}")
        earlier_names: set[str] = set()
        for i, f in enumerate(self.faults):
            if f.tier and f.tier not in tiers:
                raise ValueError(f"fault.{i}.tier: no tier is named {f.tier!r}")
            if f.cls and f.cls not in classes:
                raise ValueError(f"fault.{i}.class: no class is named {f.cls!r}")
            if f.after and f.after not in earlier_names:
                raise ValueError(f"fault.{i}.after: no earlier fault is named {f.after!r}")
            earlier_names.add(f.name)
        for i, t in enumerate(self.tiers):
            if t.calls and i + 1 == len(self.tiers):
                raise ValueError(f"tier.{i}.calls: there is no further tier to call")
        if self.scenario.warmup >= self.scenario.duration:
            raise ValueError("scenario.warmup: not shorter than the duration")
        return self
