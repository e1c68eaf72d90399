"""Malformed, truncated and oversized input from every file and every peer. Truncated input is cut at every byte.
Invalid input never raises an unexpected exception and leaves the previous state unchanged."""

from __future__ import annotations

import copy
import io
import json
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypo
from hypothesis import strategies as st
from proxy_rig import SAFE_CLASS, build_request, read_response, running_proxy, settings

from paddlestep import Arrival, Balancer, Entry, ListKind, ListUpdate, Outcome, Send, Status
from paddlestep.adapter import run as adapter
from paddlestep.wire import WireError, parse_settings
from slatehub.core.limits import MAX_BUFFERED_BODY_BYTES
from slatehub.decisions.maintenance import Maintenance
from slatehub.discovery import node_list
from slatehub.discovery.node_list import NodeList
from slatehub.drivers.upstream import UpstreamError, UpstreamResponse
from slatehub.fronts.http1.request_parser import RequestParser
from slatehub.fronts.validation import LocalResponse, ReceivedRequest
from slatehub.handover.messages import MessageDecoder, MessageError
from slatehub.mgmt.state import StateFile
from slatehub.settings.errors import ConfigError
from slatehub.settings.operator import read_operator_file as read_operator
from slatehub.settings.reader import load_config
from slatelab.scenario import ScenarioError
from slatelab.scenario import load as load_scenario

ODD_VALUES: list[Any] = [
    None, True, False, 0, -1, 0.5, 1e400, -1e400, 10**400, 2**62, -(10**20), "", "x", "\ud800", "a\nb", "x" * 5000,
    [], {}, [1], {"count": 10**9}, [[]],
]  # fmt: skip


