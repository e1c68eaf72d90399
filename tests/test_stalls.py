"""Requests that wait unread while the process is stopped: their time limit counts from when the caller wrote them."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path

from fleet_rig import running_fleet
from hypothesis import given
from hypothesis import strategies as st
from proxy_rig import SAFE_CLASS, build_request

from slatehub.decisions.stall import (
    HEARTBEAT_INTERVAL_US,
    STALL_READ_GRACE_US,
    STALL_THRESHOLD_US,
    StallDetector,
)

SECOND = 1_000_000


@given(st.lists(st.integers(0, 3 * SECOND), max_size=30))
def test_the_wait_never_exceeds_the_stall_and_steady_heartbeats_are_no_stall(gaps: list[int]) -> None:
    detector, now = StallDetector(0), 0
    for gap in gaps:
        before, now = now, now + gap
        assert detector.max_unread_us(now) <= max(
            gap, detector.stall_ended_at - detector.stall_started_at + STALL_READ_GRACE_US
        )
        detector.heartbeat(now)
        assert (detector.stall_ended_at == now and gap > 0) == (gap > STALL_THRESHOLD_US)
        assert gap <= STALL_THRESHOLD_US or detector.max_unread_us(now) == now - before
    for _ in range(10):
        now += HEARTBEAT_INTERVAL_US
        detector.heartbeat(now)
    assert detector.max_unread_us(now) == detector.max_unread_us(now + HEARTBEAT_INTERVAL_US) == 0


def test_a_request_that_outlived_its_time_limit_in_a_stopped_process_is_refused_and_runs_nowhere(
    tmp_path: Path,
) -> None:
    """The request is written while the process is stopped, and its 2 s are over when the process reads it."""
    with running_fleet(tmp_path, 1) as rig:
        proxy = rig.programs["p0"]
        assert proxy.request(build_request("ok", SAFE_CLASS))[0] == 200
        requests_before = sum(len(node.requests) for node in rig.nodes)
        os.kill(proxy.process.pid, signal.SIGSTOP)
        statuses: list[int] = []
        request = build_request("ok", SAFE_CLASS, X_Timeout="2000m")
        caller = threading.Thread(target=lambda: statuses.append(proxy.request(request)[0]), daemon=True)
        caller.start()
        time.sleep(3)
        os.kill(proxy.process.pid, signal.SIGCONT)
        caller.join()
        assert statuses == [503] and sum(len(node.requests) for node in rig.nodes) == requests_before
        time.sleep(0.5)  # the stall is over: later requests do not count as delayed
        assert proxy.request(build_request("ok", SAFE_CLASS, X_Timeout="2000m"))[0] == 200
