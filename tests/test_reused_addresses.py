"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import gevent
import pytest
from test_hostile import CONFIG, MEMBER, CallRecorder
from test_line import RESPONSE, DispatcherRig, ScriptedBalancer, make_pool, open_listener, run_event_loop

from paddlestep.interface import ListKind, Send, State
from slatehub.core.jobs import Attempt
from slatehub.discovery.node_list import NodeList
from slatehub.settings.reader import load_config


@pytest.fixture
def node_list(tmp_path: Path) -> NodeList:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, "known": {"revision": 0, "complete": True, "members": []}}))
    recorder: Any = CallRecorder()
    return NodeList(load_config({"EDGE_CONFIG": str(path)}), recorder, recorder)


def member(node_id: str, address: str, since_ms: int = 0, phase: str = "SERVING") -> dict[str, Any]:
    return {**MEMBER, "id": node_id, "host_port": address, "up_since_ms": since_ms, "phase": phase}


def states(node_list: NodeList) -> dict[str, State]:
    """The last state that was passed on of each node."""
    recorder: Any = node_list.dispatcher
    return {recorder.node_ids[e.endpoint]: e.state for e in recorder.entries}


def update(node_list: NodeList, *members: dict[str, Any], complete: bool = False) -> None:
    kind = ListKind.FULL if complete else ListKind.DELTA
    node_list._apply({"revision": 1, "complete": complete, "members": list(members)}, kind)


@pytest.mark.parametrize("complete", [False, True])
@pytest.mark.parametrize("since_ms", [0, 1_700_000_000_000])
def test_a_node_is_gone_once_another_one_is_listed_at_its_address(
    node_list: NodeList, complete: bool, since_ms: int
) -> None:
    old, other, new = member("old", "h:1"), member("other", "h:2"), member("new", "h:1", since_ms)
    update(node_list, old, other, complete=True)
    update(node_list, *((new, old, other) if complete else (new,)), complete=complete)
    assert states(node_list) == {"old": State.GONE, "other": State.READY, "new": State.READY}


def test_of_two_nodes_at_an_address_the_one_that_started_last_is_there(node_list: NodeList) -> None:
    update(node_list, member("young", "h:1", 2_000), member("old", "h:1", 1_000), complete=True)
    assert states(node_list) == {"young": State.READY, "old": State.GONE}


def test_a_listed_node_is_used_again_once_the_other_one_has_left_its_address(node_list: NodeList) -> None:
    update(node_list, member("a", "h:1"), complete=True)
    update(node_list, member("b", "h:1"))
    update(node_list, member("b", "h:1", phase="DELETED"))
    assert states(node_list) == {"a": State.READY, "b": State.GONE}
    update(node_list, member("c", "h:1"))
    update(node_list, member("c", "h:3"))
    assert states(node_list) == {"a": State.READY, "b": State.GONE, "c": State.READY}


def test_an_attempt_does_not_go_to_the_address_that_its_node_has_left() -> None:
    """The node moves while the connection to it comes up; its old address answers."""
    with open_listener() as old, open_listener() as new:
        rig = DispatcherRig(ScriptedBalancer(Send(1, 1)))
        pool = make_pool(rig, old)
        rig.submit_job("a")
        run_event_loop()
        (attempt,) = rig.attempts
        assert isinstance(attempt, Attempt)
        connect = pool.new_connection

        def move(node: Any) -> Any:
            connection = connect(node)
            pool.set_node(1, new.getsockname())
            return connection

        pool.new_connection = move  # type: ignore[method-assign]
        pool.send(attempt)
        with gevent.Timeout(20):
            sock, _ = new.accept()
            assert sock.recv(1000).startswith(b"POST /orders ")
            sock.sendall(RESPONSE)
            while not rig.answers:
                gevent.sleep(0.001)
        stray, _ = old.accept()
        assert stray.recv(1000) == b""
