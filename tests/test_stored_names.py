"""Attribute names in flight recordings. A renamed attribute of the decision module that is missing from the table of
stored names would make recordings of earlier builds unreadable, and new recordings unreadable for earlier builds."""

from __future__ import annotations

import ast
import io
import pickle
import pickletools
import random
import re
import shutil
from collections import deque
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from paddlestep import interface
from paddlestep.balance import Attempt, Balancer, Request, Server
from paddlestep.interface import Arrival, Entry, ListKind, ListUpdate, ServiceClass, Settings
from slatehub.observe import flight
from slatehub.observe.stored_names import STORED_NAMES, stored_names
from slatelab.replay import decision_observer, replayer
from slatelab.replay.command import command
from slatelab.replay.module import load

ROOT = Path(__file__).parents[1]
OLD_RECORDING = ROOT / "tests" / "data" / "old_build.flight"  # written before the attributes were renamed
OLD_NAMES = {
    "Attempt": "server sent status",
    "Request": "id cls kind deadline aim attempts open held cancels drop late due",
    "Server": "entry flights slow seen bad ill blamed ejected strikes paused fulls ghosts since credit credit_at purse "
    "home near warm broke down slots free flow counted out told",
    "Balancer": "set rng servers ready near recent slots free flow badness out_count turn requests queue waiting "
    "inflight taken used owners users peers turned unlinked heap order next_look watch_at armed actions now means "
    "bases counts mean count gap sent_at memory wide stretch budget purses let_in value tenants failures",
}
SETTINGS = Settings((ServiceClass("look"),))


def fresh() -> list[Any]:
    server = Server(Entry(1), 0.5, 1)
    request = Request(Arrival(1, 0), SETTINGS.classes[0], 1)
    return [Attempt(server, 1), request, server, Balancer(SETTINGS, 1)]


@pytest.mark.parametrize("one", fresh(), ids=lambda one: type(one).__name__)
def test_every_attribute_has_the_stored_name_of_the_old_build(one: Any) -> None:
    table = STORED_NAMES[type(one).__name__]
    assert stored_names(type(one)) == table
    assert table.keys() <= vars(one).keys()
    assert not table.keys() & set(OLD_NAMES[type(one).__name__].split())
    stored = [table.get(name, name) for name in vars(one)]
    assert len(set(stored)) == len(stored)
    assert stored == OLD_NAMES[type(one).__name__].split()


def test_the_table_lists_exactly_the_four_classes() -> None:
    assert STORED_NAMES.keys() == OLD_NAMES.keys()


# ---------------------------------------------------------------- a recording of the old build


def old_state() -> dict[str, Any]:
    """The state in the old recording, as a reader sees it that has the stored names only."""
    return read_with_stubs(flight.read(OLD_RECORDING).state)


def test_a_recording_of_the_old_build_replays_without_a_difference() -> None:
    read = flight.read(OLD_RECORDING)
    steps = list(replayer.replay_batches(read, "paddlestep"))
    assert len(steps) == len(read.batches) > 40 and all(step.matches for step in steps)


def test_the_state_of_an_old_recording_has_its_values_under_the_new_names() -> None:
    balancer, old = flight.read(OLD_RECORDING).load_balancer(), old_state()
    assert type(balancer) is Balancer and vars(balancer).keys() == vars(Balancer(SETTINGS, 1)).keys()
    assert balancer.settings.classes[0].name == "look" and balancer.settings == old["set"]
    assert balancer.in_flight == old["inflight"] and balancer.ejected_count == old["out_count"]
    assert balancer.class_service_us == old["means"] and balancer.timers == old["heap"]

    assert balancer.servers.keys() == old["servers"].keys() and len(balancer.servers) >= 5
    for endpoint, server in balancer.servers.items():
        assert type(server) is Server and vars(server).keys() == vars(Server(Entry(1), 0.5, 1)).keys()
        before = vars(old["servers"][endpoint])
        for name, stored in STORED_NAMES["Server"].items():
            assert vars(server)[name] == before[stored], name
    servers, now = balancer.servers.values(), balancer.now
    assert any(s.ejected_until > now for s in servers) and any(s.paused_until > now for s in servers)
    assert any(balancer.capacity(s) < 1 for s in servers) and any(s.presumed_dead_at for s in servers)
    assert any(s.abandoned_calls for s in servers) and any(s.class_error_scores for s in servers)
    assert sum(s.in_flight for s in servers) == balancer.in_flight > 0

    assert balancer.requests.keys() == old["requests"].keys()
    for number, request in balancer.requests.items():
        assert type(request) is Request
        before = vars(old["requests"][number])
        for name, stored in STORED_NAMES["Request"].items():
            assert vars(request)[name] == before[stored], name
        for attempt in request.attempts:
            assert type(attempt) is Attempt and attempt.server in servers
    assert sum(r.queued for r in balancer.requests.values()) == balancer.waiting > 0
    assert any(r.attempts for r in balancer.requests.values())

    # Shared references are still shared.
    assert all(r is balancer.requests[r.id] for r in balancer.queue if r.open)
    assert all(s is balancer.servers[s.entry.endpoint] for s in (*balancer.ready, *balancer.preferred))


