"""Stand-ins for the cases 6 to 10: nodes, discovery, and the proxy itself as a process started with the deploy file's
`run`. Only the standard library; every address is on 127.0.0.1."""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTED = time.monotonic()


def now() -> float:
    """Seconds since the script started."""
    return time.monotonic() - STARTED


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.lock = threading.Lock()
        self(f"TROUBLE={int(TROUBLE)}")

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{now():9.3f} {text}\n")
            self.file.flush()


class Request:
    """A request as a node got it: when its first and its last byte came (0: never)."""

    def __init__(self, node: str, first_byte: float, head: str) -> None:
        self.node, self.first_byte, self.head = node, first_byte, head
        self.last_byte = 0.0
        self.body = b""

    @property
    def id(self) -> str:
        return self.header("x-request-id")

    @property
    def target(self) -> str:
        return self.head.split(" ")[1]

    def header(self, name: str) -> str:
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""


Answer = Callable[[socket.socket, Request], bool]


def plain_answer(body: bytes, status: str = "200 OK", more: str = "") -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nX-Server-Load: qps=3.0,util=0.4\r\n{more}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Server:
    """Accepts connections at a free port, each served by a thread of its own."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn = self.sock.accept()[0]
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn: socket.socket) -> None:
        with conn:
            try:
                self.serve(conn)
            except OSError:
                pass

    def serve(self, conn: socket.socket) -> None:
        raise NotImplementedError


class Node(Server):
    """A sound server: reads one whole request after another and answers as `answer` does, which returns whether the
    connection stays open. `requests`: all that came, also unfinished ones."""

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        self.name, self.record, self.answer = name, record, answer
        self.requests: list[Request] = []
        super().__init__()

    def serve(self, conn: socket.socket) -> None:
        data = b""
        while True:
            first = 0.0
            while b"\r\n\r\n" not in data:
                chunk = conn.recv(65536)
                if not chunk:
                    return
                first = first or now()
                data += chunk
            head, _, data = data.partition(b"\r\n\r\n")
            request = Request(self.name, first, head.decode("latin-1"))
            size = int(request.header("content-length") or 0)
            self.requests.append(request)
            pieces, got = [data], len(data)
            while got < size:
                chunk = conn.recv(min(1 << 20, size - got))
                if not chunk:
                    return
                pieces.append(chunk)
                got += len(chunk)
            data = b"".join(pieces)
            request.body, data = data[:size], data[size:]
            request.last_byte = now()
            self.record(f"node {self.name} got {request.id}, first byte at {first:.3f}")
            if not self.answer(conn, request):
                return


class Discovery(Server):
    """The list of nodes, asked for: whole, or a watch on changes."""

    def __init__(self, record: Record, members: list[dict[str, Any]]) -> None:
        self.record = record
        self.changed = threading.Condition()
        self.revision = 1
        self.members = {m["id"]: (1, m) for m in members}
        super().__init__()

    def update(self, member: dict[str, Any]) -> None:
        with self.changed:
            self.revision += 1
            self.members[member["id"]] = (self.revision, member)
            self.changed.notify_all()
        self.record(f"discovery has {member['id']} as {member['phase']}, revision {self.revision}")

    def serve(self, conn: socket.socket) -> None:
        data = b""
        while True:
            while b"\r\n\r\n" not in data:
                chunk = conn.recv(65536)
                if not chunk:
                    return
                data += chunk
            head, _, data = data.partition(b"\r\n\r\n")
            query = head.decode().split(" ")[1].partition("?")[2]
            values = dict(part.split("=") for part in query.split("&") if "=" in part)
            since, wait = int(values.get("since", -1)), int(values.get("timeout_ms", 0)) / 1000
            with self.changed:
                if since >= 0:
                    self.changed.wait_for(lambda s=since: self.revision > s, wait)  # type: ignore[misc]
                rows = [m for revision, m in self.members.values() if revision > since]
                if since < 0:
                    rows = [m for m in rows if m["phase"] != "DELETED"]
                tree = {"revision": self.revision, "complete": since < 0, "members": rows}
            body = json.dumps(tree).encode()
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def member(node: Node, phase: str = "SERVING") -> dict[str, Any]:
    return {
        "id": node.name, "host_port": node.address, "locality": "sala", "flavor": "std", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": 0,
    }  # fmt: skip


CLASSES = {"job-status": "retryable", "order-place": "fragile"}


def settings(
    deadline_ms: int = 6000, classes: dict[str, str] | None = None, **allowed: Any
) -> dict[str, Any]:
    """Settings of a small deployment: one machine room, one proxy, two customers."""
    return {
        "allowed": {
            "max_attempts": 4, "may_cancel": True, "may_duplicate": True, "conn_idle_us": 30_000_000,
            "connect_timeout_us": 150_000, "probing": True, "retry_after": True, "max_retry_after_us": 2_000_000,
            "peer_messages": False, "max_open": 32_768, "max_streams": 1, "cpu_us_per_s": 500_000,
            "cpu_us_per_request": 0.0, **allowed,
        },
        "services": [
            {"name": name, "idempotency": effect, "dedup_scope": "all", "slo_us": min(2500, deadline_ms) * 1000,
             "hard_limit_us": deadline_ms * 1000, "late_worth": 0.0, "memory_span_us": 5_000_000, "points": 5.0,
             "streamed": False}
            for name, effect in (classes or CLASSES).items()
        ],
        "tenants": [{"name": name, "share": 0.5, "allowance_per_s": 50.0} for name in ("etna", "piana")],
        "obligations": {
            "answer_slack_us": 20_000, "ask_every_us": 10_000_000, "cold_from": 0.32, "drain_grace_us": 2_500_000,
            "fall_multiple": 3.0, "tip_after_us": 1_500_000, "warm_after_us": 8_800_000,
        },
        "report": {"columns": ["qps", "util"], "source": "answers"},
        "kinds": ["std"], "zones": ["sala"], "stages": ["front", "jobs", "presses"], "me": 0, "my_zone": 0,
        "siblings": 1, "tick_us": 5000, "tier": 0, "discovery": "on_request", "weights": "none",
        "counted_by": "request", "family": "chain", "family_info": {"passes_deadline": True}, "over_share_worth": 0.2,
        "client_habits": {"marks_retry": False},
    }  # fmt: skip


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Proxy:
    """The program as the deploy file's `run` starts it, with a $TMPDIR of its own."""

    def __init__(
        self, record: Record, discovery: str, known: list[dict[str, Any]], name: str = "n1", operator: str = "",
        tmp: Path | None = None, port: int = 0, **more: Any,
    ) -> None:  # fmt: skip
        self.record, self.name = record, name
        self.tmp = tmp or Path(tempfile.mkdtemp(prefix="review-"))
        self.port = port or free_port()
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": True, "members": known}, "settings": settings(), **more,
        }  # fmt: skip
        self.config_path = self.tmp / f"{name}-{self.port}.json"
        self.operator = operator
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def write_config(self, **changes: Any) -> None:
        self.config |= changes
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config))
        temporary.replace(self.config_path)

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        self.write_config()
        private = self.tmp / f"tmp-{self.name}"
        private.mkdir(exist_ok=True)
        env = {
            **os.environ, "TMPDIR": str(private), "EDGE_CONFIG": str(self.config_path), "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.config["listen"], "EDGE_DISCOVERY": self.config["discovery"],
        }  # fmt: skip
        if "mgmt" in self.config:
            env["EDGE_MGMT"] = self.config["mgmt"]
        if self.operator:
            path = self.tmp / f"{self.name}.toml"
            path.write_text(self.operator)
            env["SLATEHUB_OPERATOR"] = str(path)
        self.log = open(self.tmp / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log,
            stderr=self.log,
        )  # fmt: skip
        self.record(f"proxy {self.name} started")

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        self.record(f"{number.name} to proxy {self.name}")
        self.process.send_signal(number)

    def wait_ready(self, limit: float = 20) -> None:
        until = now() + limit
        while True:
            try:
                if self.call("GET", "/ready")[0] == 200:
                    self.record(f"proxy {self.name} is ready")
                    return
            except OSError:
                pass
            if now() > until or (self.process and self.process.poll() is not None):
                raise CannotRun(f"proxy {self.name} is not ready")
            time.sleep(0.05)

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        limit: float = 10,
    ) -> tuple[int, bytes]:
        """One request on a new connection. Status and body. Raises OSError without a whole answer."""
        conn = http.client.HTTPConnection(*self.address, timeout=limit)
        try:
            conn.request(method, path, body or None, headers or {})
            answer = conn.getresponse()
            return answer.status, answer.read()
        except http.client.HTTPException as problem:
            raise OSError(f"{type(problem).__name__}: {problem}") from None
        finally:
            conn.close()

    def stop(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
            self.log.close()


class CannotRun(Exception):
    """The case could not be played."""


def request_headers(number: int | str, cls: str, timeout_ms: int = 6000) -> dict[str, str]:
    return {
        "Host": "app.svc", "X-Request-ID": f"{number}" if isinstance(number, str) else f"{number:016x}",
        "X-Priority-Class": cls, "X-Tenant-Id": "etna", "X-Timeout": f"{timeout_ms}m",
    }  # fmt: skip


def request_bytes(
    number: int | str, cls: str, body: bytes = b"", timeout_ms: int = 6000, path: str = ""
) -> bytes:
    method = "GET" if CLASSES.get(cls) == "retryable" else "POST"
    lines = [f"{method} {path or '/' + cls} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request_headers(number, cls, timeout_ms).items()]
    lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(conn: socket.socket) -> tuple[int, bytes]:
    """Status and body of the next answer on a connection. Raises OSError if there is no whole one."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = conn.recv(65536)
        if not chunk:
            raise ConnectionError("closed without an answer")
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").lower().split("\r\n")
    size = int(next((x.partition(":")[2] for x in lines if x.startswith("content-length:")), "0"))
    pieces, got = [body], len(body)
    while got < size:
        chunk = conn.recv(min(1 << 20, size - got))
        if not chunk:
            raise ConnectionError("closed within an answer")
        pieces.append(chunk)
        got += len(chunk)
    return int(lines[0].split(" ")[1]), b"".join(pieces)


def play(folder: Path, case: Callable[[Record, list[Proxy]], str]) -> None:
    """Plays a case and exits: 0 the rule held, 1 it was broken (`case` returns how), 2 it could not run."""
    record = Record(folder)
    proxies: list[Proxy] = []
    code = 2
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # the proxies are ended below
    try:
        broken = case(record, proxies)
        record(f"BROKEN: {broken}" if broken else "the rule held")
        print(f"BROKEN: {broken}" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as problem:
        record(f"could not run: {type(problem).__name__}: {problem}")
        print(f"could not run: {type(problem).__name__}: {problem}", file=sys.stderr)
    finally:
        for proxy in proxies:
            proxy.stop()
        for proxy in proxies:
            shutil.rmtree(proxy.tmp, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
