"""Hot restart: the messages between the two processes, then two real processes under load."""

from __future__ import annotations

import signal
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import gevent
import pytest
from gevent import socket as gsocket
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from proxy_rig import (
    SAFE_CLASS,
    ProxyProcess,
    ProxyRig,
    build_request,
    node_entry,
    read_response,
    running_proxy,
    wait_until,
)

from slatehub.handover.hot_restart import HotRestart
from slatehub.handover.link import ProcessLink
from slatehub.handover.messages import MAX_LINE_BYTES, MessageDecoder, MessageError, pack
from slatehub.handover.paths import shared_path

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


@hypo(max_examples=100, derandomize=True, deadline=None)
@given(
    st.lists(st.dictionaries(st.text(max_size=5), st.integers() | st.text(max_size=9)), max_size=6), st.data()
)
def test_messages_decode_whole_however_they_are_split(
    messages: list[dict[str, object]], data: st.DataObject
) -> None:
    raw, decoder, decoded = b"".join(pack(t) for t in messages), MessageDecoder(), []
    while raw:
        cut = data.draw(st.integers(1, len(raw)))
        decoded += decoder.feed(raw[:cut])
        raw = raw[cut:]
    assert decoded == messages


@pytest.mark.parametrize(
    "raw", [b"nonsense\n", b"[1]\n", b"\xff\n", b"[" * 99_999 + b"\n", b"x" * (MAX_LINE_BYTES + 1)]
)
def test_invalid_messages_raise_message_error(raw: bytes) -> None:
    with pytest.raises(MessageError):
        MessageDecoder().feed(raw)


