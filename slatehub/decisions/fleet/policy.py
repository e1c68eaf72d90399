"""What one proxy makes of the sums of all: its part of the nodes' slots, how much of them lies idle, whether the
fleet may still afford further attempts, and which nodes it leaves to another to try. It owns the thresholds. It must
never give more than its clamps allow, whatever it is told, and gives nothing where it is told too little or too late.

Each proxy computes this by itself from the same sums, so that no two need agree on who decides. Where sums differ (a
cut, a lie, news on its way) the parts of all add up to more or less than one by as much as the sums differ."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from heapq import nlargest
from math import exp

from paddlestep.interface import Peers

from .load import Load

MAX_SUM_AGE_US = 3_000_000  # sums that are older count for nothing
COVER = 2 / 3  # of the members that are alive must be in them
MOST_TIMES, LEAST_TIMES = 32.0, 0.5  # a part is within this of an even one
FEW = 2.0  # arrivals a second of each, on average, below which needs tell nothing
EVEN = 2.0  # a need within this of the mean is seen over SLOW_US: arrivals of some seconds scatter by as much
TRIM = 4.0  # a part is at the most so many times, or a part so small, of its need
GAIN = 2.0  # by which it grows a second for each unit by which more is refused here than by all
FORGET_US = 5_000_000  # over which it goes back to 1 once nothing is refused
LOOK_MOST_US = 1_000_000  # of the time since the last look that counts
SLOW_US = 20_000_000
DOUBT = 50.0  # arrivals at the mean rate that each is taken to have had besides its own
SHORT, SHORT_UNTIL = 0.85, 0.7  # of the slots of all in use: short from the one on, until below the other
TRIES = 0.1  # further attempts for each first one, over the fleet
TRIES_AGAIN = 0.08  # from below which there may be more again
FAILED_LEAST = 3.0  # failed calls of late, over the fleet, before a node is left to one proxy to try
FAILED_PART = 0.6  # of the calls that ended there, and twice as many as elsewhere
BARRED_MOST_US = 3_000_000  # without any news of a node it is tried by all again
BEST_US = 60_000_000  # over which the most that a node was seen to serve is forgotten
NODES_US = 5_000_000  # the same of nodes that have gone: what was served of late was served by them too
CLOSER = (
    3.0  # what is told of a call's work may be so many times below what this proxy alone would take it for
)
TRIED_BY = 16  # one of so many proxies tries a node for all: not each has it among those that it sends to


@dataclass(slots=True)
class Barred:
    since: int
    heard: int


@dataclass(frozen=True, slots=True)
class LocalEstimate:
    """What a proxy takes for true by itself: nodes that it may send to, and the microseconds of one that a call takes
    (0: not known yet); of each class its worth for the work."""

    nodes: int = 0
    work: float = 0.0
    values: tuple[float, ...] = ()


NO_ESTIMATE = LocalEstimate()


class FleetPolicy:
    """One proxy's. `name`: its own in the fleet."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.avoided_nodes: dict[int, Barred] = {}
        self.began = self.looked = 0
        self.slow, self.usual = 0.0, 0.0  # arrivals a second, ours and of each on average, over SLOW_US
        self.best, self.best_at = 0.0, 0  # calls a second that a node served at the most, on average of all
        self.nodes = 0.0  # that served of late
        self.share_correction, self.trimmed_at = 1.0, 0
        self.short = False  # all together
        self.spent = False  # the fleet has made as many further attempts as it may

    def evaluate(
        self,
        now: int,
        own: Load,
        fleet: Load | None,
        age_us: int,
        alive: Iterable[str],
        alone: LocalEstimate = NO_ESTIMATE,
    ) -> Peers:
        """`fleet`: the sum of all as last told, `age_us` old; `alive`: the other members'; `alone`: what this proxy
        would go by without them. An event for the module; one that says nothing (`Peers()`) where there is nothing to
        go by."""
        names = sorted({self.name, *alive})
        if fleet is None or age_us > MAX_SUM_AGE_US or fleet.members < COVER * len(names) or len(names) < 2:
            self.avoided_nodes.clear()
            self.spent = self.short = False
            self.share_correction = 1.0  # what was right before a cut need not be after it
            return Peers()
        if self.spent:
            self.spent = fleet.retry_ratio > TRIES_AGAIN
        else:
            self.spent = fleet.retry_ratio > TRIES and fleet.further > 1
        part = self._part(now, own, fleet, len(names))
        idle = max(0.0, min(1.0, 1 - fleet.used / fleet.slots)) if fleet.slots > 0 else 0.0
        barred, work = self._bar(now, fleet, names), self._work(now, fleet, alone)
        return Peers(
            len(names), part, round(idle, 2), not self.spent, barred, self._worth(fleet, alone), work
        )

    def _worth(self, fleet: Load, alone: LocalEstimate) -> float:
        """While all together are short, the mean worth for its work of what is asked of all: the same line at each
        proxy, whatever it is asked itself, and whether or not its own room is short. 0: they are not short."""
        self.short = fleet.used > (SHORT_UNTIL if self.short else SHORT) * fleet.slots
        rated = [(rates[0], value) for rates, value in zip(fleet.classes, alone.values, strict=False)]
        asked = sum(rate for rate, _ in rated)
        return sum(rate * value for rate, value in rated) / asked if self.short and asked else 0.0

    def _work(self, now: int, fleet: Load, alone: LocalEstimate) -> float:
        """Microseconds of a node that a call takes: a node that is never idle serves one in just so long, and one that
        is idle at times fewer, so that the most that was served errs high. What one proxy among many sees is mostly
        the wait behind calls of the others, and a cold node was given half of its budget for it."""
        if not alone.nodes or not alone.work:
            return 0.0
        passed, self.best_at = now - self.best_at, now
        self.nodes = max(float(alone.nodes), self.nodes * exp(-passed / NODES_US))
        self.best = max(fleet.served / self.nodes, self.best * exp(-passed / BEST_US))
        return max(alone.work / CLOSER, min(alone.work, 1e6 / max(1e-6, self.best)))

    def _part(self, now: int, own: Load, fleet: Load, count: int) -> float:
        """By need, not by count: who has ten times the arrivals has ten times the slots, and the others have so much
        fewer: parts that add up to more than one let those who need little crowd out those who need much. 0: an even
        one."""
        times = own.arrivals * count / max(fleet.arrivals, own.arrivals, 1e-9)
        slowly = self._slowly(now, own.arrivals, max(fleet.arrivals, own.arrivals) / count)
        if fleet.arrivals < FEW * count:
            return 0.0
        times = (slowly if 1 / EVEN <= times <= EVEN else times) * self._trimmed(now, own, fleet)
        return max(LEAST_TIMES / count, min(times / count, MOST_TIMES / count, 1.0))

    def _trimmed(self, now: int, own: Load, fleet: Load) -> float:
        """By how much more than its need a proxy may have, which has to refuse more of its callers than all do on
        average, or less. Guards against high worth refused at one proxy while another takes low: few calls scatter
        more, so that a small proxy's bound is wider for its need than a large one's."""
        passed, self.trimmed_at = min(LOOK_MOST_US, now - self.trimmed_at), now
        if fleet.refused < 1:
            self.share_correction += (1 - self.share_correction) * passed / FORGET_US
            return self.share_correction
        gap = own.refused / max(1e-9, own.arrivals) - fleet.refused / max(1e-9, fleet.arrivals)
        sure = own.arrivals / (own.arrivals + DOUBT / 3)
        self.share_correction = max(
            1 / TRIM,
            min(TRIM, self.share_correction * exp(GAIN * sure * max(-1.0, min(1.0, gap)) * passed / 1e6)),
        )
        return self.share_correction

    def _slowly(self, now: int, own: float, mean: float) -> float:
        """Our arrivals as a multiple of the mean, over a longer time, and the nearer to 1 the fewer they were."""
        if now - self.looked > 2 * MAX_SUM_AGE_US:
            self.began, self.slow, self.usual = now, own, mean
        span = min(SLOW_US, max(1, now - self.began))
        keep = exp((self.looked - now) / span) if self.looked else 0.0
        self.looked = now
        self.slow, self.usual = self.slow * keep + own * (1 - keep), self.usual * keep + mean * (1 - keep)
        return (self.slow * span / 1e6 + DOUBT) / (self.usual * span / 1e6 + DOUBT)

    def _bar(self, now: int, fleet: Load, names: list[str]) -> frozenset[int]:
        """The nodes that this one is to leave alone: over the fleet they fail, and another is to try."""
        failed = sum(node.failed for node in fleet.nodes.values())
        ended = failed + sum(node.served for node in fleet.nodes.values())
        for number, node in fleet.nodes.items():
            held, here = self.avoided_nodes.get(number), node.failed + node.served
            if held and node.served > node.failed:
                del self.avoided_nodes[number]  # whose turn it is has been served
            elif held and node.failed:
                held.heard = now
            elif node.failed >= FAILED_LEAST and node.failed > FAILED_PART * here:
                usual = (failed - node.failed) / max(1.0, ended - here)
                if node.failed > 2 * usual * here:  # never where all are bad alike
                    self.avoided_nodes[number] = Barred(now, now)
        for number in [n for n, held in self.avoided_nodes.items() if now - held.heard > BARRED_MOST_US]:
            del self.avoided_nodes[number]
        return frozenset(n for n in self.avoided_nodes if self.name not in probing_proxies(n, names))

    def nodes_restarted(self, since: Mapping[int, int]) -> None:
        """When nodes last started, as this proxy knows: one that has started since it failed is another one."""
        for number in [n for n, held in self.avoided_nodes.items() if since.get(n, 0) > held.since]:
            del self.avoided_nodes[number]


def probing_proxies(node: int, names: Collection[str]) -> list[str]:
    """Who try this node for all: by rendezvous hash, so that a member more or less moves only what was its own."""
    count = 1 + len(names) // TRIED_BY
    return nlargest(
        count, names, key=lambda name: blake2b(f"{node}\0{name}".encode(), digest_size=8).digest()
    )
