"""The operators' address, nodes out by hand and the drain: the pure parts, then the real program on sockets."""

from __future__ import annotations

import json
import os
import select
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from proxy_rig import (
    ROOT,
    SAFE_CLASS,
    build_request,
    node_entry,
    read_response,
    running_proxy,
    settings,
    wait_until,
)

from paddlestep.interface import Entry, State
from slatehub.decisions.drain import Drain
from slatehub.decisions.maintenance import MAX_ENDED_REMEMBERED, Maintenance
from slatehub.mgmt.routes import AdminRequest, AdminResponse, route
from slatehub.mgmt.state import StateFile

STEPS = ["maint", "ready", "list", "gone", "drain", "restart"]
HERE = {"mgmt": "127.0.0.1:0"}


@hypo(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("AB"), st.sampled_from(STEPS))))
def test_a_node_that_is_out_never_looks_ready_and_comes_back_cold(steps: list[tuple[str, str]]) -> None:
    held, listed, out, back = Maintenance(), {"A"}, dict[str, int](), dict[str, int]()
    starts = {"A": 0, "B": 0}
    for now, (ident, what) in enumerate(steps, 1):
        if what == "maint":
            assert held.start_maintenance(ident, ident in listed, now) is (ident in listed or ident in out)
            if ident in listed:
                out.setdefault(ident, now)
        elif what == "ready":
            entry = Entry(1, since_us=starts[ident]) if ident in listed else None
            assert held.end_maintenance(ident, entry, now) is (ident in listed or ident in out)
            if ident in out and not (entry and starts[ident] > out[ident]):
                back[ident] = now  # no start was told of the time that it was out
            out.pop(ident, None)
        elif what == "restart":
            starts[ident] = now
        elif what == "gone":
            listed.discard(ident)
            assert held.apply_to(ident, Entry(1, State.GONE)).state is State.GONE
        else:
            listed.add(ident)
        state = State.DRAINING if what == "drain" else State.READY
        shown = held.apply_to(ident, Entry(1, state, starts[ident]))
        assert shown.state is (State.DRAINING if ident in out else state)
        assert shown.since_us == max(starts[ident], back.get(ident, 0))  # an old start must not make it warm
        assert (
            held.apply_to(ident, Entry(1, state, since_us=10_000)).since_us == 10_000
        )  # a later start is the true one


def test_what_another_process_held_is_bounded_and_checked() -> None:
    held = Maintenance()
    many = {f"n{i}": i + 1 for i in range(2 * MAX_ENDED_REMEMBERED)}
    held.restore({"a": 3, 7: 3, "": 3, "x" * 300: 3}, {"b": 5, "c": "soon", "d": -1} | many)
    assert (
        held.started_at == {"a": 3}
        and len(held.ended_at) == MAX_ENDED_REMEMBERED
        and "c" not in held.ended_at
    )


def test_a_drain_gives_nobody_more_time_and_ends_with_ok() -> None:
    drain = Drain()
    assert not drain.active and not drain.should_close_idle(10, 0, False)
    drain.start(1_000_000)
    drain.start(2_400_000)
    assert not drain.should_close_idle(2_499_999, 0, False)
    assert drain.should_close_idle(2_500_000, 0, False) and not drain.should_close_idle(
        2_500_000, 2_300_000, True
    )
    drain.cancel()
    assert not drain.active and not drain.should_close_idle(9_000_000, 0, False)


@pytest.mark.parametrize(
    ("method", "target", "means"),
    [
        ("GET", "/healthcheck", AdminRequest("health")),
        ("HEAD", "/healthcheck?x=1", AdminRequest("health")),
        ("PUT", "/nodes/s-1%2fa%20b/maint", AdminRequest("maint", "s-1/a b")),
        ("PUT", "/nodes/s/ready", AdminRequest("ready", "s")),
        ("PUT", "/healthcheck", 405),
        ("GET", "/healthcheck/fail", 405),
        ("GET", "/nodes/s/maint", 405),
        ("PUT", "/nodes/%ff/maint", 400),
        ("PUT", "/nodes/%00/maint", 400),
        ("PUT", f"/nodes/{'x' * 300}/maint", 400),
        ("PUT", "/nodes//maint", 404),
        ("PUT", "/nodes/a/b/maint", 404),
        ("PUT", "/", 404),
    ],
)
def test_calls_are_the_pages_six_and_nothing_else(
    method: str, target: str, means: AdminRequest | int
) -> None:
    found = route(method, target)
    assert (found.status if isinstance(found, AdminResponse) else found) == means


