"""What is asked for in a day: when each order comes, what it is, how much work it makes at each call. This
file owns the arrival processes, the distributions of work and the form of trace files. All is drawn ahead,
and nothing here may depend on how an order fares.

Each order has a random stream of its own, named by its arrival stream and its number in it, so a change to
one stream of arrivals leaves the orders of all others as they were."""

from __future__ import annotations

import csv
import heapq
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate, count, islice, takewhile
from pathlib import Path

from slatelab.scenario import Arrivals, Scenario, ScenarioError
from slatelab.scenario.types import Work

from .random_streams import RandomStreams

MOST = 1_000_000  # orders a day
LONGEST_WORK = 24 * 3600 * 1_000_000
LARGEST_TRACE = 64 * 1024 * 1024
MOST_FAULTS = 20  # of a trace file that are told
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Order:
    """What one client wants, over all its tries. `work_us` is the whole of it at speed 1, of which each tier
    does its part; `patience_us` is how long one try is waited for; `honours_retry_after`: comes back when Retry-After
    says."""

    number: int
    at: int
    cls: int
    tenant: int
    work_us: int
    patience_us: int
    honours_retry_after: bool
    seed: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A moment at which an order comes; class and tenant only where a trace names them."""

    at: int
    cls: int | None = None
    tenant: int | None = None


def generate_orders(scenario: Scenario, draw: RandomStreams, folder: Path) -> list[Order]:
    """All orders of the day by time, numbered from 0. `folder` is where trace files are looked for. Raises
    ScenarioError for a trace file that cannot be used, and where there are more than MOST orders."""
    streams = [_of_stream(scenario, draw, folder, i) for i in range(len(scenario.arrivals))]
    whole = list(islice(heapq.merge(*streams, key=lambda order: order[0]), MOST + 1))
    if len(whole) > MOST:
        raise ScenarioError([f"{scenario.scenario.name}: arrivals: more than {MOST} orders a day"])
    return [Order(number, *fields) for number, fields in enumerate(whole)]


_Fields = tuple[int, int, int, int, int, bool, int]  # of an Order, without its number


def _of_stream(scenario: Scenario, draw: RandomStreams, folder: Path, i: int) -> Iterator[_Fields]:
    stream = scenario.arrivals[i]
    cls_of = _picker([(cls.name, cls.share) for cls in scenario.classes], stream.classes)
    tenant_of = _picker([(tenant.name, tenant.share) for tenant in scenario.tenants], stream.tenants)
    for k, arrival in enumerate(generate_arrivals(scenario, draw, folder, i)):
        rng = draw.stream("order", i, k)
        drawn_cls, drawn_tenant = (
            cls_of(rng),
            tenant_of(rng),
        )  # drawn even where named: the rest stays the same
        cls = drawn_cls if arrival.cls is None else arrival.cls
        tenant = drawn_tenant if arrival.tenant is None else arrival.tenant
        yield (
            arrival.at,
            cls,
            tenant,
            sample_work(scenario.classes[cls].work, rng),
            _patience(scenario, cls, rng),
            rng.random() < scenario.clients.honour,
            rng.getrandbits(52),
        )


def _picker(parts: list[tuple[str, float]], names: list[str]) -> Callable[[random.Random], int]:
    """Draws a place in the list by the shares, among those named (all if none is); 0 if there is nothing to
    draw."""
    places = [i for i, (name, _) in enumerate(parts) if not names or name in names]
    sums = list(accumulate(parts[i][1] for i in places))
    return lambda rng: rng.choices(places, cum_weights=sums)[0] if places else 0


def _patience(scenario: Scenario, cls: int, rng: random.Random) -> int:
    most = scenario.clients.patience
    least = most if scenario.clients.patience_least is None else scenario.clients.patience_least
    return max(1, round(scenario.classes[cls].deadline * rng.uniform(least, most)))


# ---------------------------------------------------------------- when orders come


def window(scenario: Scenario, stream: Arrivals) -> tuple[int, int]:
    """The time of a stream in microseconds, from its start up to but without its end."""
    return stream.start, min(stream.end or scenario.scenario.duration, scenario.scenario.duration)


def generate_arrivals(scenario: Scenario, draw: RandomStreams, folder: Path, i: int) -> Iterator[Arrival]:
    """The moments of the i-th stream in order, all within its window. Raises ScenarioError (trace)."""
    stream = scenario.arrivals[i]
    start, end = window(scenario, stream)
    if stream.kind == "trace":
        made = iter(sorted(_trace(scenario, i, folder / stream.file), key=lambda arrival: arrival.at))
    else:
        times = _poisson(scenario, stream, draw.stream("arrivals", i)) if _random(stream) else _even(stream)
        made = (Arrival(start + int(us)) for us in times)
    return takewhile(lambda arrival: arrival.at < end, made)


def _random(stream: Arrivals) -> bool:
    return stream.kind in ("poisson", "ramp")


def _even(stream: Arrivals) -> Iterator[float]:
    """Without end; burst: `size` at 0, `every`, 2 x `every` ...; steady: the first after half a gap."""
    if stream.kind == "burst":
        return (k // stream.size * stream.every for k in count())
    return ((k + 0.5) * SECOND / stream.rate for k in count())


def _poisson(scenario: Scenario, stream: Arrivals, rng: random.Random) -> Iterator[float]:
    """A Poisson process whose rate goes evenly from `rate` to `to_rate`, by inversion: a process of rate 1 on
    the axis of expected counts, L(t) = r t + g t^2 / 2 with slope g, put back on that of time (E. Çinlar,
    Introduction to Stochastic Processes, 1975, section 4.7). The root is written so that it holds for g = 0
    too."""
    span = ((stream.end or scenario.scenario.duration) - stream.start) / SECOND
    first = stream.rate
    slope = (stream.to_rate - first) / span if stream.kind == "ramp" else 0.0
    expected = first * span + slope * span * span / 2
    reached = rng.expovariate(1.0)
    while reached < expected:
        yield 2 * reached / (first + math.sqrt(max(0.0, first * first + 2 * slope * reached))) * SECOND
        reached += rng.expovariate(1.0)


# ---------------------------------------------------------------- recorded arrivals


def _trace(scenario: Scenario, i: int, path: Path) -> list[Arrival]:
    """Each line is seconds[,class[,tenant]], seconds from the stream's start; empty lines and those with #
    are passed over. One line of the error for each faulty line of the file."""
    found: list[Arrival] = []
    faults: list[str] = []
    for number, row in _rows(path, i):
        try:
            found.append(_row(scenario, scenario.arrivals[i], row))
        except ValueError as problem:
            faults.append(f"{path}: line {number}: {problem}")
        if len(faults) == MOST_FAULTS or len(found) > MOST:
            break
    if faults:
        raise ScenarioError(faults)
    return found


def _rows(path: Path, i: int) -> Iterator[tuple[int, list[str]]]:
    try:
        if path.stat().st_size > LARGEST_TRACE:
            raise ScenarioError([f"{path}: arrivals.{i}.file: larger than {LARGEST_TRACE} bytes"])
        with path.open(encoding="utf-8", newline="") as file:
            lines = csv.reader(file, strict=True, quoting=csv.QUOTE_NONE)
            yield from ((lines.line_num, row) for row in lines if row and not row[0].lstrip().startswith("#"))
    except (OSError, ValueError, csv.Error) as problem:
        reason = problem.strerror if isinstance(problem, OSError) else problem
        raise ScenarioError([f"{path}: arrivals.{i}.file: cannot be read: {reason}"]) from None


def _row(scenario: Scenario, stream: Arrivals, row: list[str]) -> Arrival:
    if len(row) > 3:
        raise ValueError("has more than three fields, seconds[,class[,tenant]]")
    text, cls, tenant = (field.strip() for field in (*row, "", "")[:3])
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds < 1e6:
        raise ValueError(f"seconds: not a time in seconds: {text[:40]!r}")
    return Arrival(
        stream.start + int(seconds * SECOND),
        _place("class", cls, [part.name for part in scenario.classes]),
        _place("tenant", tenant, [part.name for part in scenario.tenants]),
    )


def _place(key: str, name: str, names: list[str]) -> int | None:
    if name and name not in names:
        raise ValueError(f"{key}: no {key} is named {name[:40]!r}")
    return names.index(name) if name else None


# ---------------------------------------------------------------- how much work it is


def sample_work(what: Work, rng: random.Random) -> int:
    """One draw in whole microseconds at speed 1, 1 at least, with the mean and the cv asked for (exponential:
    cv 1, fixed: 0). Lognormal: sigma^2 = ln(1 + cv^2), mu = ln(mean) - sigma^2 / 2 (Johnson, Kotz and
    Balakrishnan, Continuous Univariate Distributions 1, ch. 14). Pareto: cv^2 = 1 / (a (a - 2)), so the shape
    a = 1 + sqrt(1 + 1 / cv^2) is always over 2 and the variance finite; least value mean (a - 1) / a (ibid.,
    ch. 20)."""
    drawn = float(what.mean)
    if what.dist == "exponential":
        drawn = rng.expovariate(1 / what.mean)
    elif what.dist == "lognormal" and what.cv:
        variance = math.log1p(what.cv**2)
        drawn = rng.lognormvariate(math.log(what.mean) - variance / 2, math.sqrt(variance))
    elif what.dist == "pareto" and what.cv:
        shape = 1 + math.sqrt(1 + 1 / what.cv**2)
        drawn = what.mean * (shape - 1) / shape * rng.paretovariate(shape)
    return min(max(1, round(drawn)), LONGEST_WORK)


def call_work(scenario: Scenario, order_seed: int, order_work_us: int, cls: int, tier: int, path: str) -> int:
    """Microseconds at speed 1 of one call at a tier: `path` "" is the client's own request, "2" its third
    call, "2.0" the first call of that. Calls of an order differ by up to work.noise up and down; one call is
    as long each time it is sent."""
    noise = scenario.classes[cls].work.noise
    factor = (
        1 + noise * RandomStreams(order_seed).stream("noise", tier, path).uniform(-1, 1) if noise else 1.0
    )
    return max(1, round(order_work_us * scenario.tiers[tier].work * factor))


def call_count(scenario: Scenario, order_seed: int, tier: int, path: str) -> int:
    """How many calls to the next tier this one makes: tier.calls on average, rounded down or up at random."""
    least = math.floor(scenario.tiers[tier].calls)
    rest = scenario.tiers[tier].calls - least
    return least + (rest > 0 and RandomStreams(order_seed).stream("calls", tier, path).random() < rest)
