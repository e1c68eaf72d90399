"""The workload of a run: when each order arrives, its class and tenant, and the work of each of its calls.
Contains the arrival processes, the distributions of work and the format of trace files. Everything is drawn
before the run and does not depend on what happens to an order.

Each order has its own random stream, named by its arrival stream and its number in it, so a change to one
arrival stream does not change the orders of the others."""

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

MAX_ORDERS = 1_000_000  # orders of a run
MAX_WORK_US = 24 * 3600 * 1_000_000
MAX_TRACE_BYTES = 64 * 1024 * 1024
MAX_REPORTED_ERRORS = 20  # of one trace file
SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Order:
    """One logical request of a client, over all its attempts. `work_us` is its total work at speed 1, of which each
    tier does a part; `patience_us` is the client's timeout of one attempt; `honours_retry_after`: the client retries
    when Retry-After says."""

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
    """Arrival time of an order; class and tenant are set only if a trace names them."""

    at: int
    cls: int | None = None
    tenant: int | None = None


def generate_orders(scenario: Scenario, random_streams: RandomStreams, folder: Path) -> list[Order]:
    """All orders of the run sorted by time, numbered from 0. `folder` contains the trace files. Raises
    ScenarioError if a trace file is invalid or there are more than MAX_ORDERS orders."""
    streams = [_stream_orders(scenario, random_streams, folder, i) for i in range(len(scenario.arrivals))]
    merged = list(islice(heapq.merge(*streams, key=lambda order: order[0]), MAX_ORDERS + 1))
    if len(merged) > MAX_ORDERS:
        raise ScenarioError([f"{scenario.scenario.name}: arrivals: more than {MAX_ORDERS} orders a day"])
    return [Order(number, *fields) for number, fields in enumerate(merged)]


_Fields = tuple[int, int, int, int, int, bool, int]  # of an Order, without its number


def _stream_orders(
    scenario: Scenario, random_streams: RandomStreams, folder: Path, i: int
) -> Iterator[_Fields]:
    stream = scenario.arrivals[i]
    cls_of = _weighted_choice([(cls.name, cls.share) for cls in scenario.classes], stream.classes)
    tenant_of = _weighted_choice([(tenant.name, tenant.share) for tenant in scenario.tenants], stream.tenants)
    for k, arrival in enumerate(generate_arrivals(scenario, random_streams, folder, i)):
        rng = random_streams.stream("order", i, k)
        # Also drawn if the trace names them, so that the later draws stay the same.
        chosen_cls, chosen_tenant = (
            cls_of(rng),
            tenant_of(rng),
        )
        cls = chosen_cls if arrival.cls is None else arrival.cls
        tenant = chosen_tenant if arrival.tenant is None else arrival.tenant
        yield (
            arrival.at,
            cls,
            tenant,
            sample_work(scenario.classes[cls].work, rng),
            _draw_patience(scenario, cls, rng),
            rng.random() < scenario.clients.honour,
            rng.getrandbits(52),
        )


def _weighted_choice(parts: list[tuple[str, float]], names: list[str]) -> Callable[[random.Random], int]:
    """A function that draws an index into `parts`, weighted by the shares, among the parts in `names` (all if it is
    empty); 0 if there are none."""
    indexes = [i for i, (name, _) in enumerate(parts) if not names or name in names]
    cumulative = list(accumulate(parts[i][1] for i in indexes))
    return lambda rng: rng.choices(indexes, cum_weights=cumulative)[0] if indexes else 0


def _draw_patience(scenario: Scenario, cls: int, rng: random.Random) -> int:
    longest = scenario.clients.patience
    shortest = longest if scenario.clients.patience_least is None else scenario.clients.patience_least
    return max(1, round(scenario.classes[cls].deadline * rng.uniform(shortest, longest)))


# ---------------------------------------------------------------- arrival times


def window(scenario: Scenario, stream: Arrivals) -> tuple[int, int]:
    """Start and end of a stream in microseconds; the end is excluded."""
    return stream.start, min(stream.end or scenario.scenario.duration, scenario.scenario.duration)


def generate_arrivals(
    scenario: Scenario, random_streams: RandomStreams, folder: Path, i: int
) -> Iterator[Arrival]:
    """The arrivals of the i-th stream in order, all within its window. Raises ScenarioError if its trace is
    invalid."""
    stream = scenario.arrivals[i]
    start, end = window(scenario, stream)
    if stream.kind == "trace":
        arrivals = iter(
            sorted(_read_trace(scenario, i, folder / stream.file), key=lambda arrival: arrival.at)
        )
    else:
        times = (
            _poisson_times(scenario, stream, random_streams.stream("arrivals", i))
            if _is_random(stream)
            else _regular_times(stream)
        )
        arrivals = (Arrival(start + int(us)) for us in times)
    return takewhile(lambda arrival: arrival.at < end, arrivals)


def _is_random(stream: Arrivals) -> bool:
    return stream.kind in ("poisson", "ramp")


