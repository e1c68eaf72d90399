"""Private memory beside crowds of slow and stopped clients: what is kept of them is bounded by what is counted."""

from __future__ import annotations

import tracemalloc
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent import socket
from soak_process import play_in_own_process
from test_line import DispatcherRig, connect_caller, make_server, request_head, run_event_loop

from paddlestep.interface import Entry, ListKind, Status
from slatehub.cli.main import resource_shares
from slatehub.core.jobs import NodeResponse
from slatehub.core.limits import MAX_HEAD_BYTES, READ_CHUNK_BYTES
from slatehub.core.memory import MemoryBudget
from slatehub.decisions.resource_budget import CONNECTION_KB, PROGRAM_MB, split_budget
from slatehub.drivers.upstream import UpstreamResponse
from slatehub.fronts.http1.request_parser import HEAD_SLICE_BYTES, RequestParser
from slatehub.fronts.validation import ReceivedRequest
from slatelab.soak.pictures import CrowdChoice
from slatelab.soak.proxy_process import Limits

# What may be kept of a head, in bytes for each byte of it, and beside that.
MAX_BYTES_KEPT, PARSER_BYTES = 3, 4_000
CROWD_SECONDS = 3.0
MEMORY_LIMIT_BYTES = 400_000


def short_fields(size: int) -> bytes:
    """Header lines with a name of their own each, together of this size."""
    return b"".join(b"%04x:%d\r\n" % (i, i % 10) for i in range(size // 8))


def test_a_head_of_many_short_fields_is_not_kept_as_objects() -> None:
    head = b"GET /job-status HTTP/1.1\r\nX-Request-ID: a\r\n" + short_fields(MAX_HEAD_BYTES * 3 // 4)
    parsers = [RequestParser() for _ in range(20)]
    parsers[0].feed(head)
    tracemalloc.start()
    for parser in parsers[1:]:
        parser.feed(head)
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept < (len(parsers) - 1) * (MAX_BYTES_KEPT * len(head) + PARSER_BYTES)
    parsers[0].feed(b"\r\n")
    (request,) = parsers[0].parsed
    assert isinstance(request, ReceivedRequest) and request.headers == {"x-request-id": "a"}


def test_a_head_that_is_too_large_is_rejected_before_it_ends() -> None:
    parser = RequestParser()
    parser.feed(b"GET / HTTP/1.1\r\n" + short_fields(MAX_HEAD_BYTES))
    assert parser.error and parser.error.status == 431


def test_few_of_the_requests_that_were_received_at_once_are_parsed_before_their_turn() -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig)
    requests = [request_head(f"r{number:03}") for number in range(100)]
    caller, connection = connect_caller(http_server, b"".join(requests))
    gevent.sleep(0.01)
    parsed = len(connection.parser.parsed) + connection.requests.qsize()
    assert len(rig.attempts) == 1 and parsed <= HEAD_SLICE_BYTES // len(requests[0]) + 1
    connection.close()
    caller.close()


@pytest.mark.parametrize("memory_mb", [32, 64, 96, 192])
@pytest.mark.parametrize("sockets", [256, 512, 1024])
def test_connections_and_what_they_carry_fit_into_the_memory(memory_mb: int, sockets: int) -> None:
    callers, nodes, held = split_budget(sockets, memory_mb)
    connections = (callers + nodes) * CONNECTION_KB * 1024
    assert connections + held * 4 // 3 <= (memory_mb - PROGRAM_MB) << 20
    assert callers >= 100 and nodes >= 60 and held >= 1 << 20


@pytest.mark.parametrize("memory_mb", [64, 192])
def test_two_processes_of_an_upgrade_fit_into_the_memory_of_one_proxy(memory_mb: int) -> None:
    limits = SimpleNamespace(memory_mb=0)
    operator = SimpleNamespace(recorder=limits, fleet=limits, copies=limits)
    config: Any = SimpleNamespace(sockets=1024, memory_mb=memory_mb, mgmt=None, operator=operator)
    callers, nodes, held = resource_shares(config, shared_with_process=True)
    process_bytes = (PROGRAM_MB << 20) + (callers + nodes) * CONNECTION_KB * 1024 + held * 4 // 3
    assert 2 * process_bytes <= memory_mb << 20
    assert 2 * (callers + nodes) < 1024


def test_a_whole_request_is_refused_at_once_where_no_memory_is_left_and_its_connection_stays_open() -> None:
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, memory_limit=MEMORY_LIMIT_BYTES)
    http_server.memory.count(2 * MEMORY_LIMIT_BYTES)
    caller, connection = connect_caller(http_server, request_head("a"))
    assert caller.recv(100).startswith(b"HTTP/1.1 503 ") and not rig.attempts
    http_server.memory.count(-2 * MEMORY_LIMIT_BYTES)
    caller.sendall(request_head("b"))
    gevent.sleep(0.02)
    assert [attempt.job.request_id for attempt in rig.attempts] == ["b"]
    connection.close()
    caller.close()
    assert http_server.memory.held == 0


def test_bodies_are_turned_down_where_those_that_wait_hold_all_memory() -> None:
    """Each that waited had been read in part: together they held many times the limit."""
    http_server = make_server(DispatcherRig(), memory_limit=MEMORY_LIMIT_BYTES)
    body_size = MEMORY_LIMIT_BYTES // 2
    callers = []
    for number in range(60):
        caller, _ = connect_caller(http_server, request_head(f"r{number}", body_size))
        caller.sendall(bytes(READ_CHUNK_BYTES))
        callers.append(caller)
        gevent.sleep(0.002)
    assert http_server.memory.held <= MEMORY_LIMIT_BYTES + READ_CHUNK_BYTES
    assert len(http_server.memory_waiters) > 1
    for connection in list(http_server.connections):
        connection.close()
    for caller in callers:
        caller.close()
    assert http_server.memory.held == 0


def test_an_answer_counts_from_its_receipt_until_its_caller_has_taken_it() -> None:
    size = 60_000
    rig = DispatcherRig()
    rig.driver.update_nodes(ListKind.FULL, 1, (Entry(1),))
    http_server = make_server(rig, memory_limit=MEMORY_LIMIT_BYTES)
    caller, connection = connect_caller(http_server, request_head("a"))
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    rig.driver.attempt_ended(rig.attempts.pop(), Status.OK, (), NodeResponse(bytes(size), ""))
    run_event_loop()
    assert http_server.memory.held >= size
    received = 0
    while received < size:
        received += len(caller.recv(size))
    run_event_loop()
    assert http_server.memory.held == 0
    connection.close()
    caller.close()


@pytest.mark.parametrize("short", [False, True])
def test_less_of_an_answer_is_collected_while_memory_is_short(short: bool) -> None:
    memory = MemoryBudget(MEMORY_LIMIT_BYTES)
    others = MEMORY_LIMIT_BYTES if short else 0
    memory.count(others)
    response = UpstreamResponse(64 * 1024, 1 << 20, memory)
    response.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n")
    response.feed(bytes(READ_CHUNK_BYTES))
    assert response.streamed is short and memory.held == others + READ_CHUNK_BYTES
    assert memory.read_size < READ_CHUNK_BYTES if short else memory.read_size == READ_CHUNK_BYTES
    response.take_body()
    assert memory.held == others


def check_crowd(limits: Limits, crowd: CrowdChoice) -> None:
    """Plays a crowd beside usual traffic against a real process. No rule may be broken. The soak is a process of its
    own, as its clients must not stand still while this one collects its garbage."""
    play_in_own_process(
        "--picture=crowd",
        f"--memory-mb={limits.memory_mb}",
        f"--sockets={limits.sockets}",
        f"--crowd={crowd.behaviour}:{crowd.count}:{crowd.size}",
        f"--seconds={CROWD_SECONDS}",
    )


@pytest.mark.parametrize("limits, count", [(Limits(32, 256), 150), (Limits(96, 1024), 580)])
def test_a_crowd_with_heads_of_many_short_fields_keeps_the_process_under_its_limit(
    limits: Limits, count: int
) -> None:
    check_crowd(limits, CrowdChoice("slow_heads", count, 30_000))


@pytest.mark.parametrize(
    "crowd",
    [
        CrowdChoice("stopped_bodies", 400, 200_000),
        CrowdChoice("slow_readers", 340, 1_000_000),
        CrowdChoice("idle", 600, 0),
    ],
)
def test_a_crowd_that_stops_or_reads_slowly_keeps_the_process_under_its_limit(crowd: CrowdChoice) -> None:
    check_crowd(Limits(32, 1024), crowd)


def test_a_crowd_that_pipelines_small_requests_keeps_the_process_under_its_limit() -> None:
    check_crowd(Limits(32, 1024), CrowdChoice("pipelined", 340, 100_000))
