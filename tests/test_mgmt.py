"""The operators' API, node maintenance and the drain: first the parts without I/O, then the real program."""

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
MANAGED = {"mgmt": "127.0.0.1:0"}


@hypo(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("AB"), st.sampled_from(STEPS))))
def test_node_in_maintenance_is_never_ready_and_returns_cold(steps: list[tuple[str, str]]) -> None:
    maintenance, listed, out, back = Maintenance(), {"A"}, dict[str, int](), dict[str, int]()
    starts = {"A": 0, "B": 0}
    for now, (ident, what) in enumerate(steps, 1):
        if what == "maint":
            assert maintenance.start_maintenance(ident, ident in listed, now) is (
                ident in listed or ident in out
            )
            if ident in listed:
                out.setdefault(ident, now)
        elif what == "ready":
            entry = Entry(1, since_us=starts[ident]) if ident in listed else None
            assert maintenance.end_maintenance(ident, entry, now) is (ident in listed or ident in out)
            if ident in out and not (entry and starts[ident] > out[ident]):
                back[ident] = now  # the node has not restarted since maintenance began
            out.pop(ident, None)
        elif what == "restart":
            starts[ident] = now
        elif what == "gone":
            listed.discard(ident)
            assert maintenance.apply_to(ident, Entry(1, State.GONE)).state is State.GONE
        else:
            listed.add(ident)
        state = State.DRAINING if what == "drain" else State.READY
        shown = maintenance.apply_to(ident, Entry(1, state, starts[ident]))
        assert shown.state is (State.DRAINING if ident in out else state)
        # A start before the end of maintenance must not make it warm; a later start takes precedence.
        assert shown.since_us == max(starts[ident], back.get(ident, 0))
        assert maintenance.apply_to(ident, Entry(1, state, since_us=10_000)).since_us == 10_000


def test_restored_maintenance_state_is_bounded_and_checked() -> None:
    maintenance = Maintenance()
    many = {f"n{i}": i + 1 for i in range(2 * MAX_ENDED_REMEMBERED)}
    maintenance.restore({"a": 3, 7: 3, "": 3, "x" * 300: 3}, {"b": 5, "c": "soon", "d": -1} | many)
    assert (
        maintenance.started_at == {"a": 3}
        and len(maintenance.ended_at) == MAX_ENDED_REMEMBERED
        and "c" not in maintenance.ended_at
    )


def test_repeated_drain_extends_no_deadline_and_ends_with_ok() -> None:
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
    ("method", "target", "expected"),
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
def test_only_the_documented_routes_exist(method: str, target: str, expected: AdminRequest | int) -> None:
    routed = route(method, target)
    assert (routed.status if isinstance(routed, AdminResponse) else routed) == expected


def test_invalid_state_file_is_ignored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    file, maintenance = StateFile("n0"), Maintenance()
    maintenance.start_maintenance("s-1", True, 4)
    maintenance.end_maintenance("s-2", Entry(2), 5)
    file.save(maintenance)
    assert os.listdir(tmp_path) == [file.path.name]  # no temporary file remains
    again = Maintenance()
    file.load(again)
    assert again.started_at == {"s-1": 4}
    other_form = b'{"version": 2, "out": {"a": 1}, "back": {}}'
    for body in (b"", b"{", b"[" * 100_000, other_form, b'{"version": 1, "out": 3}', b"\xff"):
        file.path.write_bytes(body)
        other = Maintenance()
        file.load(other)
        assert not other.started_at


def test_invalid_mgmt_address_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }
    path.write_text(json.dumps(config | {"mgmt": "nowhere"}))
    run = [sys.executable, "-B", "-m", "slatehub", "serve"]
    result = subprocess.run(
        run, cwd=ROOT, env={**os.environ, "EDGE_CONFIG": str(path)}, capture_output=True, timeout=60
    )
    assert result.returncode == 2 and b"mgmt: not an address" in result.stderr


def test_node_in_maintenance_gets_no_request_whatever_discovery_says(tmp_path: Path) -> None:
    with running_proxy(tmp_path, nodes=2, **MANAGED) as p:
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
        # One call ends maintenance, however often it was started.
        assert p.program.management_call("PUT", "/nodes/s-0/ready") == 200
        wait_until(
            lambda: (
                p.program.request(build_request("ok", SAFE_CLASS))[0] == 200 and len(first.requests) > before
            )
        )


def test_maintenance_survives_a_restart_that_keeps_the_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with running_proxy(tmp_path, nodes=2, **MANAGED) as p:
        assert p.program.management_call("PUT", "/nodes/s-0/maint") == 200
        p.program.process.kill()
    with running_proxy(tmp_path, nodes=2, **MANAGED) as p:
        for _ in range(30):
            assert p.program.request(build_request("ok", SAFE_CLASS))[0] == 200
        assert not p.nodes[0].requests


def test_silent_connections_do_not_lock_operators_out(tmp_path: Path) -> None:
    with running_proxy(tmp_path, **MANAGED) as p:
        silent = [socket.create_connection(p.program.management_address) for _ in range(40)]
        silent[-1].sendall(b"GET /healthc")  # an incomplete request head
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
        for conn in silent:
            conn.close()


def test_drained_proxy_answers_closes_idle_connections_and_accepts_again(tmp_path: Path) -> None:
    with running_proxy(tmp_path, **MANAGED) as p:
        ready = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
        with p.program.connect() as active, p.program.connect() as idle, p.program.connect() as in_progress:
            for conn in (active, idle):
                conn.sendall(build_request("ok"))
                assert "close" not in read_response(conn)[1]
            in_progress.sendall(build_request("wait"))
            assert p.nodes[0].held.acquire(timeout=20)
            assert (
                p.program.management_call("PUT", "/healthcheck/fail")
                == 200
                == p.program.management_call("PUT", "/healthcheck/fail")
            )
            assert (
                p.program.request(ready)[0] == 503 and p.program.management_call("GET", "/healthcheck") == 200
            )
            active.sendall(build_request("ok"))
            assert "Connection: close" in read_response(active)[1] and active.recv(1) == b""
            assert select.select([idle], [], [], 20)[0] and idle.recv(1) == b""  # closed without a response
            p.nodes[0].release.set()
            assert read_response(in_progress)[0] == 200  # a request in progress is answered
        assert p.program.request(build_request("ok"))[0] == 200  # new connections are still served
        assert (
            p.program.management_call("PUT", "/healthcheck/ok") == 200 and p.program.request(ready)[0] == 200
        )
        with p.program.connect() as conn:
            conn.sendall(build_request("ok"))
            assert "close" not in read_response(conn)[1]
