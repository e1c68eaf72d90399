"""What waits unread while a process stands still: its callers' time runs from when they wrote it."""

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
def test_no_wait_is_longer_than_the_silence_and_none_is_found_in_a_steady_beat(gaps: list[int]) -> None:
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


def test_an_order_that_waited_out_its_time_before_a_stopped_process_is_refused_and_runs_nowhere(
    tmp_path: Path,
) -> None:
    with running_fleet(tmp_path, 1) as rig:
        program = rig.programs["p0"]
        assert program.request(build_request("ok", SAFE_CLASS))[0] == 200
        seen = sum(len(node.requests) for node in rig.nodes)
        os.kill(program.process.pid, signal.SIGSTOP)
        found: list[int] = []
        asked = build_request("ok", SAFE_CLASS, X_Timeout="2000m")
        caller = threading.Thread(target=lambda: found.append(program.request(asked)[0]), daemon=True)
        caller.start()
        time.sleep(3)
        os.kill(program.process.pid, signal.SIGCONT)
        caller.join()
        assert found == [503] and sum(len(node.requests) for node in rig.nodes) == seen
        time.sleep(0.5)  # a stall is over soon: nothing that comes later is taken for old
        assert program.request(build_request("ok", SAFE_CLASS, X_Timeout="2000m"))[0] == 200
