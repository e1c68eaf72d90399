"""Settings of any customer: drawn ones are read by the one reader and start the module and the desk, which keep the
rules whatever classes, customers, limits and costs they name."""

from __future__ import annotations

import json
import re
import tempfile
import tomllib
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st

from paddlestep.interface import Effect, Entry, ListKind, State, Status
from slatehub.core.actions import Deliver, Start, Withdraw
from slatehub.core.desk import SalesDesk
from slatehub.core.jobs import Answer, Attempt, Job, Verdict
from slatehub.core.recovery import RecoveryTerms
from slatehub.settings.reader import Plant, load

ROOT = Path(__file__).parents[1]
NAMES = st.text(st.characters(codec="utf-8", categories=["L", "N", "P", "S", "Zs"]), min_size=1, max_size=12)
MS = 1_000
S = 1_000_000

KIND = st.fixed_dictionaries(
    {
        "name": NAMES,
        "idempotency": st.sampled_from(["retryable", "fragile", "dedup"]),
        "slo_us": st.integers(1, 30 * S),
        "hard_limit_us": st.integers(1, 60 * S),
    },
    optional={"points": st.floats(0, 1000), "memory_span_us": st.integers(0, 10 * S)},
)
TENANT = st.fixed_dictionaries(
    {"name": NAMES}, optional={"share": st.floats(0, 1), "allowance_per_s": st.floats(0, 10_000)}
)
SETTINGS = st.fixed_dictionaries(
    {
        "allowed": st.fixed_dictionaries(
            {"max_attempts": st.integers(1, 8)},
            optional={
                "may_cancel": st.booleans(),
                "may_duplicate": st.booleans(),
                "retry_after": st.booleans(),
                "conn_idle_us": st.integers(1, 60 * S),
                "connect_timeout_us": st.integers(1, 5 * S),
                "max_retry_after_us": st.integers(0, 10 * S),
                "max_open": st.integers(1, 500),
            },
        ),  # fmt: skip
        "services": st.lists(KIND, min_size=1, max_size=12, unique_by=lambda k: k["name"]),
        "tenants": st.lists(TENANT, max_size=5, unique_by=lambda t: t["name"]),
        "obligations": st.fixed_dictionaries(
            {
                "answer_slack_us": st.integers(0, S),
                "ask_every_us": st.integers(10 * MS, 600 * S),
                "cold_from": st.floats(0, 1),
                "drain_grace_us": st.integers(0, 5 * S),
                "fall_multiple": st.floats(0, 10),
                "tip_after_us": st.integers(0, 10 * S),
                "warm_after_us": st.integers(0, 60 * S),
            }
        ),  # fmt: skip
        "stages": st.lists(NAMES, min_size=1, max_size=4, unique=True),
        "siblings": st.integers(1, 300),
        "discovery": st.sampled_from(["pushed", "on_request"]),
        "tick_us": st.integers(1, 50 * MS),
    }
).flatmap(
    lambda tree: st.fixed_dictionaries(
        {
            **{key: st.just(value) for key, value in tree.items()},
            "tier": st.integers(0, len(tree["stages"]) - 1),
            "me": st.integers(0, tree["siblings"] - 1),
        }
    )
)


def read(tree: dict[str, Any]) -> Plant:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        whole = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "7",
            "settings": tree,
        }
        path.write_text(json.dumps(whole))
        return load({"EDGE_CONFIG": str(path)})


class Screen:
    def answer(self, job: Job, answer: Answer) -> None:
        raise AssertionError("the desk itself delivers nothing")