def all_paths(tree: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The paths of all values in a tree except the root."""
    items = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    for key, value in items:
        yield (*path, key)
        yield from all_paths(value, (*path, key))


def write_new_file(file: Path, data: bytes | str) -> None:
    """Replaces the file by a new one. Some file systems flush a file to disk when an existing one is truncated."""
    file.unlink(missing_ok=True)
    file.write_bytes(data if isinstance(data, bytes) else data.encode())


def with_value(tree: Any, path: tuple[Any, ...], value: Any) -> Any:
    tree = parent = copy.deepcopy(tree)
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return tree


# ---------------------------------------------------------------- configuration, operator's file

MEMBER = {"id": "s-1", "host_port": "127.0.0.1:9", "locality": "sala-macchine", "flavor": "front-std", "cell": 0,
          "phase": "SERVING", "size": 1.0, "up_since_ms": 0}  # fmt: skip
CONFIG = {
    "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "mgmt": "127.0.0.1:0", "seed": "8c1f30d2",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"revision": 41, "complete": True, "members": [MEMBER]}, "settings": settings(),
}  # fmt: skip


class CallRecorder:
    """Stands in for the dispatcher and the node pool, and records the calls of a NodeList."""

    def __init__(self) -> None:
        self.node_ids: dict[int, str] = {}
        self.unavailable_since: dict[int, int] = {}
        self.entries: list[Entry] = []
        self.kinds: list[ListKind] = []

    def update_nodes(self, kind: ListKind, version: int = 0, entries: tuple[Entry, ...] = ()) -> None:
        self.kinds.append(kind)
        self.entries += entries

    def forget_removed_nodes(self, most: int) -> list[int]:
        return []

    def set_node(self, endpoint: int, peer: Any, since: int = 0, zone: int = 0) -> None: ...

    def close_node(self, endpoint: int) -> None: ...

    def forget_node(self, endpoint: int) -> None: ...


def load_node_settings(path: Path) -> Any:
    """Reads a configuration and its node list the way `check-config` and SIGHUP do."""
    config = load_config({"EDGE_CONFIG": str(path)})
    recorder: Any = CallRecorder()
    NodeList(config, recorder, recorder).load_known()
    return config


def check_module_serves(config: Any) -> None:
    """Checks that the decision module works with these settings: it handles requests of every class."""
    module = Balancer(config.settings, config.seed)
    now, sent = 10**15, []
    actions = module.handle(now, [ListUpdate(ListKind.FULL, 1, (Entry(1, since_us=now), Entry(2)))])
    for n in range(40):
        now += 3_000
        actions = module.handle(now, [Arrival(n, n % len(config.settings.classes), left_us=1_000_000)])
        sent += [a for a in actions if isinstance(a, Send)]
        if sent and n % 3:
            sent_request, statuses = (
                sent.pop(0),
                [Status.OK, Status.RESET, Status.FULL, Status.CONNECT_FAILED],
            )
            status = statuses[n % 4]
            actions = module.handle(
                now,
                [Outcome(sent_request.request, 0, sent_request.endpoint, status, 3_000, status is Status.OK)],
            )
            sent += [a for a in actions if isinstance(a, Send) and a.request != sent_request.request]
    assert (
        all(s.in_flight >= 0 and module.concurrency_limit(s) >= 1 for s in module.servers.values())
        and module.in_flight >= 0
    )


@pytest.mark.parametrize("path", list(all_paths(CONFIG)), ids=str)
def test_any_value_in_the_configuration_is_accepted_or_reported_and_the_module_still_serves(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    file = tmp_path / "config.json"
    for odd in ODD_VALUES:
        write_new_file(file, json.dumps(with_value(CONFIG, path, odd)))
        try:
            check_module_serves(load_node_settings(file))
        except ConfigError as error:
            assert "EDGE_CONFIG" in str(error) and len(str(error)) < 1000


def test_a_configuration_cut_at_any_byte_or_too_large_or_too_deep_is_a_config_error(tmp_path: Path) -> None:
    file, whole = tmp_path / "config.json", json.dumps(CONFIG).encode()
    invalid = (b"[" * 100_000, b'{"a":' * 2000, b" " * (9 << 20), b"\xff\xfe")
    for data in (*(whole[:n] for n in range(len(whole))), *invalid):
        write_new_file(file, data)
        with pytest.raises(ConfigError, match="EDGE_CONFIG"):
            load_config({"EDGE_CONFIG": str(file)})
    deep: Any = "end"
    for _ in range(300):
        deep = {"a": [deep]}
    file.write_text(json.dumps(CONFIG | {"other": deep}))
    with pytest.raises(ConfigError, match="nested too deeply"):
        load_config({"EDGE_CONFIG": str(file)})


def test_an_operators_file_cut_at_any_byte_is_read_or_is_a_config_error(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    whole = (Path(__file__).parents[1] / "deploy" / "slatehub.example.toml").read_bytes()
    burst = b"[log]\nburst = "
    invalid = (
        burst + b"1" + b"0" * 400,
        burst + b"inf",
        burst + b"nan",
        b"[log",
        b"\xff",
        b"a=" + b"[" * 9999,
    )
    for data in (*(whole[:n] for n in range(0, len(whole), 7)), *invalid):
        write_new_file(file, data)
        try:
            read_operator(str(file))
            assert data not in invalid
        except ConfigError as error:
            assert str(file) in str(error)


# ---------------------------------------------------------------- files in $TMPDIR, handover messages


def test_a_state_file_cut_at_any_byte_leaves_the_state_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    state, saved = StateFile("n0"), Maintenance()
    saved.start_maintenance("s-1", True, 5)
    state.save(saved)
    whole = state.path.read_bytes()
    tree = json.loads(whole)
    odd = [
        json.dumps(with_value(tree, path, value)).encode() for path in all_paths(tree) for value in ODD_VALUES
    ]
    for data in (*(whole[:n] for n in range(len(whole))), *odd, b"[" * 100_000, b"0" * (3 << 20)):
        write_new_file(state.path, data)
        loaded = Maintenance()
        loaded.start_maintenance("s-9", True, 7)
        state.load(loaded)
        assert loaded.started_at["s-9"] == 7 and all(
            isinstance(t, int) and t > 0 for t in loaded.started_at.values()
        )


def test_a_handover_message_cut_at_any_byte_is_decoded_only_when_complete() -> None:
    whole = b'{"version":1,"name":"n0","listen":["127.0.0.1",1]}\n'
    for n in range(len(whole)):
        decoder = MessageDecoder()
        assert decoder.feed(whole[:n]) == []
        assert decoder.feed(whole[n:]) == [json.loads(whole)]
    for data in (b"\n", b"[1]\n", b"{]\n", b"\xff\n", b"[" * 100_000 + b"\n", b"x" * (3 << 20)):
        with pytest.raises(MessageError):
            MessageDecoder().feed(data)


# ---------------------------------------------------------------- discovery


class NodeListModel:
    """A NodeList that has received a list of two nodes."""

    def __init__(self, tmp: Path) -> None:
        file = tmp / "config.json"
        file.write_text(json.dumps(CONFIG))
        self.recorder: Any = CallRecorder()
        self.node_list = NodeList(load_config({"EDGE_CONFIG": str(file)}), self.recorder, self.recorder)
        self.apply(
            {
                "revision": 5,
                "complete": True,
                "members": [MEMBER, MEMBER | {"id": "s-2", "host_port": "127.0.0.1:10"}],
            }
        )

    def apply(self, tree: Any) -> None:
        self.node_list._apply(tree, self.node_list._list_kind(tree))

    def snapshot(self) -> Any:
        return (
            dict(self.node_list.reported),
            self.node_list.revision,
            dict(self.recorder.node_ids),
            len(self.recorder.entries),
        )


NODE_UPDATE = {"revision": 6, "complete": False, "members": [MEMBER | {"id": "s-3", "phase": "DRAINING"}]}


@pytest.mark.parametrize("path", list(all_paths(NODE_UPDATE)), ids=str)
def test_a_node_update_with_any_wrong_value_is_applied_whole_or_not_at_all(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    for odd in ODD_VALUES:
        model = NodeListModel(tmp_path)
        before = model.snapshot()
        try:
            model.apply(with_value(NODE_UPDATE, path, odd))
        except (ValueError, KeyError, TypeError, AttributeError, ConfigError):
            assert model.snapshot() == before, (path, odd)
        for entry in model.recorder.entries:
            assert 0 <= entry.since_us < 2**63 and abs(entry.cell) < 2**53 and entry.endpoint > 0


@pytest.mark.parametrize(
    "tree",
    [
        {"revision": 6, "complete": True},
        {"revision": 6, "complete": True, "members": {}},
        {"revision": 6, "complete": True, "members": None},
        {"revision": 6, "complete": "false", "members": []},
        {"revision": 6, "members": [MEMBER]},
        {"complete": True, "members": [MEMBER]},
        {"revision": True, "complete": True, "members": [MEMBER]},
        {"revision": 4, "complete": False, "members": [MEMBER | {"phase": "DELETED"}]},
        {"revision": 6, "complete": False, "members": [MEMBER | {"phase": "DELETED"}, {"id": "s-9"}]},
        [], None, 7, "x",
    ],
    ids=str,
)  # fmt: skip
def test_an_invalid_list_removes_no_node(tmp_path: Path, tree: Any) -> None:
    model = NodeListModel(tmp_path)
    before = model.snapshot()
    with pytest.raises((ValueError, KeyError, TypeError)):
        model.apply(tree)
    assert model.snapshot() == before


def test_the_last_entry_of_a_duplicate_node_counts_and_an_empty_list_is_valid(tmp_path: Path) -> None:
    model = NodeListModel(tmp_path)
    twice = [MEMBER | {"phase": "DRAINING"}, MEMBER | {"up_since_ms": 9}]
    model.apply({"revision": 7, "complete": False, "members": twice})
    assert [e.since_us for e in model.recorder.entries[2:]] == [9_000] and len(model.node_list.reported) == 2
    model.apply({"revision": 8, "complete": True, "members": []})
    assert not model.node_list.reported
    # A complete list with an older revision replaces the state: discovery has started a new history.
    model.apply({"revision": 2, "complete": True, "members": [MEMBER]})
    assert list(model.node_list.reported) == ["s-1"] and model.node_list.revision == 2


def test_a_list_over_the_node_limit_is_rejected_and_its_ids_are_not_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_list, "MAX_NODES", 50)
    model = NodeListModel(tmp_path)
    before = model.snapshot()
    for complete in (True, False):
        with pytest.raises(ValueError, match="more than 50"):
            model.apply(
                {
                    "revision": 9,
                    "complete": complete,
                    "members": [MEMBER | {"id": f"x{n}"} for n in range(51)],
                }
            )
    assert model.snapshot() == before


# ---------------------------------------------------------------- callers and nodes over HTTP/1.1

NOISE = st.lists(st.tuples(st.integers(0, 400), st.binary(max_size=3)), min_size=1, max_size=3)
REQUESTS = [build_request("ok"), build_request("echo", body=b"0123456789"), build_request("ok", SAFE_CLASS),
        build_request("echo", Content_Length="", Transfer_Encoding="chunked")
        + b"3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"]  # fmt: skip


@pytest.mark.parametrize("whole", REQUESTS, ids=range(len(REQUESTS)))
def test_a_request_cut_at_any_byte_is_incomplete(whole: bytes) -> None:
    for n in range(len(whole)):
        parser = RequestParser()
        parser.feed(whole[:n])
        assert not parser.parsed and not parser.error
        parser.feed(whole[n:])
        assert (
            [type(x) for x in parser.parsed] == [ReceivedRequest]
            and not parser.in_request
            and not parser.body
        )


@hypo(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(REQUESTS), NOISE)
def test_a_request_corrupted_anywhere_is_valid_or_rejected_and_never_raises(
    whole: bytes, noise: list[tuple[int, bytes]]
) -> None:
    for position, replacement in noise:
        whole = whole[: position % len(whole)] + replacement + whole[position % len(whole) + 1 :]
    parser = RequestParser()
    parser.feed(whole)
    parser.feed(b"\r\n" * 4)
    for item in parser.parsed:
        assert isinstance(item, ReceivedRequest) or 400 <= item.status < 500
        if isinstance(item, ReceivedRequest):
            framings = {"content-length", "transfer-encoding"} & item.headers.keys()
            assert len(framings) < 2 and item.headers.get("transfer-encoding", "chunked").lower() == "chunked"


@pytest.mark.parametrize(
    "first, second", [("gzip", "chunked"), ("chunked", "chunked"), ("chunked", "identity")]
)
def test_a_repeated_transfer_encoding_is_rejected(first: str, second: str) -> None:
    parser = RequestParser()
    parser.feed(
        build_request("echo", Content_Length="", Transfer_Encoding=f"{first}\r\nTransfer-Encoding: {second}")
    )
    parser.feed(b"3\r\nabc\r\n0\r\n\r\n")
    assert [type(x) for x in parser.parsed] == [LocalResponse]


RESPONSES = [
    b"HTTP/1.1 200 OK\r\nX-Server-Load: qps=1,util=0.5\r\nContent-Length: 10\r\n\r\n0123456789",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
]


@pytest.mark.parametrize("whole", RESPONSES, ids=range(len(RESPONSES)))
def test_a_response_cut_at_any_byte_is_incomplete(whole: bytes) -> None:
    for n in range(len(whole)):
        response = UpstreamResponse(MAX_BUFFERED_BODY_BYTES)
        response.feed(whole[:n])
        assert not response.complete
        with pytest.raises(UpstreamError):
            response.on_eof()
        assert not response.reusable


@hypo(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(RESPONSES), NOISE)
def test_a_response_corrupted_anywhere_is_complete_or_an_error(
    whole: bytes, noise: list[tuple[int, bytes]]
) -> None:
    for position, replacement in noise:
        whole = whole[: position % len(whole)] + replacement + whole[position % len(whole) + 1 :]
    response = UpstreamResponse(MAX_BUFFERED_BODY_BYTES)
    try:
        response.feed(whole)
        response.feed(b"\r\n" * 4)
        response.on_eof()
    except UpstreamError:
        pass
    assert not response.complete or 200 <= response.status < 1000


# ---------------------------------------------------------------- the simulator's protocol, scenarios


def test_frames_cut_at_any_byte_end_the_adapter_with_one_line_on_stderr(
    capsys: pytest.CaptureFixture[str],
) -> None:
    text = "\n".join(f"{k}={v}" for k, v in WIRE_SETTINGS.items()).encode()
    begin = struct.pack(">BIQI", 16, 3, 7, len(text)) + text
    row = bytes.fromhex("3f800000 0000000000000000 0000 0a124a07 1b5b 0000 00 0000")
    list_frame = bytes.fromhex("1a 00 00000001") + row + bytes.fromhex("11 00000003 0000000000000029 00 04")
    node = bytes.fromhex("0a124a07 1b5b")
    arrival_frame = bytes.fromhex(
        "12 00000003 0000000000000009 0000 00000000 91f03b7c55d20a64 0003a980 00002ee0 01"
    )
    # The start of a streamed response, whose caller then disconnects.
    started = struct.pack(">BIQH6sI", 19, 3, 9, 0, node, 500)
    other_frames = (
        struct.pack(">BIQ", 21, 3, 9)
        + struct.pack(">BII6sBB", 23, 3, 500, node, 0, 1)
        + struct.pack(">f", 1.0)
    )
    # After a probe result, a peer message: neither was requested.
    other_frames += struct.pack(">BIHH", 24, 3, 1, 2) + b"hi"
    body = begin + list_frame + arrival_frame + started + other_frames
    whole = struct.pack(">IIQ", 16 + len(body), 8, 1_000_000) + body
    assert adapter(io.BytesIO(whole), io.BytesIO()) == 0
    capsys.readouterr()
    for n in range(1, len(whole)):
        assert adapter(io.BytesIO(whole[:n]), io.BytesIO()) == 1
        short = struct.pack(">IIQ", n, 8, 1_000_000) + whole[16:n]
        assert n < 16 or adapter(io.BytesIO(short), io.BytesIO()) == 1
        stderr = capsys.readouterr().err
        assert "Traceback" not in stderr and stderr.count("\n") == 1 + (n >= 16)


WIRE_SETTINGS = {
    "obligations.answer_slack_us": 8000, "obligations.drain_grace_us": 250000, "obligations.cold_from": 0.2,
    "obligations.warm_after_us": 10000000, "obligations.fall_multiple": 2.5, "obligations.tip_after_us": 1500000,
    "allowed.max_attempts": 3, "discovery": "pushed", "services.count": 1, "services.0.idempotency": "retryable",
    "services.0.hard_limit_us": 400000, "services.0.slo_us": 150000, "siblings": 2, "tick_us": 2000,
}  # fmt: skip


@pytest.mark.parametrize("key", ["tenants.count", "services.count"])
@pytest.mark.parametrize("value", ["1e9", "-1", "1e17", "nan", "many"])
def test_counts_on_the_wire_are_bounded(key: str, value: str) -> None:
    with pytest.raises(WireError, match=key):
        parse_settings("\n".join(f"{k}={v}" for k, v in (WIRE_SETTINGS | {key: value}).items()))


def test_a_scenario_cut_anywhere_is_valid_or_the_error_names_the_file(tmp_path: Path) -> None:
    whole = (Path(__file__).parents[1] / "scenarios" / "try.toml").read_bytes()
    for n in range(0, len(whole), 23):
        file = tmp_path / "cut.toml"
        write_new_file(file, whole[:n])
        try:
            load_scenario(file)
        except ScenarioError as error:
            assert "cut.toml" in str(error)


# ---------------------------------------------------------------- the running program


def test_after_invalid_input_valid_requests_are_still_served(tmp_path: Path) -> None:
    with running_proxy(tmp_path, mgmt="127.0.0.1:0") as p:
        whole = build_request("echo", body=b"0123456789")
        for n in range(0, len(whole), 5):
            with p.program.connect() as conn:
                conn.sendall(whole[:n])
        both_framings = (
            b"PUT /nodes/s-0/maint HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        long_target, invalid_escape = (
            b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\n\r\n",
            b"PUT /nodes/%ff/maint HTTP/1.1\r\n\r\n",
        )
        for raw in (both_framings, long_target, invalid_escape, b"\x00" * 100):
            assert p.program.management_call("", "", raw=raw) >= 400
        assert not p.seen
        for invalid_list in (
            b"[",
            b'{"revision":9}',
            b"\xff",
            b'{"revision":9,"complete":true}',
            b'{"revision":1e999}',
        ):
            p.discovery.push_raw(invalid_list)  # after each the proxy requests a complete list again
        with p.program.connect() as conn:
            for _ in range(3):
                conn.sendall(build_request("ok"))
                assert read_response(conn)[0] == 200
        assert p.program.management_call("GET", "/healthcheck") == 200 and len(p.seen) == 3
        assert not [line for line in p.program.log if "Traceback" in line]