def test_requests_of_an_old_recording_are_explained_with_their_figures() -> None:
    """The explanation reads attributes and replaces methods by name, and leaves out silently what is missing."""
    names = [name for batch in flight.read(OLD_RECORDING).batches for name in batch.names]
    done = [CliRunner().invoke(command, [str(OLD_RECORDING), "--request", name]) for name in names]
    assert {one.exit_code for one in done} == {0}
    told = "\n".join(one.output for one in done)
    assert "(no figures" not in told and "knows no" not in told
    for moment in (
        "taken in",
        "held",
        "sent",
        "refused",
        "failed",
        "to be tried again",
        "overdue",
        "passed over",
    ):
        assert re.search(rf"^\+\S+ ms, batch \d+: {moment}: .", told, re.MULTILINE), moment
    sums = re.findall(
        r"^  waiting \d+, in flight \d+, room \S+, slots \S+, free \S+, breath \S+, used \S+,", told, re.M
    )
    assert len(sums) >= len(names)


def test_the_explanation_reads_only_attributes_that_the_module_has() -> None:
    """Some of its branches are not reached by the recording."""
    _, request, server, balancer = fresh()
    objects = {"b": balancer, "balancer": balancer, "self.balancer": balancer, "server": server}
    objects |= {"request": request, "one": request}
    tree = ast.parse(Path(decision_observer.__file__).read_text())
    read = {(ast.unparse(n.value), n.attr) for n in ast.walk(tree) if isinstance(n, ast.Attribute)}
    read = {(name, attribute) for name, attribute in read if name in objects}
    assert {name for name, _ in read} == objects.keys() and len(read) > 45
    assert not [(name, attribute) for name, attribute in read if not hasattr(objects[name], attribute)]
    loops = [n.iter for n in ast.walk(tree) if isinstance(n, ast.For) and isinstance(n.iter, ast.Tuple)]
    replaced = [name for loop in loops for name in ast.literal_eval(loop)]
    assert len(replaced) == 6 and all(hasattr(balancer, name) for name in replaced)


# ---------------------------------------------------------------- a recording of this build


class Stub:
    """Any of the four classes in a reader that knows nothing of their attributes."""


class StubReader(pickle.Unpickler):
    def __init__(self, data: bytes) -> None:
        super().__init__(io.BytesIO(data))
        self.classes = {name: type(name, (Stub,), {}) for name in OLD_NAMES}

    def find_class(self, module: str, name: str) -> Any:
        if module == "paddlestep.balance":
            return self.classes[name]
        if module == "paddlestep.interface":
            return getattr(interface, name)
        return {"deque": deque, "Random": random.Random}[name]


def read_with_stubs(state: bytes) -> dict[str, Any]:
    return vars(StubReader(state).load())


def test_a_recording_is_written_with_the_names_of_the_old_build() -> None:
    balancer = flight.read(OLD_RECORDING).load_balancer()
    balancer.handle(balancer.now + 1_000, [ListUpdate(ListKind.DELTA, 9, (Entry(9),))])
    state = flight.serialize_balancer(balancer)
    assert vars(balancer).keys() >= STORED_NAMES["Balancer"].keys()  # it is not changed by the writing

    stub = StubReader(state).load()
    requests = list(stub.requests.values())
    attempts = [attempt for request in requests for attempt in request.attempts]
    for one in (stub, *stub.servers.values(), *requests, *attempts):
        assert list(vars(one)) == OLD_NAMES[type(one).__name__].split()
    assert attempts and stub.out_count == balancer.ejected_count and stub.set == balancer.settings
    assert {n: s.flights for n, s in stub.servers.items()} == {
        n: s.in_flight for n, s in balancer.servers.items()
    }

    strings = {argument for _, argument, _ in pickletools.genops(state) if isinstance(argument, str)}
    old = {name for names in OLD_NAMES.values() for name in names.split()}
    new = {name for table in STORED_NAMES.values() for name in table} - old
    assert not strings & new


def test_a_written_state_reads_back_the_same() -> None:
    balancer = flight.read(OLD_RECORDING).load_balancer()
    again = flight.RestrictedUnpickler(flight.serialize_balancer(balancer), "paddlestep").load()
    for endpoint, server in balancer.servers.items():
        assert vars(again.servers[endpoint]) == vars(server)
    assert {n: r.queued for n, r in again.requests.items()} == {
        n: r.queued for n, r in balancer.requests.items()
    }
    assert again.rng.getstate() == balancer.rng.getstate() and again.timers == balancer.timers


# ---------------------------------------------------------------- other trees


def test_the_names_are_mapped_for_a_copy_of_this_tree(tmp_path: Path) -> None:
    shutil.copytree(
        ROOT / "paddlestep", tmp_path / "paddlestep", ignore=shutil.ignore_patterns("__pycache__")
    )
    read, package = flight.read(OLD_RECORDING), load(tmp_path)
    assert package != "paddlestep"
    assert read.load_balancer(package).in_flight == read.load_balancer().in_flight
    assert all(step.matches for step in replayer.replay_batches(read, package))


def test_nothing_is_mapped_for_a_tree_whose_classes_have_the_stored_names(tmp_path: Path) -> None:
    shutil.copytree(
        ROOT / "paddlestep", tmp_path / "paddlestep", ignore=shutil.ignore_patterns("__pycache__")
    )
    classes = ["from random import Random"]
    for name, attributes in OLD_NAMES.items():
        lines = "".join(f"        self.{attribute} = None\n" for attribute in attributes.split())
        classes.append(f"class {name}:\n    def __init__(self):\n{lines}")
    (tmp_path / "paddlestep" / "balance.py").write_text("\n".join(classes))
    balancer = flight.read(OLD_RECORDING).load_balancer(load(tmp_path))
    assert list(vars(balancer)) == OLD_NAMES["Balancer"].split()
    assert balancer.inflight == flight.read(OLD_RECORDING).load_balancer().in_flight
    for server in balancer.servers.values():
        assert list(vars(server)) == OLD_NAMES["Server"].split()
