"""Clients send orders with a body of 16 MB, one at a time each, and get an answer as long. The platform measures the
memory of the proxy and kills it when it is over its limit."""

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
)

MEMORY_MB, SOCKETS = 96, 256
CLIENTS = 25
BODY = b"".join(b"%015d\n" % i for i in range(1_000_000 if TROUBLE else 1_250))  # 16 MB, or 20 kB
PLAY_S = 40.0


def case(record: Record, proxies: list[Proxy]) -> str:
    def answer(conn: socket.socket, request: Request) -> bool:
        conn.sendall(plain_answer(request.body))
        request.body = b""
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
    open_requests: dict[int, str] = {}
    killed = threading.Event()

    def client(number: int) -> None:
        count = 0
        while now() < end and not killed.is_set():
            count += 1
            ident = f"{number:04x}{count:012x}"
            open_requests[number] = ident
            try:
                with socket.create_connection(proxy.address) as conn:
                    conn.settimeout(20)
                    conn.sendall(request_bytes(ident, "order-place", BODY))
                    status, body = read_answer(conn)
                    if status == 200 and body != BODY:
                        status = -1
                result = str(status)
            except OSError as problem:
                result = type(problem).__name__
            if killed.is_set():
                record(f"client {number}: {ident} was open when the proxy was killed, told {result}")
                return
            del open_requests[number]
            told[result] += 1
            record(f"client {number}: {ident} told {result}")
            time.sleep(0.01 if TROUBLE else 0.05)

    clients = [threading.Thread(target=client, args=(i,), daemon=True) for i in range(CLIENTS)]
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
            broken = f"{private_kb / 1024:.1f} MB of private memory, {MEMORY_MB} MB are the limit"
            killed.set()
            proxy.signal(signal.SIGKILL)
        elif proxy.process.poll() is not None:
            broken = f"the proxy has ended with {proxy.process.returncode}"
        time.sleep(0.005)
    record(f"highest private memory {highest / 1024:.1f} MB; answers so far: {dict(told)}")
    for thread in clients:
        thread.join(max(0.0, end + 25 - now()))
    if broken:
        broken += f": the platform kills it, with {len(open_requests)} requests open"
    return broken


if __name__ == "__main__":
    play(HERE, case)
