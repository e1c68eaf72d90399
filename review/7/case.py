"""Beside usual traffic, clients send orders with a body of 8 MB and leave in a burst before they are answered. The
bodies stay in the proxy's memory. The platform measures it, and kills the proxy when it is over its limit."""

from __future__ import annotations

import signal
import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    TROUBLE,
    Discovery,
    Node,
    Proxy,
    Record,
    Request,
    member,
    now,
    plain_answer,
    play,
    read_answer,
    request_bytes,
    request_headers,
)

MEMORY_MB, SOCKETS = 192, 1024  # the most that a proxy gets
USUAL_CLIENTS, PAUSE_S = 8, 0.09  # some 41 requests a second
BURST, BURST_EVERY_S = 12, 4.0  # clients that leave, all at once
BODY = b"".join(b"%015d\n" % i for i in range(500_000))  # 8 MB
STAY_S = 0.4  # after the last byte; then the client closes its connection
NODE_S = 0.8  # for a node to answer an order; 0.1 s for a look-up
PLAY_S = 40.0


def case(record: Record, proxies: list[Proxy]) -> str:
    def answer(conn: socket.socket, request: Request) -> bool:
        request.body = b""
        time.sleep(NODE_S if request.target == "/order-place" else 0.1)
        conn.sendall(plain_answer(b"done " + request.id.encode()))
        return True

    nodes = [Node(f"s-{i}", record, answer) for i in range(8)]
    members = [member(node) for node in nodes]
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    proxy = Proxy(record, Discovery(record, members).address, members, limits=limits)
    proxies.append(proxy)
    proxy.start()
    proxy.wait_ready()
    end = now() + PLAY_S
    told: Counter[str] = Counter()
    stopped = threading.Event()

    def usual_client(number: int) -> None:
        count = 0
        while now() < end and not stopped.is_set():
            count += 1
            headers = request_headers(f"{number:04x}{count:012x}", "job-status")
            try:
                result = str(proxy.call("GET", "/job-status", headers=headers)[0])
            except OSError as problem:
                result = type(problem).__name__
            told[f"look-up {result}"] += 1
            time.sleep(PAUSE_S)

    def order(ident: str) -> None:
        try:
            with socket.create_connection(proxy.address) as conn:
                conn.settimeout(20)
                conn.sendall(request_bytes(ident, "order-place", BODY))
                if TROUBLE:
                    time.sleep(STAY_S)
                    result = "left"
                else:
                    result = str(read_answer(conn)[0])
        except OSError as problem:
            result = type(problem).__name__
        told[f"order {result}"] += 1
        record(f"order {ident}: {result}")

    def bursts() -> None:
        count = 0
        while now() < end and not stopped.is_set():
            for _ in range(BURST):
                count += 1
                threading.Thread(target=order, args=(f"{1 << 60 | count:016x}",), daemon=True).start()
            time.sleep(BURST_EVERY_S)

    clients = [threading.Thread(target=usual_client, args=(i,), daemon=True) for i in range(USUAL_CLIENTS)]
    clients.append(threading.Thread(target=bursts, daemon=True))
    for thread in clients:
        thread.start()
    assert proxy.process
    status_file = Path(f"/proc/{proxy.process.pid}/status")
    highest = 0
    broken = ""
    while now() < end and not broken:
        # Private memory alone: what the program and its libraries have in common with their files is not counted.
        rows = status_file.read_text().splitlines()
        private_kb = sum(int(row.split()[1]) for row in rows if row.startswith(("RssAnon", "RssShmem")))
        highest = max(highest, private_kb)
        if private_kb > MEMORY_MB * 1024:
            highest_mb = f"{private_kb / 1024:.1f} MB of private memory"
            broken = f"{highest_mb}, {MEMORY_MB} MB are the limit: the platform kills it"
            stopped.set()
            proxy.signal(signal.SIGKILL)
        elif proxy.process.poll() is not None:
            broken = f"the proxy has ended with {proxy.process.returncode}"
        time.sleep(0.005)
    record(f"highest private memory {highest / 1024:.1f} MB; so far: {dict(told)}")
    for thread in clients:
        thread.join(max(0.0, end + 12 - now()))
    return broken


if __name__ == "__main__":
    play(HERE, case)
