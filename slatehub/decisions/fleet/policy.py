"""Derives from the fleet's load sums what one proxy may do: its share of the nodes' slots, how much of them is idle,
whether the fleet may still afford retries, and which nodes are left to other proxies to probe. This module defines the
thresholds. Results stay within fixed bounds whatever the sums say, and without sufficient and recent sums there is no
result.

Each proxy computes this by itself from the same sums, so no coordinator is needed. Where the sums differ (a network
partition, a false report, updates in transit) the shares of all proxies add up to more or less than one by as much as
the sums differ."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nlargest
from math import exp

from paddlestep.interface import Peers

from .load import Load

MAX_SUM_AGE_US = 3_000_000  # older sums are ignored
MIN_COVERAGE = 2 / 3  # part of the living members that the sums must include
MAX_SHARE_FACTOR, MIN_SHARE_FACTOR = 32.0, 0.5  # bounds of a share, as multiples of an even one
MIN_ARRIVALS_PER_S = 2.0  # mean per proxy; with fewer arrivals the differences in demand are not significant
# Demand within this factor of the mean is averaged over SLOW_SPAN_US: counts over a short time vary as much by chance.
EVEN_FACTOR = 2.0
MAX_CORRECTION = 4.0  # the correction multiplies or divides a share by this at most
# Growth of the correction per second for each unit by which the refused part here exceeds that of the fleet.
CORRECTION_GAIN = 2.0
CORRECTION_DECAY_US = 5_000_000  # time over which the correction returns to 1 once nothing is refused
MAX_STEP_US = 1_000_000  # longest time since the last evaluation that one step of the correction counts
SLOW_SPAN_US = 20_000_000  # time over which small differences in demand are averaged
PRIOR_ARRIVALS = 50.0  # arrivals at the mean rate that are added to each proxy's own count
# Fraction of all slots that is in use: a shortage starts above the first value and ends below the second.
SHORTAGE_START, SHORTAGE_END = 0.85, 0.7
MAX_RETRY_RATIO = 0.1  # retries for each first attempt, over the fleet
RESUME_RETRY_RATIO = 0.08  # retries are allowed again below this
MIN_FAILED_CALLS = 3.0  # recent failed calls, over the fleet, before only some proxies probe a node
MIN_FAILED_RATIO = 0.6  # of the calls that ended there; the ratio must also be twice that of the other nodes
MAX_AVOIDED_US = 3_000_000  # without a further failure for so long, all proxies try the node again
BEST_RATE_MEMORY_US = 60_000_000  # time over which the highest rate that nodes served is forgotten
NODE_COUNT_MEMORY_US = 5_000_000  # the same for removed nodes, as they served part of the recent calls, too
# The reported work of a call is at most this many times below this proxy's own estimate.
MAX_WORK_REDUCTION = 3.0
PROXIES_PER_PROBER = 16  # one of so many proxies probes a node, as not every proxy sends to every node


@dataclass(slots=True)
class AvoidedNode:
    """When a node was first avoided, and when its last failure was reported."""

    since: int
    last_failure_at: int


@dataclass(frozen=True, slots=True)
class LocalEstimate:
    """What a proxy estimates by itself: the number of nodes that it may send to, the microseconds of a node's time that
    a call takes (0: not known yet), and for each class its worth per work."""

    nodes: int = 0
    work: float = 0.0
    values: tuple[float, ...] = ()


NO_ESTIMATE = LocalEstimate()


class FleetPolicy:
    """The policy of one proxy. `name`: its own name in the fleet."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.avoided_nodes: dict[int, AvoidedNode] = {}
        self.smoothing_since = self.smoothed_at = 0
        # Arrivals per second, of this proxy and the mean of all, over SLOW_SPAN_US.
        self.own_arrivals, self.mean_arrivals = 0.0, 0.0
        # Most calls per second that a node served, averaged over the nodes.
        self.best_rate, self.best_rate_at = 0.0, 0
        self.serving_nodes = 0.0  # nodes that served recently
        self.share_correction, self.corrected_at = 1.0, 0
        self.shortage = False  # of the slots of the whole fleet
        self.retries_exhausted = False  # the fleet has made as many retries as it may

    def evaluate(
        self,
        now: int,
        own: Load,
        fleet: Load | None,
        age_us: int,
        alive: Iterable[str],
        local: LocalEstimate = NO_ESTIMATE,
    ) -> Peers:
        """`fleet`: the latest sum of all proxies, `age_us` old; `alive`: names of the other members; `local`: what this
        proxy would use without them. Returns an event for the balancer, an empty one (`Peers()`) where the sums do not
        suffice."""
        names = sorted({self.name, *alive})
        if (
            fleet is None
            or age_us > MAX_SUM_AGE_US
            or fleet.members < MIN_COVERAGE * len(names)
            or len(names) < 2
        ):
            self.avoided_nodes.clear()
            self.retries_exhausted = self.shortage = False
            self.share_correction = 1.0  # a value from before a partition need not fit afterwards
            return Peers()
        if self.retries_exhausted:
            self.retries_exhausted = fleet.retry_ratio > RESUME_RETRY_RATIO
        else:
            self.retries_exhausted = fleet.retry_ratio > MAX_RETRY_RATIO and fleet.further > 1
        share = self._share(now, own, fleet, len(names))
        idle = max(0.0, min(1.0, 1 - fleet.used / fleet.slots)) if fleet.slots > 0 else 0.0
        avoided, work = self._avoid_nodes(now, fleet, names), self._work_per_call(now, fleet, local)
        return Peers(
            len(names),
            share,
            round(idle, 2),
            not self.retries_exhausted,
            avoided,
            self._worth_threshold(fleet, local),
            work,
        )

    def _worth_threshold(self, fleet: Load, local: LocalEstimate) -> float:
        """During a shortage, the mean worth per work of all calls that the fleet receives: the same threshold at each
        proxy, whatever calls it receives itself, and whether or not it is short of slots itself. 0: no shortage."""
        self.shortage = fleet.used > (SHORTAGE_END if self.shortage else SHORTAGE_START) * fleet.slots
        rated = [(rates[0], value) for rates, value in zip(fleet.classes, local.values, strict=False)]
        arrivals = sum(rate for rate, _ in rated)
        return sum(rate * value for rate, value in rated) / arrivals if self.shortage and arrivals else 0.0

    def _work_per_call(self, now: int, fleet: Load, local: LocalEstimate) -> float:
        """Microseconds of a node's time that a call takes. A node that is never idle serves one call in that time, and
        a node that is sometimes idle serves fewer calls, so the estimate from the highest rate errs high. What one
        proxy of many observes is mostly the wait behind calls of the others; with that estimate a cold node was given
        half of its budget."""
        if not local.nodes or not local.work:
            return 0.0
        passed, self.best_rate_at = now - self.best_rate_at, now
        self.serving_nodes = max(float(local.nodes), self.serving_nodes * exp(-passed / NODE_COUNT_MEMORY_US))
        self.best_rate = max(
            fleet.served / self.serving_nodes, self.best_rate * exp(-passed / BEST_RATE_MEMORY_US)
        )
        return max(local.work / MAX_WORK_REDUCTION, min(local.work, 1e6 / max(1e-6, self.best_rate)))

    def _share(self, now: int, own: Load, fleet: Load, count: int) -> float:
        """This proxy's share of the slots, by demand: a proxy with ten times the arrivals gets ten times the slots, and
        the others correspondingly fewer. With shares that add up to more than one, proxies that need little would
        crowd out those that need much. 0: an even share."""
        factor = own.arrivals * count / max(fleet.arrivals, own.arrivals, 1e-9)
        smoothed = self._smoothed_factor(now, own.arrivals, max(fleet.arrivals, own.arrivals) / count)
        if fleet.arrivals < MIN_ARRIVALS_PER_S * count:
            return 0.0
        factor = (smoothed if 1 / EVEN_FACTOR <= factor <= EVEN_FACTOR else factor) * self._update_correction(
            now, own, fleet
        )
        return max(MIN_SHARE_FACTOR / count, min(factor / count, MAX_SHARE_FACTOR / count, 1.0))

    def _update_correction(self, now: int, own: Load, fleet: Load) -> float:
        """The factor by which a proxy's share exceeds its demand if it refuses a larger part of its calls than the
        fleet does, or falls below its demand if it refuses a smaller part. Without it one proxy refuses calls of high
        worth while another accepts calls of low worth: few calls scatter more, so a small proxy's limit is wider for
        its demand than a large one's."""
        passed, self.corrected_at = min(MAX_STEP_US, now - self.corrected_at), now
        if fleet.refused < 1:
            self.share_correction += (1 - self.share_correction) * passed / CORRECTION_DECAY_US
            return self.share_correction
        gap = own.refused / max(1e-9, own.arrivals) - fleet.refused / max(1e-9, fleet.arrivals)
        confidence = own.arrivals / (own.arrivals + PRIOR_ARRIVALS / 3)
        self.share_correction = max(
            1 / MAX_CORRECTION,
            min(
                MAX_CORRECTION,
                self.share_correction
                * exp(CORRECTION_GAIN * confidence * max(-1.0, min(1.0, gap)) * passed / 1e6),
            ),
        )
        return self.share_correction

    def _smoothed_factor(self, now: int, own: float, mean: float) -> float:
        """This proxy's arrivals as a multiple of the mean over SLOW_SPAN_US; the fewer they were, the nearer to 1."""
        if now - self.smoothed_at > 2 * MAX_SUM_AGE_US:
            self.smoothing_since, self.own_arrivals, self.mean_arrivals = now, own, mean
        span = min(SLOW_SPAN_US, max(1, now - self.smoothing_since))
        keep = exp((self.smoothed_at - now) / span) if self.smoothed_at else 0.0
        self.smoothed_at = now
        self.own_arrivals, self.mean_arrivals = (
            self.own_arrivals * keep + own * (1 - keep),
            self.mean_arrivals * keep + mean * (1 - keep),
        )
        return (self.own_arrivals * span / 1e6 + PRIOR_ARRIVALS) / (
            self.mean_arrivals * span / 1e6 + PRIOR_ARRIVALS
        )

    def _avoid_nodes(self, now: int, fleet: Load, names: list[str]) -> frozenset[int]:
        """The nodes that this proxy is to avoid: they fail over the whole fleet, and another proxy probes them."""
        failed = sum(node.failed for node in fleet.nodes.values())
        ended = failed + sum(node.served for node in fleet.nodes.values())
        for endpoint, node in fleet.nodes.items():
            avoided, ended_here = self.avoided_nodes.get(endpoint), node.failed + node.served
            if avoided and node.served > node.failed:
                del self.avoided_nodes[endpoint]  # the proxy that probes the node has been served
            elif avoided and node.failed:
                avoided.last_failure_at = now
            elif node.failed >= MIN_FAILED_CALLS and node.failed > MIN_FAILED_RATIO * ended_here:
                elsewhere = (failed - node.failed) / max(1.0, ended - ended_here)
                if node.failed > 2 * elsewhere * ended_here:  # not if all nodes are equally bad
                    self.avoided_nodes[endpoint] = AvoidedNode(now, now)
        for endpoint in [
            n for n, avoided in self.avoided_nodes.items() if now - avoided.last_failure_at > MAX_AVOIDED_US
        ]:
            del self.avoided_nodes[endpoint]
        return frozenset(n for n in self.avoided_nodes if self.name not in probing_proxies(n, names))

    def nodes_restarted(self, started_at: Mapping[int, int]) -> None:
        """`started_at`: when nodes last started, as far as this proxy knows. Failures from before a restart do not
        count against the restarted node."""
        for endpoint in [
            n for n, avoided in self.avoided_nodes.items() if started_at.get(n, 0) > avoided.since
        ]:
            del self.avoided_nodes[endpoint]


def probing_proxies(node: int, names: Collection[str]) -> list[str]:
    """The proxies that probe this node for all others, by rendezvous hashing: a member that joins or leaves changes
    only its own assignments."""
    count = 1 + len(names) // PROXIES_PER_PROBER
    return nlargest(
        count, names, key=lambda name: blake2b(f"{node}\0{name}".encode(), digest_size=8).digest()
    )
