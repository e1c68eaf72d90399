"""One bad client pipelines requests of a class that does not exist and sends each again the moment it is turned away.
Four usual clients ask meanwhile, each on a connection of its own, one request at a time."""

from __future__ import annotations

import socket
import subprocess
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
    read_answer,
    request_bytes,
)  # fmt: skip

IN_FLIGHT = 500  # requests of the bad client at once
BAD_S = 12.0  # for so long it goes on
TIMEOUT_MS = 4000  # of the usual clients, between 50% and 100% of the class's 6 s
SLACK_S = 0.5 + 0.05  # "up to half a second after its time it only earns nothing", and 50 ms on sockets
BAD_REQUEST = (
    b"GET /no-such-class HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: 00000000000000aa\r\n"
    b"X-Priority-Class: no-such-class\r\nX-Tenant-Id: etna\r\nX-Timeout: 6000m\r\n\r\n"
)


def bad_client(port: int) -> None:
    """Runs in a process of its own. Prints how many of its requests were turned away."""
    turned_away, end = 0, time.monotonic() + BAD_S
    with socket.create_connection(("127.0.0.1", port)) as conn:
        conn.settimeout(5)
        conn.sendall(BAD_REQUEST * IN_FLIGHT)
        rest = b""
        try:
            while time.monotonic() < end and (data := conn.recv(1 << 18)):
                data = rest + data
                answers = data.count(b"HTTP/1.1 ")
                rest = data[-8:]  # an answer's first bytes may be cut; they are too short to count twice
                turned_away += answers
                if answers:
                    conn.sendall(BAD_REQUEST * answers)
        except OSError as problem:
            print(f"{type(problem).__name__},", end=" ")
    print(f"{turned_away} answers")


def case(record: Record, proxies: list[Proxy]) -> str:
    def answer(conn: socket.socket, request: Request) -> bool:
        time.sleep(0.1)
        conn.sendall(plain_answer(b"done " + request.id.encode()))
        return True

    nodes = [Node(f"s-{i}", record, answer) for i in range(4)]
    members = [member(node) for node in nodes]
    proxy = Proxy(record, Discovery(record, members).address, members)
    proxies.append(proxy)
    proxy.start()
    proxy.wait_ready()
    lost: list[str] = []
    end = now() + BAD_S + 3

    def usual_client(number: int) -> None:
        count = 0
        conn: socket.socket | None = None
        while now() < end:
            count += 1
            ident = f"{number:04x}{count:012x}"
            cls = ("job-status", "order-place")[number % 2]
            began, told = 0.0, "nothing"
            for attempt in (1, 2):  # a close that crosses the request: once more, on a new connection
                fresh = conn is None
                conn = conn or socket.create_connection(proxy.address)
                conn.settimeout(20)
                began = began if attempt == 2 and began else now()
                try:
                    conn.sendall(
                        request_bytes(ident, cls, b"" if cls == "job-status" else b"order", TIMEOUT_MS)
                    )
                    status, _ = read_answer(conn)
                    told = str(status)
                    break
                except OSError as problem:
                    told = type(problem).__name__
                    conn.close()
                    conn = None
                    if fresh:
                        break
            took = now() - began
            late = took > TIMEOUT_MS / 1000 + SLACK_S or not told.isdigit()
            record(
                f"usual client {number}: {ident} {cls} sent at {began:.3f}, told {told} after {took:.3f} s"
            )
            if late:
                lost.append(f"{ident} told {told} after {took:.2f} s of its {TIMEOUT_MS / 1000:.1f} s")
            time.sleep(0.3)

    clients = [threading.Thread(target=usual_client, args=(i,), daemon=True) for i in range(4)]
    for client in clients:
        client.start()
    time.sleep(1)
    bad = None
    if TROUBLE:
        record(f"a bad client begins, {IN_FLIGHT} requests at once")
        bad = subprocess.Popen(
            [sys.executable, "-B", __file__, str(proxy.port)], stdout=subprocess.PIPE, text=True
        )
    try:
        for client in clients:
            client.join(max(0.0, end + 45 - now()))
        if bad:
            record(f"bad client: {bad.communicate(timeout=30)[0].strip()}")
    finally:
        if bad and bad.poll() is None:
            bad.kill()
    return "; ".join(lost[:4])


if __name__ == "__main__":
    if len(sys.argv) > 1:
        bad_client(int(sys.argv[1]))
    else:
        play(HERE, case)
