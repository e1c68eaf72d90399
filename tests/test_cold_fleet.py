"""Cold nodes under the load of all proxies, which share nothing: slow start must limit their sum, not each proxy
alone."""

from __future__ import annotations

import pytest
from cold_fleet import Day, S
from helpers import MS, Driver, settings

from paddlestep import Entry

# (nodes, cold nodes, work in us, multiple): a limit of about twelve calls, and one of three
PLANTS = [(4, 4, 200_000, 3.0), (8, 8, 450_000, 3.0)]


@pytest.mark.parametrize("skew", [False, True])
@pytest.mark.parametrize("plant", PLANTS)
@pytest.mark.parametrize("count", [1, 4, 20, 30, 64])
def test_saved_slow_start_credit_of_many_proxies_does_not_overload_a_cold_node(
    count: int, plant: tuple[int, int, int, float], skew: bool
) -> None:
    nodes, cold, work, multiple = plant
    for seed in range(3):
        assert Day(count, seed, True, nodes, cold, work, multiple, skew=skew).excess() <= 0


@pytest.mark.parametrize("told", [18, 22])
def test_the_sum_stays_limited_where_the_number_of_siblings_is_wrong_by_two(told: int) -> None:
    for seed in range(3):
        assert Day(20, seed, True, told=told).excess() <= 0


def test_a_cold_node_is_still_used_by_many_under_steady_load() -> None:
    day = Day(20, 1, False)
    assert day.excess() <= 0 and day.served > 0.75 * day.asked


@pytest.mark.parametrize("idle_s", [0.5, 3, 60])
def test_unused_slow_start_credit_lapses_and_its_phase_stays(idle_s: float) -> None:
    """Ten fleets of thirty proxies with evenly distributed phases. During a pause the proxies of one fleet together
    save at most the calls of half a window, plus one."""
    saved = 0
    for n in range(300):
        entries = [Entry(1, since_us=99 * S), Entry(2)]
        d = Driver(settings(siblings=30, me=n % 30, warm_after_us=1000 * S), entries, seed=n)
        b, cold = d.balancer, d.balancer.servers[1]
        b.service_us, b.samples, cold.slow_start_credit, cold.slow_start_credit_at = (
            200.0 * MS,
            50,
            (n // 30 + 10 * (n % 30)) / 300,
            d.now,
        )
        d.now += int(idle_s * S)
        b.now = d.now
        saved += int(b.accrue_slow_start_credit(cold))
    rate = 0.5 * 2.0 * 0.2 / 0.2  # calls per second of all proxies: half of multiple x capacity / work
    assert saved / 10 == pytest.approx(min(idle_s * rate, 0.5 * rate + 1), abs=0.15)
