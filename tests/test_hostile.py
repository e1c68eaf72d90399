"""Malformed, cut-off and oversized input, wherever something is read: each file, each peer. What is cut is cut at every
byte. Whatever comes, nothing raises what nobody expects, and what was known before stands as it was."""

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

ODD: list[Any] = [
    None, True, False, 0, -1, 0.5, 1e400, -1e400, 10**400, 2**62, -(10**20), "", "x", "\ud800", "a\nb", "x" * 5000,
    [], {}, [1], {"count": 10**9}, [[]],
]  # fmt: skip


def leaves(tree: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """The paths of everything in a tree but its root."""
    items = tree.items() if isinstance(tree, dict) else enumerate(tree) if isinstance(tree, list) else ()
    for key, value in items:
        yield (*path, key)
        yield from leaves(value, (*path, key))


def put(file: Path, data: bytes | str) -> None:
    """As a new file: to cut one short that is there makes some file systems write it out at once."""
    file.unlink(missing_ok=True)
    file.write_bytes(data if isinstance(data, bytes) else data.encode())


def changed(tree: Any, path: tuple[Any, ...], value: Any) -> Any:
    tree = at = copy.deepcopy(tree)
    for key in path[:-1]:
        at = at[key]
    at[path[-1]] = value
    return tree


# ---------------------------------------------------------------- the configuration, the operator's file

MEMBER = {"id": "s-1", "host_port": "127.0.0.1:9", "locality": "sala-macchine", "flavor": "front-std", "cell": 0,
          "phase": "SERVING", "size": 1.0, "up_since_ms": 0}  # fmt: skip
CONFIG = {
    "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "mgmt": "127.0.0.1:0", "seed": "8c1f30d2",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"revision": 41, "complete": True, "members": [MEMBER]}, "settings": settings(),
}  # fmt: skip


class Heard:
    """A desk and a machine room that only note what they are told."""

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

    def set_node(self, endpoint: int, peer: Any, since: int = 0) -> None: ...

    def close_node(self, endpoint: int) -> None: ...

    def forget_node(self, endpoint: int) -> None: ...


def read(path: Path) -> Any:
    """As `check-config` and SIGHUP read it; the list that it brings is looked at too."""
    found = load_config({"EDGE_CONFIG": str(path)})
    heard: Any = Heard()
    NodeList(found, heard, heard).load_known()
    return found


def serves(found: Any) -> None:
    """The module lives with these settings, however odd: requests of each class are answered."""
    module = Balancer(found.settings, found.seed)
    now, sent = 10**15, []
    acts = module.handle(now, [ListUpdate(ListKind.FULL, 1, (Entry(1, since_us=now), Entry(2)))])
    for n in range(40):
        now += 3_000
        acts = module.handle(now, [Arrival(n, n % len(found.settings.classes), left_us=1_000_000)])
        sent += [a for a in acts if isinstance(a, Send)]
        if sent and n % 3:
            one, ends = sent.pop(0), [Status.OK, Status.RESET, Status.FULL, Status.CONNECT_FAILED]
            status = ends[n % 4]
            acts = module.handle(
                now, [Outcome(one.request, 0, one.endpoint, status, 3_000, status is Status.OK)]
            )
            sent += [a for a in acts if isinstance(a, Send) and a.request != one.request]
    assert (
        all(s.flights >= 0 and module.limit(s) >= 1 for s in module.servers.values()) and module.inflight >= 0
    )


@pytest.mark.parametrize("path", list(leaves(CONFIG)), ids=str)
def test_any_value_in_the_configuration_is_taken_or_named_and_never_stops_the_module(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    file = tmp_path / "config.json"
    for odd in ODD:
        put(file, json.dumps(changed(CONFIG, path, odd)))
        try:
            serves(read(file))
        except ConfigError as told:
            assert "EDGE_CONFIG" in str(told) and len(str(told)) < 1000


def test_a_configuration_cut_at_any_byte_or_too_large_or_too_deep_is_named(tmp_path: Path) -> None:
    file, whole = tmp_path / "config.json", json.dumps(CONFIG).encode()
    wrong = (b"[" * 100_000, b'{"a":' * 2000, b" " * (9 << 20), b"\xff\xfe")
    for data in (*(whole[:n] for n in range(len(whole))), *wrong):
        put(file, data)
        with pytest.raises(ConfigError, match="EDGE_CONFIG"):
            load_config({"EDGE_CONFIG": str(file)})
    deep: Any = "end"
    for _ in range(300):
        deep = {"a": [deep]}
    file.write_text(json.dumps(CONFIG | {"other": deep}))
    with pytest.raises(ConfigError, match="nested too deeply"):
        load_config({"EDGE_CONFIG": str(file)})


def test_an_operators_file_cut_at_any_byte_is_read_or_named(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    whole = (Path(__file__).parents[1] / "deploy" / "slatehub.example.toml").read_bytes()
    burst = b"[log]\nburst = "
    wrong = (burst + b"1" + b"0" * 400, burst + b"inf", burst + b"nan", b"[log", b"\xff", b"a=" + b"[" * 9999)
    for data in (*(whole[:n] for n in range(0, len(whole), 7)), *wrong):
        put(file, data)
        try:
            read_operator(str(file))
            assert data not in wrong
        except ConfigError as told:
            assert str(file) in str(told)


# ---------------------------------------------------------------- files in $TMPDIR, words of a sibling


def test_a_state_file_cut_at_any_byte_leaves_what_was_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tempfile.tempdir", str(tmp_path))
    state, held = StateFile("n0"), Maintenance()
    held.start_maintenance("s-1", True, 5)
    state.save(held)
    whole = state.path.read_bytes()
    tree = json.loads(whole)
    odd = [json.dumps(changed(tree, path, value)).encode() for path in leaves(tree) for value in ODD]
    for data in (*(whole[:n] for n in range(len(whole))), *odd, b"[" * 100_000, b"0" * (3 << 20)):
        put(state.path, data)
        into = Maintenance()
        into.start_maintenance("s-9", True, 7)
        state.load(into)
        assert into.started_at["s-9"] == 7 and all(
            isinstance(t, int) and t > 0 for t in into.started_at.values()
        )


def test_words_of_a_sibling_cut_at_any_byte_are_waited_for_and_never_half_taken() -> None:
    whole = b'{"version":1,"name":"n0","listen":["127.0.0.1",1]}\n'
    for n in range(len(whole)):
        words = MessageDecoder()
        assert words.feed(whole[:n]) == []
        assert words.feed(whole[n:]) == [json.loads(whole)]
    for data in (b"\n", b"[1]\n", b"{]\n", b"\xff\n", b"[" * 100_000 + b"\n", b"x" * (3 << 20)):
        with pytest.raises(MessageError):
            MessageDecoder().feed(data)


# ---------------------------------------------------------------- discovery


class ListModel:
    """A node list that has been told of two nodes, and what it holds."""

    def __init__(self, tmp: Path) -> None:
        file = tmp / "config.json"
        file.write_text(json.dumps(CONFIG))
        self.heard: Any = Heard()
        self.list = NodeList(load_config({"EDGE_CONFIG": str(file)}), self.heard, self.heard)
        self.take({"revision": 5, "complete": True, "members": [MEMBER, MEMBER | {"id": "s-2"}]})

    def take(self, tree: Any) -> None:
        self.list._apply(tree, self.list._list_kind(tree))

    def held(self) -> Any:
        return (
            dict(self.list.reported),
            self.list.revision,
            dict(self.heard.node_ids),
            len(self.heard.entries),
        )


NEWS = {"revision": 6, "complete": False, "members": [MEMBER | {"id": "s-3", "phase": "DRAINING"}]}


@pytest.mark.parametrize("path", list(leaves(NEWS)), ids=str)
def test_news_of_nodes_with_any_wrong_value_is_taken_whole_or_changes_nothing(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    for odd in ODD:
        model = ListModel(tmp_path)
        before = model.held()
        try:
            model.take(changed(NEWS, path, odd))
        except (ValueError, KeyError, TypeError, AttributeError, ConfigError):
            assert model.held() == before, (path, odd)
        for entry in model.heard.entries:
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
def test_a_list_that_is_none_drops_no_node(tmp_path: Path, tree: Any) -> None:
    model = ListModel(tmp_path)
    before = model.held()
    with pytest.raises((ValueError, KeyError, TypeError)):
        model.take(tree)
    assert model.held() == before


def test_of_a_node_that_stands_twice_the_last_word_counts_and_an_empty_list_is_one(tmp_path: Path) -> None:
    model = ListModel(tmp_path)
    twice = [MEMBER | {"phase": "DRAINING"}, MEMBER | {"up_since_ms": 9}]
    model.take({"revision": 7, "complete": False, "members": twice})
    assert [e.since_us for e in model.heard.entries[2:]] == [9_000] and len(model.list.reported) == 2
    model.take({"revision": 8, "complete": True, "members": []})
    assert not model.list.reported
    model.take({"revision": 2, "complete": True, "members": [MEMBER]})  # another history, and whole
    assert list(model.list.reported) == ["s-1"] and model.list.revision == 2


def test_a_huge_list_is_no_list_and_ids_that_were_never_taken_are_not_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(node_list, "MAX_NODES", 50)
    model = ListModel(tmp_path)
    before = model.held()
    for complete in (True, False):
        with pytest.raises(ValueError, match="more than 50"):
            model.take(
                {
                    "revision": 9,
                    "complete": complete,
                    "members": [MEMBER | {"id": f"x{n}"} for n in range(51)],
                }
            )
    assert model.held() == before


# ---------------------------------------------------------------- callers and nodes over HTTP/1.1

NOISE = st.lists(st.tuples(st.integers(0, 400), st.binary(max_size=3)), min_size=1, max_size=3)
ASKS = [build_request("ok"), build_request("echo", body=b"0123456789"), build_request("ok", SAFE_CLASS),
        build_request("echo", Content_Length="", Transfer_Encoding="chunked")
        + b"3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"]  # fmt: skip


@pytest.mark.parametrize("whole", ASKS, ids=range(len(ASKS)))
def test_a_request_cut_at_any_byte_is_no_request(whole: bytes) -> None:
    for n in range(len(whole)):
        taker = RequestParser()
        taker.feed(whole[:n])
        assert not taker.parsed and not taker.error
        taker.feed(whole[n:])
        assert (
            [type(x) for x in taker.parsed] == [ReceivedRequest] and not taker.in_request and not taker.body
        )


@hypo(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(ASKS), NOISE)
def test_a_request_spoilt_anywhere_is_whole_or_bad_and_never_raises(
    whole: bytes, noise: list[tuple[int, bytes]]
) -> None:
    for at, put in noise:
        whole = whole[: at % len(whole)] + put + whole[at % len(whole) + 1 :]
    taker = RequestParser()
    taker.feed(whole)
    taker.feed(b"\r\n" * 4)
    for item in taker.parsed:
        assert isinstance(item, ReceivedRequest) or 400 <= item.status < 500
        if isinstance(item, ReceivedRequest):
            framings = {"content-length", "transfer-encoding"} & item.headers.keys()
            assert len(framings) < 2 and item.headers.get("transfer-encoding", "chunked").lower() == "chunked"


@pytest.mark.parametrize(
    "first, second", [("gzip", "chunked"), ("chunked", "chunked"), ("chunked", "identity")]
)
def test_a_coding_that_stands_twice_is_no_request(first: str, second: str) -> None:
    taker = RequestParser()
    taker.feed(
        build_request("echo", Content_Length="", Transfer_Encoding=f"{first}\r\nTransfer-Encoding: {second}")
    )
    taker.feed(b"3\r\nabc\r\n0\r\n\r\n")
    assert [type(x) for x in taker.parsed] == [LocalResponse]


ANSWERS = [
    b"HTTP/1.1 200 OK\r\nX-Server-Load: qps=1,util=0.5\r\nContent-Length: 10\r\n\r\n0123456789",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno",
]


@pytest.mark.parametrize("whole", ANSWERS, ids=range(len(ANSWERS)))
def test_an_answer_cut_at_any_byte_is_not_whole(whole: bytes) -> None:
    for n in range(len(whole)):
        reply = UpstreamResponse(MAX_BUFFERED_BODY_BYTES)
        reply.feed(whole[:n])
        assert not reply.complete
        with pytest.raises(UpstreamError):
            reply.on_eof()
        assert not reply.reusable


@hypo(max_examples=300, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(ANSWERS), NOISE)
def test_an_answer_spoilt_anywhere_is_whole_or_broken(whole: bytes, noise: list[tuple[int, bytes]]) -> None:
    for at, put in noise:
        whole = whole[: at % len(whole)] + put + whole[at % len(whole) + 1 :]
    reply = UpstreamResponse(MAX_BUFFERED_BODY_BYTES)
    try:
        reply.feed(whole)
        reply.feed(b"\r\n" * 4)
        reply.on_eof()
    except UpstreamError:
        pass
    assert not reply.complete or 200 <= reply.status < 1000


# ---------------------------------------------------------------- the simulator's wire, scenarios


def test_frames_cut_at_any_byte_end_the_adapter_with_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    text = "\n".join(f"{k}={v}" for k, v in WIRE.items()).encode()
    begin = struct.pack(">BIQI", 16, 3, 7, len(text)) + text
    row = bytes.fromhex("3f800000 0000000000000000 0000 0a124a07 1b5b 0000 00 0000")
    listed = bytes.fromhex("1a 00 00000001") + row + bytes.fromhex("11 00000003 0000000000000029 00 04")
    node = bytes.fromhex("0a124a07 1b5b")
    ask = bytes.fromhex("12 00000003 0000000000000009 0000 00000000 91f03b7c55d20a64 0003a980 00002ee0 01")
    started = struct.pack(
        ">BIQH6sI", 19, 3, 9, 0, node, 500
    )  # of an answer that is streamed; then who reads it goes
    others = (
        struct.pack(">BIQ", 21, 3, 9)
        + struct.pack(">BII6sBB", 23, 3, 500, node, 0, 1)
        + struct.pack(">f", 1.0)
    )
    others += (
        struct.pack(">BIHH", 24, 3, 1, 2) + b"hi"
    )  # a probe's end and a sibling's word: nothing asked for either
    body = begin + listed + ask + started + others
    whole = struct.pack(">IIQ", 16 + len(body), 8, 1_000_000) + body
    assert adapter(io.BytesIO(whole), io.BytesIO()) == 0
    capsys.readouterr()
    for n in range(1, len(whole)):
        assert adapter(io.BytesIO(whole[:n]), io.BytesIO()) == 1
        short = struct.pack(">IIQ", n, 8, 1_000_000) + whole[16:n]
        assert n < 16 or adapter(io.BytesIO(short), io.BytesIO()) == 1
        said = capsys.readouterr().err
        assert "Traceback" not in said and said.count("\n") == 1 + (n >= 16)


WIRE = {
    "obligations.answer_slack_us": 8000, "obligations.drain_grace_us": 250000, "obligations.cold_from": 0.2,
    "obligations.warm_after_us": 10000000, "obligations.fall_multiple": 2.5, "obligations.tip_after_us": 1500000,
    "allowed.max_attempts": 3, "discovery": "pushed", "services.count": 1, "services.0.idempotency": "retryable",
    "services.0.hard_limit_us": 400000, "services.0.slo_us": 150000, "siblings": 2, "tick_us": 2000,
}  # fmt: skip


@pytest.mark.parametrize("key", ["tenants.count", "services.count"])
@pytest.mark.parametrize("value", ["1e9", "-1", "1e17", "nan", "many"])
def test_counts_on_the_wire_are_bounded(key: str, value: str) -> None:
    with pytest.raises(WireError, match=key):
        parse_settings("\n".join(f"{k}={v}" for k, v in (WIRE | {key: value}).items()))


def test_a_scenario_cut_at_any_line_is_one_or_names_the_file(tmp_path: Path) -> None:
    whole = (Path(__file__).parents[1] / "scenarios" / "try.toml").read_bytes()
    for n in range(0, len(whole), 23):
        file = tmp_path / "cut.toml"
        put(file, whole[:n])
        try:
            load_scenario(file)
        except ScenarioError as told:
            assert "cut.toml" in str(told)


# ---------------------------------------------------------------- the started program


def test_after_all_that_a_good_request_is_served_and_nothing_was_kept(tmp_path: Path) -> None:
    with running_proxy(tmp_path, mgmt="127.0.0.1:0") as p:
        whole = build_request("echo", body=b"0123456789")
        for n in range(0, len(whole), 5):
            with p.program.connect() as conn:
                conn.sendall(whole[:n])
        both = b"PUT /nodes/s-0/maint HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        long, odd = b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\n\r\n", b"PUT /nodes/%ff/maint HTTP/1.1\r\n\r\n"
        for raw in (both, long, odd, b"\x00" * 100):
            assert p.program.management_call("", "", raw=raw) >= 400
        assert not p.seen
        for bad in (
            b"[",
            b'{"revision":9}',
            b"\xff",
            b'{"revision":9,"complete":true}',
            b'{"revision":1e999}',
        ):
            p.discovery.push_raw(bad)  # each is asked for anew, as a whole list
        with p.program.connect() as conn:
            for _ in range(3):
                conn.sendall(build_request("ok"))
                assert read_response(conn)[0] == 200
        assert p.program.management_call("GET", "/healthcheck") == 200 and len(p.seen) == 3
        assert not [line for line in p.program.log if "Traceback" in line]
