"""Settings of any customer: generated settings pass the settings reader and start the dispatcher with its balancer,
which keep their rules whatever classes, tenants, limits and costs the settings contain."""

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
from slatehub.core.commands import CancelAttempt, DeliverAnswer, StartAttempt
from slatehub.core.dispatcher import Dispatcher
from slatehub.core.jobs import Answer, AnswerStatus, Attempt, Job
from slatehub.core.recovery import RecoveryConfig
from slatehub.settings.reader import ProxyConfig, load_config

ROOT = Path(__file__).parents[1]
NAME = st.text(st.characters(codec="utf-8", categories=["L", "N", "P", "S", "Zs"]), min_size=1, max_size=12)
MS = 1_000
S = 1_000_000

SERVICE = st.fixed_dictionaries(
    {
        "name": NAME,
        "idempotency": st.sampled_from(["retryable", "fragile", "dedup"]),
        "slo_us": st.integers(1, 30 * S),
        "hard_limit_us": st.integers(1, 60 * S),
    },
    optional={"points": st.floats(0, 1000), "memory_span_us": st.integers(0, 10 * S)},
)
TENANT = st.fixed_dictionaries(
    {"name": NAME}, optional={"share": st.floats(0, 1), "allowance_per_s": st.floats(0, 10_000)}
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
        "services": st.lists(SERVICE, min_size=1, max_size=12, unique_by=lambda service: service["name"]),
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
        "stages": st.lists(NAME, min_size=1, max_size=4, unique=True),
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


def load_tree(tree: dict[str, Any]) -> ProxyConfig:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        config = {
            "name": "n",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "seed": "7",
            "settings": tree,
        }
        path.write_text(json.dumps(config))
        return load_config({"EDGE_CONFIG": str(path)})


class ClientStub:
    def answer(self, job: Job, answer: Answer) -> None:
        raise AssertionError("the dispatcher itself delivers nothing")

    def may_begin(self, job: Job) -> bool:
        return True


class ProxySimulation:
    """A dispatcher under these settings on virtual time; every event is derived from the seed."""

    def __init__(self, config: ProxyConfig, seed: int) -> None:
        self.settings, self.rng, self.now = config.settings, Random(seed), 50 * S
        self.dispatcher = Dispatcher(config.settings, config.seed, config.max_open, RecoveryConfig())
        self.in_flight: list[Attempt] = []
        self.jobs: list[Job] = []
        self.answers: dict[str, list[AnswerStatus]] = {}
        self.disconnected: set[str] = set()
        self.attempts: dict[str, list[Attempt]] = {}
        self.statuses: dict[int, Status] = {}
        self.states = {node: State.READY for node in range(1, 5)}
        self.dispatcher.update_nodes(self.now, ListKind.CACHED, 1, tuple(Entry(node) for node in self.states))
        self.run_commands()

    def run_commands(self) -> None:
        while self.dispatcher.pending_events or self.dispatcher.commands:
            for command in self.dispatcher.take_commands():
                if isinstance(command, DeliverAnswer):
                    self.answers[command.job.request_id].append(command.answer.status)
                elif isinstance(command, StartAttempt):
                    self.start_attempt(command.attempt)
                elif isinstance(command, CancelAttempt) and not command.attempt.finished:
                    self.end_attempt(command.attempt, Status.CANCELLED)
            if self.dispatcher.pending_events:
                self.dispatcher.process_batch(self.now)

    def start_attempt(self, attempt: Attempt) -> None:
        """Checks the rules for starting an attempt."""
        job = attempt.job
        earlier = self.attempts.setdefault(job.request_id, [])
        assert (
            not job.answered
            and job.request_id not in self.disconnected
            and len(earlier) < self.settings.max_attempts
        )
        assert self.states[attempt.endpoint] is State.READY
        if self.settings.classes[job.cls].effect is not Effect.SAFE:
            assert all(a.finished and self.statuses[id(a)].never_ran for a in earlier), (
                "a request that may have run is sent again"
            )
        elif not self.settings.may_duplicate:
            assert all(a.finished for a in earlier), (
                "a concurrent attempt although duplicates are not allowed"
            )
        earlier.append(attempt)
        self.in_flight.append(attempt)

    def end_attempt(self, attempt: Attempt, status: Status) -> None:
        self.in_flight.remove(attempt)
        self.statuses[id(attempt)] = status
        self.dispatcher.attempt_ended(self.now, attempt, status, (), "print")

    def step(self) -> None:
        action = self.rng.choice(
            ["request"] * 4
            + ["end attempt"] * 4
            + ["pass time"] * 3
            + ["disconnect", "node list", "list failed"]
        )
        if action == "request":
            cls = self.rng.randrange(len(self.settings.classes))
            tenant = self.rng.randrange(max(1, len(self.settings.tenants)))
            left = self.rng.randrange(1, self.settings.classes[cls].deadline_us + 1)
            name = f"o{len(self.jobs)}"
            self.answers[name] = []
            job = Job(
                name,
                cls,
                tenant,
                self.now + left,
                None,
                ClientStub(),
                self.rng.random() < 0.2,
                fingerprint=cls,
            )
            self.jobs.append(job)
            assert self.dispatcher.submit(self.now, job)
        elif action == "end attempt" and self.in_flight:
            statuses = [Status.OK] * 4 + [
                Status.ERROR,
                Status.FULL,
                Status.RESET,
                Status.TIMEOUT,
                Status.CONNECT_FAILED,
            ]
            self.end_attempt(self.rng.choice(self.in_flight), self.rng.choice(statuses))
        elif action == "pass time":
            self.pass_time(self.rng.choice([100, 5 * MS, 200 * MS, 2 * S]))
        elif action == "disconnect" and (waiting := [job for job in self.jobs if not job.answered]):
            job = self.rng.choice(waiting)
            self.disconnected.add(job.request_id)
            self.dispatcher.caller_disconnected(self.now, job)
        elif action == "node list":
            node, state = (
                self.rng.randrange(1, 5),
                self.rng.choice([State.READY, State.READY, State.DRAINING]),
            )
            self.states[node] = state
            self.dispatcher.update_nodes(
                self.now, ListKind.DELTA, 2, (Entry(node, state, self.rng.choice([0, self.now])),)
            )
        elif action == "list failed":
            self.dispatcher.update_nodes(self.now, ListKind.FAILED)
        self.run_commands()

    def pass_time(self, us: int) -> None:
        end = self.now + us
        for _ in range(10_000):
            due = self.dispatcher.due()
            if due is None or due > end:
                break
            self.now = max(self.now, due)
            self.dispatcher.run_due_timers(self.now)
            self.run_commands()
        else:
            raise AssertionError("the proxy's timers never end")
        self.now = end

    def close(self) -> None:
        """Ends every attempt; then every job must have exactly one answer, or its caller has disconnected."""
        self.pass_time(61 * S)
        for attempt in list(self.in_flight):
            self.end_attempt(attempt, Status.TIMEOUT)
        self.run_commands()
        for job in self.jobs:
            assert len(self.answers[job.request_id]) == (job.request_id not in self.disconnected), (
                job.request_id
            )
        assert (
            not self.dispatcher.job_table.jobs
            and not self.dispatcher.job_table.by_request_id
            and not self.dispatcher.balancer.requests
        )
        assert self.dispatcher.balancer.in_flight == self.dispatcher.balancer.waiting == 0
        assert all(s.in_flight == 0 for s in self.dispatcher.balancer.servers.values())


@hypo(derandomize=True, database=None, deadline=None, max_examples=120)
@given(SETTINGS, st.integers(0, 99))
def test_any_valid_settings_start_the_proxy_and_the_rules_hold(tree: dict[str, Any], seed: int) -> None:
    simulation = ProxySimulation(load_tree(tree), seed)
    for _ in range(120):
        simulation.step()
    simulation.close()
    assert not [
        command for command in simulation.dispatcher.commands if getattr(command, "level", "") == "error"
    ]


SITES = sorted((ROOT / "deploy" / "sites").glob("*/site.toml"))


@pytest.mark.parametrize("site", SITES, ids=lambda path: path.parent.name)
def test_no_name_of_a_customer_is_in_the_program_or_the_deploy_file(site: Path) -> None:
    tree = tomllib.loads(site.read_text())
    names = {tree["name"], *(x["name"] for key in ("tier", "class", "tenant") for x in tree.get(key, ()))}
    names |= {node_kind["name"] for tier in tree["tier"] for node_kind in tier["kind"]} | set(
        tree["net"]["zones"]
    )
    own_names = {
        "job-status",
        "proof-approve",
        "order-place",
        "reprint-order",
        "front-std",
        "press-std",
        "sala-macchine",
    }
    searched = {name for name in names | own_names if "-" in name}
    sources = [
        *ROOT.glob("paddlestep/*.py"),
        *ROOT.glob("slatehub/**/*.py"),
        ROOT / "deploy" / "balancer.toml",
    ]
    for path in sources:
        text = path.read_text()
        assert not [name for name in searched if re.search(rf"\b{re.escape(name)}\b", text)], path


def test_there_are_two_complete_sites() -> None:
    assert len(SITES) >= 2
    for site in SITES:
        assert all((site.parent / name).is_file() for name in ("real.json", "wire.json", "unlock.txt"))