def _regular_times(stream: Arrivals) -> Iterator[float]:
    """Endless regular times in microseconds. burst: `size` at 0, `every`, 2 x `every` ...; steady: the first after
    half a gap."""
    if stream.kind == "burst":
        return (k // stream.size * stream.every for k in count())
    return ((k + 0.5) * SECOND / stream.rate for k in count())


def _poisson_times(scenario: Scenario, stream: Arrivals, rng: random.Random) -> Iterator[float]:
    """A Poisson process whose rate changes linearly from `rate` to `to_rate`, by inversion: a process of rate 1 on
    the axis of expected counts, L(t) = r t + g t^2 / 2 with slope g, is mapped back to time (E. Çinlar,
    Introduction to Stochastic Processes, 1975, section 4.7). This form of the root is valid for g = 0 too."""
    span = ((stream.end or scenario.scenario.duration) - stream.start) / SECOND
    first = stream.rate
    slope = (stream.to_rate - first) / span if stream.kind == "ramp" else 0.0
    expected = first * span + slope * span * span / 2
    reached = rng.expovariate(1.0)
    while reached < expected:
        yield 2 * reached / (first + math.sqrt(max(0.0, first * first + 2 * slope * reached))) * SECOND
        reached += rng.expovariate(1.0)


# ---------------------------------------------------------------- recorded arrivals


def _read_trace(scenario: Scenario, i: int, path: Path) -> list[Arrival]:
    """Reads a trace: each line is seconds[,class[,tenant]], in seconds from the stream's start; empty lines and
    lines that start with # are skipped. The error has one line for each invalid line of the file."""
    arrivals: list[Arrival] = []
    errors: list[str] = []
    for number, row in _csv_rows(path, i):
        try:
            arrivals.append(_parse_row(scenario, scenario.arrivals[i], row))
        except ValueError as error:
            errors.append(f"{path}: line {number}: {error}")
        if len(errors) == MAX_REPORTED_ERRORS or len(arrivals) > MAX_ORDERS:
            break
    if errors:
        raise ScenarioError(errors)
    return arrivals


def _csv_rows(path: Path, i: int) -> Iterator[tuple[int, list[str]]]:
    try:
        if path.stat().st_size > MAX_TRACE_BYTES:
            raise ScenarioError([f"{path}: arrivals.{i}.file: larger than {MAX_TRACE_BYTES} bytes"])
        with path.open(encoding="utf-8", newline="") as file:
            lines = csv.reader(file, strict=True, quoting=csv.QUOTE_NONE)
            yield from ((lines.line_num, row) for row in lines if row and not row[0].lstrip().startswith("#"))
    except (OSError, ValueError, csv.Error) as error:
        reason = error.strerror if isinstance(error, OSError) else error
        raise ScenarioError([f"{path}: arrivals.{i}.file: cannot be read: {reason}"]) from None


def _parse_row(scenario: Scenario, stream: Arrivals, row: list[str]) -> Arrival:
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
        _index_of("class", cls, [part.name for part in scenario.classes]),
        _index_of("tenant", tenant, [part.name for part in scenario.tenants]),
    )


def _index_of(key: str, name: str, names: list[str]) -> int | None:
    if name and name not in names:
        raise ValueError(f"{key}: no {key} is named {name[:40]!r}")
    return names.index(name) if name else None


# ---------------------------------------------------------------- amount of work


def sample_work(what: Work, rng: random.Random) -> int:
    """One sample in whole microseconds at speed 1, at least 1, with the given mean and coefficient of variation
    (exponential: cv 1, fixed: 0). Lognormal: sigma^2 = ln(1 + cv^2), mu = ln(mean) - sigma^2 / 2 (Johnson, Kotz and
    Balakrishnan, Continuous Univariate Distributions 1, ch. 14). Pareto: cv^2 = 1 / (a (a - 2)), so the shape
    a = 1 + sqrt(1 + 1 / cv^2) is always above 2 and the variance finite; the minimum is mean (a - 1) / a (ibid.,
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
    return min(max(1, round(drawn)), MAX_WORK_US)


def call_work(scenario: Scenario, order_seed: int, order_work_us: int, cls: int, tier: int, path: str) -> int:
    """Work in microseconds at speed 1 of one call at a tier: `path` "" is the client's own request, "2" its third
    call, "2.0" the first call of that one. Calls of an order vary by up to work.noise in both directions; a call
    has the same work each time it is sent."""
    noise = scenario.classes[cls].work.noise
    factor = (
        1 + noise * RandomStreams(order_seed).stream("noise", tier, path).uniform(-1, 1) if noise else 1.0
    )
    return max(1, round(order_work_us * scenario.tiers[tier].work * factor))


def call_count(scenario: Scenario, order_seed: int, tier: int, path: str) -> int:
    """How many calls to the next tier this call makes: tier.calls on average, rounded down or up at random."""
    whole_calls = math.floor(scenario.tiers[tier].calls)
    fraction = scenario.tiers[tier].calls - whole_calls
    return whole_calls + (
        fraction > 0 and RandomStreams(order_seed).stream("calls", tier, path).random() < fraction
    )