def test_a_state_file_that_is_foreign_is_left_aside(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    file, held = StateFile("n0"), Maintenance()
    held.start_maintenance("s-1", True, 4)
    held.end_maintenance("s-2", Entry(2), 5)
    file.save(held)
    assert os.listdir(tmp_path) == [file.path.name]  # nothing half written stays
    again = Maintenance()
    file.load(again)
    assert again.started_at == {"s-1": 4}
    other_form = b'{"version": 2, "out": {"a": 1}, "back": {}}'
    for body in (b"", b"{", b"[" * 100_000, other_form, b'{"version": 1, "out": 3}', b"\xff"):
        file.path.write_bytes(body)
        other = Maintenance()
        file.load(other)
        assert not other.started_at


def test_a_bad_operators_address_is_named(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    tree = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }
    path.write_text(json.dumps(tree | {"mgmt": "nowhere"}))
    run = [sys.executable, "-B", "-m", "slatehub", "serve"]
    done = subprocess.run(
        run, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)}, capture_output=True, timeout=60
    )
    assert done.returncode == 2 and b"mgmt: not an address" in done.stderr


def test_a_node_out_by_hand_gets_nothing_whatever_discovery_says(tmp_path: Path) -> None:
    with running_proxy(tmp_path, nodes=2, **HERE) as p:
        first, second = p.nodes
        assert p.program.management_call("PUT", "/nodes/s-9/maint") == 404
        assert (
            p.program.management_call("PUT", "/nodes/s-0/maint")
            == 200
            == p.program.management_call("PUT", "/nodes/s-0/maint")
        )
        p.discovery.push([node_entry("s-0", first.address), node_entry("s-1", second.address)], complete=True)
        before = len(first.requests)
        for _ in range(30):
            assert p.program.request(build_request("ok", SAFE_CLASS))[0] == 200
        assert len(first.requests) == before
        assert p.program.management_call("PUT", "/nodes/s-0/ready") == 200  # one call back does
        wait_until(
            lambda: (
                p.program.request(build_request("ok", SAFE_CLASS))[0] == 200 and len(first.requests) > before
            )
        )


def test_nodes_stay_out_over_a_restart_that_keeps_the_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with running_proxy(tmp_path, nodes=2, **HERE) as p:
        assert p.program.management_call("PUT", "/nodes/s-0/maint") == 200
        p.program.process.kill()
    with running_proxy(tmp_path, nodes=2, **HERE) as p:
        for _ in range(30):
            assert p.program.request(build_request("ok", SAFE_CLASS))[0] == 200
        assert not p.nodes[0].requests


def test_callers_who_say_nothing_do_not_lock_operators_out(tmp_path: Path) -> None:
    with running_proxy(tmp_path, **HERE) as p:
        mute = [socket.create_connection(p.program.management_address) for _ in range(40)]
        mute[-1].sendall(b"GET /healthc")  # half a head
        assert p.program.management_call("GET", "/healthcheck") == 200
        assert p.program.management_call("", "", b"\x16\x03\x01 no http\r\n\r\n") == 400
        assert p.program.management_call("", "", b"GET / HTTP/1.1\r\nX: " + b"x" * 40_000) == 431
        assert (
            p.program.management_call("", "", b"PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n")
            == 413
        )
        assert (
            p.program.management_call(
                "", "", b"PUT /healthcheck/fail HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
            )
            == 200
        )
        for conn in mute:
            conn.close()


def test_a_drained_proxy_answers_and_lets_go_and_takes_clients_again(tmp_path: Path) -> None:
    with running_proxy(tmp_path, **HERE) as p:
        ready = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        with p.program.connect() as works, p.program.connect() as rests, p.program.connect() as runs:
            for conn in (works, rests):
                conn.sendall(build_request("ok"))
                assert "close" not in read_response(conn)[1]
            runs.sendall(build_request("wait"))
            assert p.nodes[0].held.acquire(timeout=20)
            assert (
                p.program.management_call("PUT", "/healthcheck/fail")
                == 200
                == p.program.management_call("PUT", "/healthcheck/fail")
            )
            assert (
                p.program.request(ready)[0] == 503 and p.program.management_call("GET", "/healthcheck") == 200
            )
            works.sendall(build_request("ok"))
            assert "Connection: close" in read_response(works)[1] and works.recv(1) == b""
            assert select.select([rests], [], [], 20)[0] and rests.recv(1) == b""  # let go, without a word
            p.nodes[0].release.set()
            assert read_response(runs)[0] == 200  # what is in hand gets its answer
        assert p.program.request(build_request("ok"))[0] == 200  # who comes all the same is served
        assert (
            p.program.management_call("PUT", "/healthcheck/ok") == 200 and p.program.request(ready)[0] == 200
        )
        with p.program.connect() as conn:
            conn.sendall(build_request("ok"))
            assert "close" not in read_response(conn)[1]
