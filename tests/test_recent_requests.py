"""An id that comes again after its request may have run is not sent a second time, in this process or in the other one
of an upgrade."""

from __future__ import annotations

from pathlib import Path

import gevent
import pytest
from proxy_rig import build_request, read_response, wait_until
from test_handover import RecordingHandler, restart_rig, start_successor
from test_line import DispatcherRig, run_event_loop

from paddlestep.interface import Effect, Entry, ListKind, ServiceClass, Settings, Status
from slatehub.core.jobs import Job, NodeRequest
from slatehub.core.recent_requests import RecentRequests
from slatehub.core.recovery import OFF
from slatehub.drivers.clock import clock
from slatehub.handover.hot_restart import HotRestart
from slatehub.handover.messages import SENT_IDS


def rig_of(effect: Effect) -> DispatcherRig:
    rig = DispatcherRig()
    rig.driver.apply_settings(Settings((ServiceClass("orders", effect),), may_cancel=True), 100, OFF)
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    run_event_loop()
    return rig


def submit(rig: DispatcherRig, name: str) -> Job | None:
    """The job, if it was accepted."""
    job = Job(name, 0, 0, clock() + 10_000_000, NodeRequest("POST", "/orders", ()), rig)
    accepted = rig.driver.submit(job)
    run_event_loop()
    return job if accepted else None


@pytest.mark.parametrize("status", [Status.OK, Status.RESET, Status.TIMEOUT, Status.CANCELLED])
@pytest.mark.parametrize("ends_first", [False, True])
def test_an_id_that_came_again_after_its_caller_had_left_is_not_sent_twice(
    status: Status, ends_first: bool
) -> None:
    rig = rig_of(Effect.UNSAFE)
    rig.cancel = lambda attempt: None  # type: ignore[method-assign]
    job = submit(rig, "a")
    assert job and len(rig.attempts) == 1
    rig.driver.caller_disconnected(job)
    if ends_first:
        rig.driver.attempt_ended(rig.attempts[0], status)
        run_event_loop()
    assert submit(rig, "a") is None
    rig.driver.attempt_ended(rig.attempts[0], status)
    run_event_loop()
    assert submit(rig, "a") is None and len(rig.attempts) == 1


def test_an_id_whose_request_has_certainly_not_run_may_come_again() -> None:
    rig = rig_of(Effect.UNSAFE)
    rig.cancel = lambda attempt: None  # type: ignore[method-assign]
    job = submit(rig, "a")
    assert job
    rig.driver.caller_disconnected(job)
    rig.driver.attempt_ended(rig.attempts[0], Status.CONNECT_FAILED)
    run_event_loop()
    assert submit(rig, "a") and len(rig.attempts) == 2


def test_an_id_of_a_class_that_is_safe_to_repeat_may_come_again() -> None:
    rig = rig_of(Effect.SAFE)
    job = submit(rig, "a")
    assert job
    rig.driver.caller_disconnected(job)
    run_event_loop()
    assert submit(rig, "a")


def test_the_number_of_ids_is_bounded_and_the_oldest_are_forgotten() -> None:
    recent = RecentRequests(3)
    recent.merge(["a", "b"])
    for name in "cde":
        recent.add(name)
    assert recent.ids() == ["c", "d", "e"] and "a" not in recent


class SharingHandler(RecordingHandler):
    """A process that hands over the ids that it has sent, and records those of the other one."""

    def __init__(self, ids: list[str]) -> None:
        super().__init__()
        self.ids = ids

    def export_state(self) -> dict[str, object]:
        return {**super().export_state(), SENT_IDS: list(self.ids)}

    def merge_sent_ids(self, request_ids: list[str]) -> None:
        self.ids += request_ids


def test_both_processes_of_an_upgrade_learn_what_the_other_has_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    old, new = SharingHandler(["a"]), SharingHandler([])
    first, second = HotRestart("n0", ("127.0.0.1", 1), old), HotRestart("n0", ("127.0.0.1", 1), new)
    first.announce_serving()
    inherited = second.connect_to_predecessor()
    assert inherited and inherited.state[SENT_IDS] == ["a"]
    with gevent.Timeout(20):
        while not first.successor:
            gevent.sleep(0.001)
        for number in range(50):
            first.announce_sent_id(f"old-{number}")
            second.announce_sent_id(f"new-{number}")
        while len(new.ids) < 50 or len(old.ids) < 51:
            gevent.sleep(0.001)
    assert new.ids == [f"old-{number}" for number in range(50)]
    assert old.ids == ["a", *(f"new-{number}" for number in range(50))]
    assert second.predecessor
    second.predecessor.close()


def test_an_order_that_comes_again_at_the_other_process_of_an_upgrade_runs_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One id before the second process starts, and one while both run."""
    orders = [build_request("wait") for _ in range(2)]
    with restart_rig(tmp_path, monkeypatch) as (p, more):
        kept = p.program.connect()
        kept.sendall(orders[0])
        p.nodes[0].held.acquire()
        kept.close()
        kept = p.program.connect()
        more.append(start_successor(tmp_path, p))
        kept.sendall(orders[1])
        p.nodes[0].held.acquire()
        kept.close()
        wait_until(lambda: any("the old process" in x or "takes over" in x for x in more[0].log))
        for order in orders:
            with more[0].connect() as conn:
                conn.sendall(order)
                assert read_response(conn)[0] == 409
        p.nodes[0].release.set()
    assert sum(len(node.requests) for node in p.nodes) == 2