@contextmanager
def restart_rig(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, nodes: int = 2
) -> Iterator[tuple[ProxyRig, list[ProxyProcess]]]:
    """A running proxy, and a list for further processes of it."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    more: list[ProxyProcess] = []
    with running_proxy(tmp_path, nodes=nodes, mgmt="127.0.0.1:0") as p:
        try:
            yield p, more
        finally:
            for program in more:
                program.process.kill()
                program.process.wait()
                assert not [x for x in program.log if "Traceback" in x or "fault" in x]


def start_successor(tmp_path: Path, p: ProxyRig) -> ProxyProcess:
    """Starts another process of the proxy beside the running one."""
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(p.nodes)]
    p.discovery.push(members, complete=True)
    return ProxyProcess(tmp_path, members, p.discovery.address, mgmt="127.0.0.1:0")


class Load:
    """Threads that send requests until stopped: some on new connections, some on kept-alive ones. The platform allows a
    kept-alive connection to close between two requests, and the caller reopens it; any other failure counts as lost."""

    def __init__(self, peer: tuple[str, int]) -> None:
        self.peer, self.on = peer, True
        self.served = self.reopened = 0
        self.lost: list[str] = []
        jobs = [self._new] * 3 + [self._kept] * 3
        self.threads = [threading.Thread(target=job, daemon=True) for job in jobs]
        for thread in self.threads:
            thread.start()

    def _ask(self, conn: socket.socket) -> bool:
        conn.sendall(build_request("ok", SAFE_CLASS))
        status, head, _ = read_response(conn)
        self.served += status == 200
        if status not in (200, 503):
            self.lost.append(head)
        return "Connection: close" not in head

    def _new(self) -> None:
        while self.on:
            try:
                with socket.create_connection(self.peer, 20) as conn:
                    self._ask(conn)
            except OSError as problem:
                self.lost.append(repr(problem))

    def _kept(self) -> None:
        while self.on:
            with socket.create_connection(self.peer, 20) as conn:
                try:
                    while self.on and self._ask(conn):
                        pass
                except OSError:
                    self.reopened += 1

    def end(self) -> None:
        self.on = False
        for thread in self.threads:
            thread.join(30)


def test_hot_restart_loses_no_request_and_keeps_nodes_in_maintenance(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with restart_rig(tmp_path, monkeypatch) as (p, more):
        assert p.program.management_call("PUT", "/nodes/s-0/maint") == 200
        load = Load(p.program.address)
        try:
            wait_until(lambda: load.served > 50)
            more.append(start_successor(tmp_path, p))
            assert (
                more[0].management_call("GET", "/healthcheck") == 200 and more[0].address == p.program.address
            )
            assert p.program.request(READY)[0] == 200
            p.program.process.send_signal(signal.SIGTERM)
            assert p.program.process.wait(20) == 0
            before = load.served
            wait_until(lambda: load.served > before + 50)
        finally:
            load.end()
        assert not load.lost and load.reopened <= 2
        assert not p.nodes[0].requests  # put into maintenance at the old process before the new one started
        assert more[0].management_call("PUT", "/nodes/s-0/ready") == 200
        wait_until(lambda: more[0].request(build_request("ok", SAFE_CLASS)) and p.nodes[0].requests)


def test_operation_at_either_process_applies_to_both(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with restart_rig(tmp_path, monkeypatch) as (p, more), p.program.connect() as kept:
        kept.sendall(build_request("ok"))
        read_response(kept)
        more.append(start_successor(tmp_path, p))
        for at, other in ((p.program, more[0]), (more[0], p.program)):
            assert at.management_call("PUT", "/nodes/s-1/maint") == 200
            assert other.management_call("PUT", "/nodes/s-1/ready") == 200
        assert (
            p.program.management_call("PUT", "/nodes/s-0/maint")
            == 200
            == p.program.management_call("PUT", "/healthcheck/fail")
        )
        seen = len(p.nodes[0].requests)
        for _ in range(20):
            assert more[0].request(build_request("ok", SAFE_CLASS))[0] == 200
        assert len(p.nodes[0].requests) == seen and more[0].request(READY)[0] == 503


def test_old_process_keeps_serving_when_the_new_one_dies(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with restart_rig(tmp_path, monkeypatch) as (p, more):
        for _ in range(2):  # a second successor finds the old process too
            more.append(start_successor(tmp_path, p))
            assert any("takes over" in x for x in more[-1].log)
            more[-1].process.kill()
            more[-1].process.wait()
            wait_until(lambda: sum("the new process has gone" in x for x in p.program.log) == len(more))
            with p.program.connect() as conn:
                conn.sendall(build_request("ok"))
                status, head, _ = read_response(conn)
                assert status == 200 and "Connection: close" not in head


def test_new_process_keeps_serving_when_the_old_one_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with restart_rig(tmp_path, monkeypatch) as (p, more):
        more.append(start_successor(tmp_path, p))
        p.program.process.kill()
        p.program.process.wait()
        wait_until(lambda: any("the old process has gone" in x for x in more[0].log))
        assert more[0].request(build_request("ok"))[0] == 200
        more.append(start_successor(tmp_path, p))  # and hands over to the next process
        assert any("takes over" in x for x in more[1].log) and more[1].request(build_request("ok"))[0] == 200


def test_stale_socket_file_does_not_block_a_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    monkeypatch.chdir(tmp_path)  # the system limits the length of socket paths
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(shared_path("n0", "sock").name)
    with restart_rig(tmp_path, monkeypatch) as (p, _):
        assert p.program.request(build_request("ok"))[0] == 200


def test_invalid_handshakes_do_not_block_a_restart(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    with restart_rig(tmp_path, monkeypatch) as (p, more):
        for raw in (b"\n", b'{"version": 99, "name": "n0"}\n', b'{"version": 1, "name": "other"}\n', b""):
            with socket.socket(socket.AF_UNIX) as conn:
                monkeypatch.chdir(tmp_path)
                conn.connect(shared_path("n0", "sock").name)
                conn.sendall(raw)
                conn.shutdown(socket.SHUT_WR)
                assert conn.recv(10) == b""
        more.append(start_successor(tmp_path, p))
        assert any("takes over" in x for x in more[0].log) and more[0].request(build_request("ok"))[0] == 200


class RecordingHandler:
    """A process without a listener to hand over; records the calls it gets."""

    def __init__(self) -> None:
        self.calls: list[object] = []

    def export_state(self) -> dict[str, object]:
        return {"out": {}, "back": {}, "drained": False}

    def get_listener(self, listen: object) -> None:
        return None

    def apply_operation(self, message: dict[str, object]) -> int:
        self.calls.append(message.get("call"))
        return 200

    def suspend(self) -> None:
        self.calls.append("rest")

    def resume(self) -> None:
        self.calls.append("resume")

    def set_shared(self, linked: bool) -> None: ...


def test_silent_connections_do_not_block_a_restart(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    old, new, listen = RecordingHandler(), RecordingHandler(), ("127.0.0.1", 1)
    first = HotRestart("n0", listen, old)
    first.announce_serving()
    silent = [gsocket.socket(gsocket.AF_UNIX, gsocket.SOCK_STREAM) for _ in range(3)]
    for sock in silent:
        sock.connect(str(first.path))
    silent[0].sendall(b'{"vers')  # an incomplete message
    gevent.sleep(0)
    second = HotRestart("n0", listen, new)
    assert second.connect_to_predecessor() is not None
    second.announce_serving()
    assert (
        old.calls == ["rest"]
        and second.forward_operation({"call": "fail", "ident": ""})
        and old.calls == ["rest", "fail"]
    )
    for sock in silent:
        sock.close()
    assert second.predecessor
    second.predecessor.close()
    while "resume" not in old.calls:  # the link has closed: the old process has to accept again
        gevent.sleep(0.001)


@pytest.mark.parametrize("odd", [None, True, [], {}, "x", 1e308, -1])
def test_odd_values_on_a_link_are_no_fault_and_never_success(odd: object) -> None:
    ours, theirs = gsocket.socketpair()
    requests: list[object] = []
    ended: list[ProcessLink] = []

    def answer(message: dict[str, object]) -> dict[str, object]:
        requests.append(message)
        return {"status": 200}

    link = ProcessLink(ours, MessageDecoder(), [], answer, ended.append)
    theirs.sendall(pack({"re": odd}) + pack({"call": odd, "ident": odd, "n": odd}))
    while not requests:
        gevent.sleep(0.001)
    restart = HotRestart("n0", ("127.0.0.1", 1), RecordingHandler())
    restart.predecessor = link
    forwarding = gevent.spawn(restart.forward_operation, {"call": "ok"})
    gevent.sleep(0)
    theirs.sendall(pack({"re": 1, "status": odd}))
    assert forwarding.get(timeout=20) is False and link.open
    theirs.close()
    while not ended:
        gevent.sleep(0.001)
