"""Callers that take a large answer slowly get all of it; those that take nothing lose their connection in time."""

from __future__ import annotations

import socket
import time
from pathlib import Path

import pytest
from proxy_rig import SAFE_CLASS, UNSAFE_CLASS, build_request, read_head, running_proxy
from test_bulk import LARGE_BODY, LargeResponseNode

from slatehub.decisions.delivery import write_deadline

MINUTE_US = 60_000_000
# Timeouts a tenth of what they are, for callers that are ten times as fast as the slowest that are allowed.
TENTH = """
from slatehub.drivers import pipe
from slatehub.fronts.http1 import caller_connection
pipe.STALL_TIMEOUT_S = 1.0
caller_connection.WRITE_WATCH_DELAY_US = 200_000
caller_connection.RESPONSE_WRITE_TIMEOUT_US //= 10
"""
SLOW_BYTES_PER_S = 640_000
STEP_S = 0.05  # between two reads


@pytest.mark.parametrize("action, cls", [("length", UNSAFE_CLASS), ("chunked", SAFE_CLASS)])
def test_a_caller_that_takes_a_large_answer_slowly_gets_all_of_it(
    tmp_path: Path, action: str, cls: str
) -> None:
    """A write to a caller that reads all the time ended after 10 s, as the system reports room only when a third of a
    send buffer of some MB is free: the answer was cut off."""
    with running_proxy(tmp_path, kind=LargeResponseNode, code=TENTH) as p, p.program.connect() as conn:
        conn.sendall(build_request(action, cls))
        received = bytearray(read_head(conn).encode())
        assert received.startswith(b"HTTP/1.1 200 ")
        size, ended = len(received) + len(LARGE_BODY), b"0\r\n\r\n" if action == "chunked" else b""
        due = time.monotonic()
        while len(received) < size or not received.endswith(ended):
            chunk = conn.recv(int(SLOW_BYTES_PER_S * STEP_S))
            assert chunk, f"closed after {len(received)} of {size} bytes"
            received += chunk
            due += STEP_S
            time.sleep(max(0.0, due - time.monotonic()))
        assert action == "chunked" or received.endswith(LARGE_BODY)


def test_a_caller_that_takes_nothing_of_its_answer_loses_its_connection(tmp_path: Path) -> None:
    """It would hold a connection to a node, and a descriptor, for ever."""
    fast = TENTH + "caller_connection.RESPONSE_WRITE_TIMEOUT_US = 500_000\n"
    with running_proxy(tmp_path, kind=LargeResponseNode, code=fast) as p, p.program.connect() as conn:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        conn.sendall(build_request("endless-print", SAFE_CLASS))
        read_head(conn)
        assert p.nodes[0].disconnected.acquire(timeout=20)


def test_a_write_is_given_up_by_what_was_acknowledged_not_by_how_long_it_takes() -> None:
    pause_us = 35_000_000
    for rate in (0, 1_000, 40_000, 48_000, 64_000):
        taken = [
            now
            for now in range(0, 20 * MINUTE_US, 1_000_000)
            if now >= write_deadline(0, rate * now // 1_000_000, pause_us)
        ]
        assert bool(taken) == (rate < 48_000)
        assert rate or taken[0] == pause_us
