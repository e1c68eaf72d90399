"""Serves Balancers over the wire format: batches on standard input, replies on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from .balance import Balancer
from .interface import Entry, Event
from .wire import (
    HEAD,
    Begin,
    Teardown,
    WireError,
    frame_size,
    read_batch,
    write_action,
    write_fault,
    write_reply,
)


def _read(source: BinaryIO, size: int) -> bytes:
    data = b""
    while len(data) < size:
        part = source.read(size - len(data))
        if not part:
            break
        data += part
    return data


class Host:
    """The Balancer instances of one process. They share only the numbered lists, which the wire sends once."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[Entry, ...]] = {}

    def reply(self, frame: bytes) -> bytes:
        """Processes one batch and returns the reply frame. Raises WireError on a bad frame."""
        now, records = read_batch(frame, self.lists)
        waiting: dict[int, list[Event]] = {}
        for who, event in records:
            if isinstance(event, Begin):
                self.instances[who] = Balancer(event.settings, event.seed)
                waiting[who] = []
            elif isinstance(event, Teardown):
                self.instances.pop(who, None)
                waiting.pop(who, None)
            elif who not in self.instances:
                raise WireError(f"bad frame: event for instance {who}, which has not begun")
            else:
                waiting.setdefault(who, []).append(event)
        out: list[bytes] = []
        for who, events in waiting.items():
            try:
                out.extend([write_action(who, action) for action in self.instances[who].handle(now, events)])
            except Exception as problem:  # reported to the other side, so that a run ends with a reason
                out.append(write_fault(who, f"{type(problem).__name__}: {problem}"))
        return write_reply(out)


def run(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves until the end of input. Returns 0 if that comes between frames, 1 on a bad frame or a closed output."""
    host = Host()
    try:
        while head := _read(source, HEAD.size):
            if len(head) < HEAD.size:
                raise WireError(f"bad frame: input ends after {len(head)} bytes of a header")
            size = frame_size(head)
            body = _read(source, size - HEAD.size)
            if len(body) < size - HEAD.size:
                raise WireError(f"bad frame: input ends after {HEAD.size + len(body)} of {size} bytes")
            sink.write(host.reply(head + body))
            sink.flush()
    except WireError as problem:
        print(f"paddlestep: {problem}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin.buffer, sys.stdout.buffer))
