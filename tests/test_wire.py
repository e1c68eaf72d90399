"""The wire format: hand-written frames, malformed frames, settings, and the adapter as a process."""

from __future__ import annotations

import io
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from paddlestep import (
    Arrival,
    Cancel,
    Fail,
    Log,
    Outcome,
    Probe,
    Refuse,
    Send,
    SetTimer,
    Status,
    TimerFired,
    Watch,
)
from paddlestep.adapter import run
from paddlestep.wire import WireError, parse_settings, read_batch, write_action, write_reply

TEXT = """
obligations.answer_slack_us=8000
obligations.drain_grace_us=250000
obligations.cold_from=0.2
obligations.warm_after_us=10000000
obligations.fall_multiple=2.5
obligations.tip_after_us=1500000
allowed.max_attempts=3
allowed.may_cancel=true
discovery=pushed
services.count=1
services.0.name=quote
services.0.idempotency=retryable
services.0.hard_limit_us=400000
services.0.slo_us=150000
siblings=2
tick_us=2000
some.new.key=whatever
"""


def frame(*records: bytes, now: int = 1_000_000) -> bytes:
    body = b"".join(records)
    return struct.pack(">IIQ", 16 + len(body), len(records), now) + body


def begin(text: str = TEXT, who: int = 3) -> bytes:
    raw = text.encode()
    return struct.pack(">BIQI", 16, who, 7, len(raw)) + raw


ROW = bytes.fromhex("3f800000 0000000000000000 0000 0a124a07 1b5b 0000 00 0000")
LIST = bytes.fromhex("1a 00 00000001") + ROW + bytes.fromhex("11 00000003 0000000000000029 00 04")
ASK = bytes.fromhex("12 00000003 0004bce15d3a91c4 0000 00000000 91f03b7c55d20a64 0003a980 00002ee0 01")


def test_events_as_bytes():
    records = bytes.fromhex(
        "16 00000003 000000000000004d"
        "14 00000003 0004bce15d3a91c4 0000 0a124a07 1b5b 6e 00004844 01 01 3f800000"
    )
    now, events = read_batch(frame(ASK, records[:13], records[13:]), {})
    assert now == 1_000_000
    assert list(events) == [
        (3, Arrival(0x4BCE15D3A91C4, 0, 0, 0x91F03B7C55D20A64, 240000, 12000)),
        (3, TimerFired(77)),
        (3, Outcome(0x4BCE15D3A91C4, 0, 0x0A124A071B5B, Status.TIMEOUT, 0x4844, True, (1.0,))),
    ]


@pytest.mark.parametrize(
    ("action", "raw"),
    [
        (Send(0x4BCE15D3A91C4, 0x0A124A071B5B, 80000), "10 00000003 0004bce15d3a91c4 0a124a07 1b5b 00013880"),
        (Refuse(0xE8AFF0E6F2B19, 250000), "11 00000003 000e8aff0e6f2b19 0003d090"),
        (Fail(0xE8AFF0E6F2B19), "12 00000003 000e8aff0e6f2b19"),
        (Cancel(0x4BCE15D3A91C4, 0), "13 00000003 0004bce15d3a91c4 0000"),
        (SetTimer(500000, 77), "14 00000003 0007a120 000000000000004d"),
        (Probe(0x0A9011F21B84), "15 00000003 0a9011f2 1b84"),
        (Watch(True), "1a 00000003 01"),
        (Log("two servers known"), "18 00000003 0011 74776f2073657276657273206b6e6f776e"),
    ],
)
def test_actions_as_bytes(action, raw):
    assert write_action(3, action) == bytes.fromhex(raw)


def test_empty_reply():
    assert write_reply([]) == bytes.fromhex("00000004")


def serve(data: bytes) -> tuple[int, bytes]:
    out = io.BytesIO()
    return run(io.BytesIO(data), out), out.getvalue()


def test_three_frames_are_answered():
    code, out = serve(frame(now=5) + frame(begin(), LIST[:31], LIST[31:]) + frame(ASK))
    assert code == 0
    assert out.startswith(bytes.fromhex("00000004 00000004"))
    assert bytes.fromhex("10 00000003 0004bce15d3a91c4 0a124a07 1b5b 00000000") in out


def test_teardown_and_a_new_begin_in_one_batch_start_afresh():
    stop = bytes.fromhex("19 00000003")
    code, out = serve(frame(begin(), LIST[:31], LIST[31:], ASK) + frame(stop, begin(), now=2_000_000))
    assert code == 0
    assert out.endswith(bytes.fromhex("00000004"))


@pytest.mark.parametrize(
    "data",
    [
        frame(ASK)[:10],
        frame(ASK)[:-1],
        struct.pack(">IIQ", 8, 0, 0),
        struct.pack(">IIQ", 0xFFFFFFFF, 0, 0),
        frame(b"\x63\x00\x00\x00\x03"),
        struct.pack(">IIQ", 17, 0, 0) + b"\x00",
        frame(begin(), ASK[:-4]),
        frame(ASK),
        frame(begin(), bytes.fromhex("11 00000003 0000000000000029 05 04")),
        frame(begin(), bytes.fromhex("14 00000003 0004bce15d3a91c4 0000 0a124a07 1b5b 07 00004844 01 00")),
        frame(begin(TEXT.replace("siblings=2", "siblings=two"))),
        frame(begin(TEXT.replace("siblings=2", ""))),
    ],
)
def test_bad_input_is_one_plain_line_and_a_failing_exit(data, capsys):
    code, out = serve(data)
    assert code == 1 and out == b""
    captured = capsys.readouterr()
    assert captured.out == "" and captured.err.count("\n") == 1 and "Traceback" not in captured.err


@pytest.mark.parametrize("key", ["siblings", "services.0.slo_us", "obligations.cold_from", "discovery"])
def test_missing_settings_are_named(key):
    text = "\n".join(line for line in TEXT.splitlines() if not line.startswith(key + "="))
    with pytest.raises(WireError, match=key.replace(".", r"\.")):
        parse_settings(text)


def test_adapter_as_a_process():
    data = frame(begin(), LIST[:31], LIST[31:]) + frame(ASK)
    root = Path(__file__).parents[1]
    done = subprocess.run(
        [sys.executable, "-m", "paddlestep.adapter"], input=data, capture_output=True, cwd=root, check=False
    )
    assert done.returncode == 0 and done.stderr == b""
    assert (0, done.stdout) == serve(data)
