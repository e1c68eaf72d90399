"""Two clients ask for an answer of 6 MB that the node gives at full speed, and take it at 64 kB a second."""

from __future__ import annotations

import socket
import sys
import threading
import time
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
    request_bytes,
)

BODY = b"".join(b"%015d\n" % i for i in range(375_000))  # 6 MB, no two places alike
BYTES_PER_S = 64_000 if TROUBLE else 64_000_000
STEP_S = 0.05  # between two reads


def case(record: Record, proxies: list[Proxy]) -> str:
    def answer(conn: socket.socket, request: Request) -> bool:
        try:
            conn.sendall(plain_answer(BODY))
            record(f"node: the whole answer to {request.id} is given")
        except OSError as problem:
            record(f"node: the answer to {request.id} is cut off by the proxy: {type(problem).__name__}")
            raise
        return True

    nodes = [Node(f"s-{i}", record, answer) for i in range(4)]
    members = [member(node) for node in nodes]
    proxy = Proxy(record, Discovery(record, members).address, members)
    proxies.append(proxy)
    proxy.start()
    proxy.wait_ready()
    lost: list[str] = []

    def client(number: int) -> None:
        cls = ("job-status", "order-place")[number]
        with socket.create_connection(proxy.address) as conn:
            conn.settimeout(15)
            conn.sendall(request_bytes(number + 1, cls, b"" if cls == "job-status" else b"order"))
            began, received, size, how = now(), b"", 0, ""
            while not size or len(received) < size:
                due = now() + STEP_S
                try:
                    chunk = conn.recv(int(BYTES_PER_S * STEP_S))
                except OSError as problem:
                    how = type(problem).__name__
                    break
                if not chunk:
                    how = "the proxy closed the connection"
                    break
                received += chunk
                if not size and b"\r\n\r\n" in received:
                    head = received.partition(b"\r\n\r\n")[0].decode().lower()
                    length = int(head.partition("content-length:")[2].split("\r\n")[0])
                    size = len(head) + 4 + length
                    record(f"client {number}: {head.splitlines()[0]}, {length} bytes to come")
                time.sleep(max(0.0, due - now()))
        body = received.partition(b"\r\n\r\n")[2]
        text = f"client {number}, {cls}: {len(body)} of {len(BODY)} bytes after {now() - began:.1f} s {how}"
        record(text)
        if body != BODY:
            lost.append(text)

    clients = [threading.Thread(target=client, args=(i,), daemon=True) for i in range(2)]
    for thread in clients:
        thread.start()
    end = now() + 105
    for thread in clients:
        thread.join(max(0.0, end - now()))
    if any(thread.is_alive() for thread in clients):
        raise TimeoutError("the clients have not ended")
    return "; ".join(lost)


if __name__ == "__main__":
    play(HERE, case)
