"""Nodes in another zone send a second copy of some answers a few milliseconds late, when nothing else waits on the
connection. Each client has to get the answer that a node made for its own request."""

from __future__ import annotations

import random
import select
import socket
import threading
import time
from collections import Counter
from pathlib import Path
from queue import Queue
from typing import Any

import rig
from rig import TROUBLE, CouldNotRun, Node, Rig, play, read_message, response, service

ONE_WAY_S = 0.010  # between two zones, also with TROUBLE=0
COPY_SHARE = 0.05  # of the answers that a second copy follows
LATE_S = (0.003, 0.008)  # how late it is sent: "some milliseconds"
THINK_S = 0.03  # at most, between an answer and the next request of a client
PLAY_S = 30.0
READ, POST = "balance-read", "journal-post"


class Link:
    """The path between two zones: a TCP relay that delivers each piece ONE_WAY_S after it has come, in order."""

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self.target = (host, int(port))
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self.sock.accept()
                far = socket.create_connection(self.target)
            except OSError:
                return
            for a, b in ((near, far), (far, near)):
                a.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                pieces: Queue[tuple[float, bytes]] = Queue()
                threading.Thread(target=self._take, args=(a, pieces), daemon=True).start()
                threading.Thread(target=self._give, args=(b, pieces), daemon=True).start()

    @staticmethod
    def _take(sock: socket.socket, pieces: Queue[tuple[float, bytes]]) -> None:
        data = b"x"
        while data:
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            pieces.put((time.monotonic() + ONE_WAY_S, data))

    @staticmethod
    def _give(sock: socket.socket, pieces: Queue[tuple[float, bytes]]) -> None:
        while True:
            due, data = pieces.get()
            time.sleep(max(0.0, due - time.monotonic()))
            try:
                if not data:
                    sock.shutdown(socket.SHUT_WR)
                    return
                sock.sendall(data)
            except OSError:
                return


class CopyingNode(Node):
    """A sound node, but for the second copies. Its answer names the id of the request."""

    def __init__(self, ident: str, *args: Any) -> None:
        self.rng = random.Random(ident)
        self.copies = 0
        super().__init__(ident, *args)
        self.link = Link(self.address)
        self.address = self.link.address

    def _serve(self, conn: socket.socket) -> None:
        with conn, conn.makefile("rb") as stream:
            try:
                while message := read_message(stream):
                    method, target, _ = message[0].split(" ", 2)
                    data = self.answer(method, target, message[1], message[2])
                    conn.sendall(data)
                    if TROUBLE and self.rng.random() < COPY_SHARE:
                        self._send_copy(conn, data, message[1].get("x-request-id", ""))
            except (OSError, ValueError):
                pass

    def _send_copy(self, conn: socket.socket, data: bytes, request: str) -> None:
        """Unless a byte of a further request, or the end of the connection, has come until then."""
        if not select.select([conn], [], [], self.rng.uniform(*LATE_S))[0]:
            self.copies += 1
            self.record(f"copy     {self.ident}: second copy of the answer to {request}")
            conn.sendall(data)

    def answer(self, method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        request = headers.get("x-request-id", "")
        with self.lock:
            self.runs.append((time.monotonic(), request, target))
        self.record(f"run      {self.ident}: id {request} {target}")
        time.sleep(self.work_s)
        return response("200 OK", f"answer to {request}".encode(), "X-Server-Load: qps=3.0,util=0.30\r\n")


rig.Node = CopyingNode  # type: ignore[misc]
rig.SERVICES[:] = [
    service(READ, "retryable", 12.0) | {"slo_us": 1000000, "hard_limit_us": 2500000},
    service(POST, "fragile", 1.0) | {"slo_us": 1000000, "hard_limit_us": 2500000},
]
rig.ZONES[:] = ["dar-kariakoo", "arusha"]


def case(playing: Rig) -> list[str]:
    playing.start_all()
    playing.warm_up(READ)
    found: list[str] = []
    counts: Counter[int] = Counter()
    until = time.monotonic() + PLAY_S

    def client(number: int) -> None:
        rng = random.Random(number)
        cls, body = (POST, b"entry " * 16) if number % 2 else (READ, b"")
        while time.monotonic() < until:
            status, answer, request = playing.ask_id("p0", cls, "account", body, timeout_ms=2500)
            counts[status] += 1
            if status == 200 and answer != f"answer to {request}".encode():
                found.append(f"request {request} of {cls} was answered 200 {answer.decode()!r}")
            time.sleep(rng.uniform(0, THINK_S))

    threads = [threading.Thread(target=client, args=(i,), daemon=True) for i in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    foreign = len(found)
    ran = Counter(request for _, request, target, _ in playing.runs() if POST in target)
    found += [f"request {request} of {POST} ran {n} times" for request, n in ran.items() if n > 1]
    copies = sum(node.copies for node in playing.nodes)
    summary = (
        f"answers {dict(counts)}, {copies} second copies, {foreign} foreign, {len(found) - foreign} ran twice"
    )
    playing.record(f"judge    {summary}")
    rig.say(summary)
    if counts[200] < 500:
        raise CouldNotRun("too few requests were served")
    return found


play(case, Path(__file__).parent, count=1, work_s=0.03)
