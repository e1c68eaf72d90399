"""Private memory beside crowds of slow and stopped clients: what is kept of them is bounded by what is counted."""

from __future__ import annotations

import tracemalloc
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from test_line import DispatcherRig, connect_caller, make_server, request_head

from paddlestep.interface import Entry, ListKind
from slatehub.cli.main import resource_shares
from slatehub.core.limits import MAX_HEAD_BYTES
from slatehub.decisions.resource_budget import CONNECTION_KB, PROGRAM_MB, split_budget
from slatehub.fronts.http1.request_parser import HEAD_SLICE_BYTES, RequestParser
from slatehub.fronts.validation import ReceivedRequest
from slatelab.soak.pictures import CrowdChoice
from slatelab.soak.proxy_process import Limits
from slatelab.soak.run import Plan, play

# What may be kept of a head, in bytes for each byte of it, and beside that.
MAX_BYTES_KEPT, PARSER_BYTES = 3, 4_000
CROWD_SECONDS = 3.0


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


def check_crowd(limits: Limits, *crowds: CrowdChoice) -> None:
    """Plays crowds beside usual traffic against a real process. No rule may be broken."""
    result = play(Plan(1, ("crowd",), limits, CROWD_SECONDS, crowds=crowds))
    assert not result.violations, (result.line(), result.violations[:5])


@pytest.mark.parametrize("limits, count", [(Limits(32, 256), 150), (Limits(96, 1024), 580)])
def test_a_crowd_with_heads_of_many_short_fields_keeps_the_process_under_its_limit(
    limits: Limits, count: int
) -> None:
    check_crowd(limits, CrowdChoice("slow_heads", count, 30_000))


def test_a_crowd_that_pipelines_small_requests_keeps_the_process_under_its_limit() -> None:
    check_crowd(Limits(32, 1024), CrowdChoice("pipelined", 340, 100_000))