class Hours:
    """A proxy at work under these settings, on a clock of its own; every event is drawn from the seed."""

    def __init__(self, plant: Plant, seed: int) -> None:
        self.settings, self.rng, self.now = plant.settings, Random(seed), 50 * S
        self.desk = SalesDesk(plant.settings, plant.seed, plant.max_open, RecoveryTerms())
        self.out: list[Attempt] = []
        self.jobs: list[Job] = []
        self.answers: dict[str, list[Verdict]] = {}
        self.gone: set[str] = set()
        self.began: dict[str, list[Attempt]] = {}
        self.ends: dict[int, Status] = {}
        self.states = {node: State.READY for node in range(1, 5)}
        self.desk.listed(self.now, ListKind.CACHED, 1, tuple(Entry(node) for node in self.states))
        self.settle()

    def settle(self) -> None:
        while self.desk.waiting or self.desk.acts:
            for act in self.desk.take_acts():
                if isinstance(act, Deliver):
                    self.answers[act.job.name].append(act.answer.verdict)
                elif isinstance(act, Start):
                    self.starts(act.attempt)
                elif isinstance(act, Withdraw) and not act.attempt.over:
                    self.ended(act.attempt, Status.CANCELLED)
            if self.desk.waiting:
                self.desk.turn(self.now)

    def starts(self, attempt: Attempt) -> None:
        """The rules, where an attempt begins."""
        job = attempt.job
        before = self.began.setdefault(job.name, [])
        assert not job.answered and job.name not in self.gone and len(before) < self.settings.max_attempts
        assert self.states[attempt.endpoint] is State.READY
        if self.settings.classes[job.cls].effect is not Effect.SAFE:
            assert all(a.over and self.ends[id(a)].never_ran for a in before), (
                "what may have run goes out again"
            )
        elif not self.settings.may_duplicate:
            assert all(a.over for a in before), "a second copy where none is allowed"
        before.append(attempt)
        self.out.append(attempt)

    def ended(self, attempt: Attempt, status: Status) -> None:
        self.out.remove(attempt)
        self.ends[id(attempt)] = status
        self.desk.ended(self.now, attempt, status, (), "print")

    def step(self) -> None:
        what = self.rng.choice(["order"] * 4 + ["end"] * 4 + ["time"] * 3 + ["gone", "list", "failed"])
        if what == "order":
            kind = self.rng.randrange(len(self.settings.classes))
            tenant = self.rng.randrange(max(1, len(self.settings.tenants)))
            left = self.rng.randrange(1, self.settings.classes[kind].deadline_us + 1)
            name = f"o{len(self.jobs)}"
            self.answers[name] = []
            job = Job(name, kind, tenant, self.now + left, None, Screen(), self.rng.random() < 0.2, key=kind)
            self.jobs.append(job)
            assert self.desk.order(self.now, job)
        elif what == "end" and self.out:
            ends = [Status.OK] * 4 + [
                Status.ERROR,
                Status.FULL,
                Status.RESET,
                Status.TIMEOUT,
                Status.CONNECT_FAILED,
            ]
            self.ended(self.rng.choice(self.out), self.rng.choice(ends))
        elif what == "time":
            self.pass_time(self.rng.choice([100, 5 * MS, 200 * MS, 2 * S]))
        elif what == "gone" and (waiting := [job for job in self.jobs if not job.answered]):
            job = self.rng.choice(waiting)
            self.gone.add(job.name)
            self.desk.gone(self.now, job)
        elif what == "list":
            node, state = (
                self.rng.randrange(1, 5),
                self.rng.choice([State.READY, State.READY, State.DRAINING]),
            )
            self.states[node] = state
            self.desk.listed(
                self.now, ListKind.DELTA, 2, (Entry(node, state, self.rng.choice([0, self.now])),)
            )
        elif what == "failed":
            self.desk.listed(self.now, ListKind.FAILED)
        self.settle()

    def pass_time(self, us: int) -> None:
        end = self.now + us
        for _ in range(10_000):
            due = self.desk.due()
            if due is None or due > end:
                break
            self.now = max(self.now, due)
            self.desk.ring(self.now)
            self.settle()
        else:
            raise AssertionError("the proxy spins")
        self.now = end

    def close(self) -> None:
        """Everything ends; every job that came has one answer, or its caller had gone."""
        self.pass_time(61 * S)
        for attempt in list(self.out):
            self.ended(attempt, Status.TIMEOUT)
        self.settle()
        for job in self.jobs:
            assert len(self.answers[job.name]) == (job.name not in self.gone), job.name
        assert not self.desk.ledger.jobs and not self.desk.ledger.names and not self.desk.balancer.requests
        assert self.desk.balancer.in_flight == self.desk.balancer.waiting == 0
        assert all(s.in_flight == 0 for s in self.desk.balancer.servers.values())


@hypo(derandomize=True, database=None, deadline=None, max_examples=120)
@given(SETTINGS, st.integers(0, 99))
def test_any_customers_settings_start_the_proxy_and_the_rules_hold(tree: dict[str, Any], seed: int) -> None:
    hours = Hours(read(tree), seed)
    for _ in range(120):
        hours.step()
    hours.close()
    assert not [act for act in hours.desk.acts if getattr(act, "level", "") == "error"]


SITES = sorted((ROOT / "deploy" / "sites").glob("*/site.toml"))


@pytest.mark.parametrize("site", SITES, ids=lambda path: path.parent.name)
def test_no_name_of_a_customer_stands_in_the_program_or_the_deploy_file(site: Path) -> None:
    tree = tomllib.loads(site.read_text())
    names = {tree["name"], *(x["name"] for key in ("tier", "class", "tenant") for x in tree.get(key, ()))}
    names |= {kind["name"] for tier in tree["tier"] for kind in tier["kind"]} | set(tree["net"]["zones"])
    ours = {
        "job-status",
        "proof-approve",
        "order-place",
        "reprint-order",
        "front-std",
        "press-std",
        "sala-macchine",
    }
    said = {name for name in names | ours if "-" in name}
    sources = [
        *ROOT.glob("paddlestep/*.py"),
        *ROOT.glob("slatehub/**/*.py"),
        ROOT / "deploy" / "balancer.toml",
    ]
    for path in sources:
        text = path.read_text()
        assert not [name for name in said if re.search(rf"\b{re.escape(name)}\b", text)], path


def test_there_are_two_variants_of_our_own() -> None:
    assert len(SITES) >= 2
    for site in SITES:
        assert all((site.parent / name).is_file() for name in ("real.json", "wire.json", "unlock.txt"))
