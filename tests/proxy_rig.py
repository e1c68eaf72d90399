"""Runs the real program on loopback with scripted servers: nodes that act as the path of a request says, and a
discovery that serves the node list of the test. Nothing here balances, generates load or simulates."""

from __future__ import annotations

import hashlib
import json
import os
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from audit import Audit

ROOT = Path(__file__).parents[1]
SAFE_CLASS, UNSAFE_CLASS = "job-status", "order-place"


def settings(**allowed: Any) -> dict[str, Any]:
    """The settings of a configuration; `allowed` overrides keys of the table of that name."""

    def service(name: str, effect: str) -> dict[str, Any]:
        return {"name": name, "idempotency": effect, "slo_us": 2500000, "hard_limit_us": 6000000}

    return {
        "allowed": {"max_attempts": 4, "may_cancel": True, "may_duplicate": False, "conn_idle_us": 30000000,
                    "connect_timeout_us": 1000000, "probing": True, "retry_after": True,
                    "peer_messages": False, **allowed},
        "services": [service(SAFE_CLASS, "retryable"), service(UNSAFE_CLASS, "fragile")],
        "tenants": [{"name": "cantina etna", "share": 1.0, "allowance_per_s": 900.0}],
        "obligations": {"answer_slack_us": 20000, "ask_every_us": 2000000, "cold_from": 0.3, "drain_grace_us": 2500000,
                        "fall_multiple": 3.0, "tip_after_us": 1500000, "warm_after_us": 0},
        "report": {"columns": ["qps", "util"], "source": "answers"},
        "kinds": ["front-std"], "zones": ["sala-macchine"], "stages": ["front"], "me": 0, "my_zone": 0, "siblings": 1,
        "tick_us": 5000, "tier": 0, "discovery": "on_request", "family_info": {"passes_deadline": True},
    }  # fmt: skip


class ScriptedServer:
    """An HTTP server on port 0 with one thread per connection."""

    def __init__(self) -> None:
        self.requests: list[str] = []  # complete requests, in order
        self.connections = 0
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn:
            try:
                while head := read_head(conn):
                    body = bytearray()
                    while len(body) < int(header_value(head, "content-length") or 0):
                        if not (piece := conn.recv(65536)):
                            return  # closed within the body
                        body += piece
                    self.requests.append(head + body.decode("latin-1"))
                    if not self.respond(conn, head, bytes(body)):
                        return
            except OSError:
                pass

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        """Sends the response. Returns whether the connection stays open."""
        raise NotImplementedError


def read_head(conn: socket.socket) -> str:
    """Start line and headers; "" at the end of the connection."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        byte = conn.recv(1)
        if not byte:
            return ""
        data += byte
    return data.decode()


def header_value(head: str, name: str) -> str:
    """Value of the header with this lower-case name; "" if it is missing."""
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


LOADED_RESPONSE = b"HTTP/1.1 %s\r\nX-Server-Load: qps=3.0,new=1,util=0.5\r\nContent-Length: 4\r\n%s\r\ndone"
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n%s"
# By the last segment of the path: what the node sends, and whether it keeps the connection open.
SCRIPT = {
    "ok": (LOADED_RESPONSE % (b"200 OK", b""), True),
    "early": (b"HTTP/1.1 100 Continue\r\n\r\n" + LOADED_RESPONSE % (b"200 OK", b""), True),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        True,
    ),
    "hints": (
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" * 2 + LOADED_RESPONSE % (b"200 OK", b""),
        True,
    ),
    "old": (b"HTTP/1.0 200 OK\r\nCONTENT-length:4\r\n\r\ndone", False),
    "old-endless": (b"HTTP/1.0 200 OK\r\n\r\ndone", False),
    "lists": (LOADED_RESPONSE % (b"200", b"Connection: x, keep-alive\r\nX-A: a\r\nX-A:\t b \r\n"), True),
    "last": (LOADED_RESPONSE % (b"200 OK", b"Connection: TE, Close\r\n"), False),
    "trailers": (CHUNKED_RESPONSE % b'4;a=1;b="c"\r\ndone\r\n0;x\r\nX-T: 1\r\n\r\n', True),
    "none": (b"HTTP/1.1 204 No Content\r\n\r\n", True),
    "same": (b"HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n", True),
    "two-framings": (
        (CHUNKED_RESPONSE % b"4\r\ndone\r\n0\r\n\r\n").replace(b"OK", b"OK\r\nContent-Length: 4"),
        True,
    ),
    "stale": (LOADED_RESPONSE % (b"200 OK", b""), False),  # closes without "Connection: close"
    "error": (LOADED_RESPONSE % (b"500 Internal Server Error", b""), True),
    "odd": (LOADED_RESPONSE % (b"418 Teapot", b""), True),
    "unsure": (LOADED_RESPONSE % (b"503 Service Unavailable", b""), True),
    "full": (LOADED_RESPONSE % (b"503 Service Unavailable", b"X-Not-Processed: 1\r\n"), True),
    "over": (LOADED_RESPONSE % (b"504 Gateway Timeout", b"X-Not-Processed: 1\r\n"), True),
    "reset": (b"", False),
    "half": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", False),
    "endless": (b"HTTP/1.1 200 OK\r\n\r\ndone", False),
    "garbage": (b"no protocol at all\r\n\r\n", False),
}


def now_us() -> int:
    return time.monotonic_ns() // 1000 - CLOCK_OFFSET_US


def body_digest(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=6).hexdigest()


CLOCK_OFFSET_US = time.monotonic_ns() // 1000 - 1_000_000
# By the last segment of the path: the body of a valid 200 response, where it is not "done".
SERVED_BODIES = {"chunks": b"abcde"}
NOT_PROCESSED, NO_VALID_RESPONSE = ("full", "over"), ("reset", "half", "garbage", "two-framings", "silent")


class ScriptedNode(ScriptedServer):
    """A node that acts as SCRIPT says. `audit` records its requests and responses."""

    audit: Audit | None = None

    def __init__(self) -> None:
        super().__init__()
        self.release = threading.Event()  # set: waiting requests are answered
        self.held = threading.Semaphore(0)  # released for each request that waits
        self.disconnected = threading.Semaphore(0)  # released when a "silent" request's connection is closed

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        action = head.split(" ")[1].partition("?")[0].rpartition("/")[2]
        request = header_value(head, "x-request-id")
        if self.audit:
            self.audit.came(now_us(), self.address, request)
        if action == "silent":
            self.held.release()
            if not conn.recv(1):
                self.disconnected.release()
            return False
        if action == "wait":
            self.held.release()
            self.release.wait(20)
            action = "ok"
        if self.audit and action not in NO_VALID_RESPONSE:
            data = body if action == "echo" else SCRIPT[action][0]
            status = 200 if action == "echo" else int(data.split(b" ", 2)[1].split(b"\r")[0])
            status = int(data.split(b"\r\n\r\n")[-2].split(b" ")[1][:3]) if status < 200 else status
            digest = (
                body_digest(body if action == "echo" else SERVED_BODIES.get(action, b"done"))
                if status == 200
                else ""
            )
            self.audit.replied(now_us(), self.address, request, status, action in NOT_PROCESSED, digest)
        if action == "echo":
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return True
        data, keep_alive = SCRIPT[action]
        conn.sendall(data)
        return keep_alive


class ScriptedDiscovery(ScriptedServer):
    """Answers the first call with its list; each further call waits for `push` or `push_raw`."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.responses: list[bytes] = []
        self.response_added = threading.Condition()
        self.revision = 1
        self.push(members, True)
        super().__init__()

    def push(self, members: list[dict[str, Any]], complete: bool = False) -> None:
        self.push_raw(
            json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()
        )
        self.revision += 1

    def push_raw(self, body: bytes, status: bytes = b"200 OK") -> None:
        with self.response_added:
            self.responses.append(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
            self.response_added.notify()

    def respond(self, conn: socket.socket, head: str, body: bytes) -> bool:
        with self.response_added:
            while not self.responses:
                self.response_added.wait()
            conn.sendall(self.responses.pop(0))
        return True


def node_entry(node_id: str, address: str, phase: str = "SERVING") -> dict[str, Any]:
    """A node as it stands in a discovery list."""
    return {"id": node_id, "host_port": address, "locality": "sala-macchine", "flavor": "front-std", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": 0}  # fmt: skip


class ProxyProcess:
    """`slatehub serve` as a process. `own`: text of the operator's file; `code`: Python code to run first; `popen`:
    arguments of Popen, for a test that reads the log itself. `more`: keys of the configuration."""

    def __init__(
        self, tmp: Path, known_nodes: list[dict[str, Any]], discovery: str, own: str = "", code: str = "",
        popen: dict[str, Any] | None = None, **more: Any,
    ) -> None:  # fmt: skip
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": True, "members": known_nodes},
            "settings": settings(**more.pop("allowed", {})), **more,
        }  # fmt: skip
        path = tmp / "config.json"
        path.write_text(json.dumps(config))
        env = {**os.environ, "EDGE_CONFIG": str(path)}
        if own:
            env["SLATEHUB_OPERATOR"] = str(tmp / "operator.toml")
            (tmp / "operator.toml").write_text(own)
        script = f"{code}\nfrom slatehub.cli.main import main\nmain(['serve'])"
        arguments = ["-c", script] if code else ["-m", "slatehub", "serve"]
        popen = {"stderr": subprocess.PIPE} if popen is None else popen
        self.log: list[str] = []
        self.stopping = False  # from now on connections break because the test ends
        self.sent: list[tuple[int, bytes]] = []  # time, request
        self.answered: list[tuple[int, bytes, int, bytes]] = []  # time, request, status (0: none), body
        self.process = subprocess.Popen(
            [sys.executable, "-B", *arguments], cwd=ROOT, text=True, env=env, **popen
        )
        if not self.process.stderr:
            host, _, port = config["listen"].rpartition(":")
            self.address = (host, int(port))
            return
        line = ""
        for line in self.process.stderr:
            if " listens on " in line:
                break
            self.log.append(line)
        host, _, port = line.partition(" listens on ")[2].split(",")[0].rpartition(":")
        self.address = (host, int(port))
        threading.Thread(target=self.log.extend, args=(self.process.stderr,), daemon=True).start()

    @property
    def management_address(self) -> tuple[str, int]:
        """Address of the management interface."""
        log_line = next(x for x in self.log if "operators call at " in x).partition("operators call at ")[2]
        host, _, port = log_line.split('"')[0].rpartition(":")
        return host, int(port)

    def management_call(self, method: str, path: str, raw: bytes = b"") -> int:
        """Status of one management call."""
        with socket.create_connection(self.management_address, 30) as conn:
            conn.sendall(raw or f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
            return read_response(conn)[0]

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, 30)

    def request(self, data: bytes) -> tuple[int, str, bytes]:
        """Sends a request on a new connection and records it for the audit. Status, head and body of the response."""
        with self.connect() as conn:
            self.sent.append((now_us(), data))
            try:
                conn.sendall(data)
                response = read_response(conn)
            except OSError:
                if not self.stopping:
                    self.answered.append((now_us(), data, 0, b""))
                raise
            self.answered.append((now_us(), data, response[0], response[2]))
            return response


def wait_until(condition: Callable[[], Any]) -> Any:
    """Waits until the condition is true and returns its value. Fails after 20 s."""
    deadline = time.monotonic() + 20
    while not (result := condition()):
        assert time.monotonic() < deadline, "the condition did not become true within 20 s"
        time.sleep(0.005)
    return result


def read_response(conn: socket.socket) -> tuple[int, str, bytes]:
    """Status, head and body of one response."""
    head = read_head(conn)
    if not head:
        raise ConnectionError("connection closed without a response")
    body, size = b"", int(header_value(head, "content-length"))
    while len(body) < size:
        if not (piece := conn.recv(size - len(body))):
            raise ConnectionError("connection closed within a response")
        body += piece
    return int(head.split(" ")[1]), head, body


request_count = 0
issued: Counter[str] = Counter()  # how often each request id was used; one used twice is not judged


def build_request(
    action: str, cls: str = UNSAFE_CLASS, body: bytes = b"", method: str = "", **headers: str
) -> bytes:
    """A request with a new id. `headers`: names with "_" for "-"; an empty value removes the header."""
    global request_count
    request_count += 1
    method = method or ("GET" if cls == SAFE_CLASS else "POST")
    fields = {"Host": "app.svc", "X-Request-ID": f"id{request_count}", "X-Priority-Class": cls,
              "X-Tenant-Id": "cantina etna", "X-Timeout": "20000m"}  # fmt: skip
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    issued[fields["X-Request-ID"]] += 1
    if method == "POST":
        fields.setdefault("Content-Length", str(len(body)))
    lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items() if v)
    return f"{method} /{cls}/{action} HTTP/1.1\r\n{lines}\r\n".encode() + body


class ProxyRig:
    """A running program with its scripted nodes and discovery."""

    def __init__(
        self, program: ProxyProcess, nodes: list[ScriptedNode], discovery: ScriptedDiscovery
    ) -> None:
        self.program, self.nodes, self.discovery = program, nodes, discovery

    @property
    def seen(self) -> list[str]:
        """The complete requests that the nodes received, node by node."""
        return [request for node in self.nodes for request in node.requests]


def check_run(audit: Audit, program: ProxyProcess) -> None:
    """Applies the audit's rules to every request whose id was used once. Requests sent on a test's own connection count
    as abandoned: of these only what the nodes received is judged."""
    facts, sent_counts = list(audit.facts), Counter(data for _, data in program.sent)

    def unique_id(data: bytes) -> str:
        request = header_value(data.partition(b"\r\n\r\n")[0].decode("latin-1"), "x-request-id")
        return (
            request
            if issued[request] == 1 and sent_counts[data] == 1 and data.startswith((b"POST ", b"GET "))
            else ""
        )

    arrivals = {f.request: f for f in reversed(facts) if hasattr(f, "work_us")}
    sent_ids = {unique_id(data) for _, data in program.sent}
    audit.facts = [f for f in facts if issued[getattr(f, "request", "")] < 2]
    unanswered = set()
    for t, data in program.sent:
        if request := unique_id(data):
            unanswered.add(request)
            audit.asked(t, request, data.split(b"/")[1].decode("latin-1"), t + 20_000_000)
    for t, data, status, body in program.answered:
        if (request := unique_id(data)) in unanswered:
            unanswered.discard(request)
            if status:
                audit.answered(t, request, status, body_digest(body))
            else:
                audit.broken_off(t, request)
    for request in unanswered:  # still waiting when the test ended
        audit.left(now_us(), request)
    for request, fact in arrivals.items():
        if request not in sent_ids and issued[request] == 1:
            audit.asked(fact.t - 1, request, "", fact.t + 20_000_000)
            audit.left(fact.t + 1, request)
    audit.check()


@contextmanager
def running_proxy(
    tmp: Path, nodes: int = 1, faults: bool = False, kind: type[ScriptedNode] = ScriptedNode, **more: Any
) -> Iterator[ProxyRig]:
    """A started program. At the end the audit judges the run, and unless `faults` is set the log must not contain a
    fault. `kind`: class of the nodes; `more`: arguments of ProxyProcess."""
    scripted_nodes = [kind() for _ in range(nodes)]
    for node in scripted_nodes:  # shared, as a test cannot know which node gets a request
        node.release, node.held, node.disconnected = (
            scripted_nodes[0].release,
            scripted_nodes[0].held,
            scripted_nodes[0].disconnected,
        )
    members = [node_entry(f"s-{i}", node.address) for i, node in enumerate(scripted_nodes)]
    audit = Audit((SAFE_CLASS,), (UNSAFE_CLASS,), slack="10 s")
    for node in scripted_nodes:
        node.audit = audit if kind is ScriptedNode else None
    discovery = ScriptedDiscovery(members)
    program = ProxyProcess(tmp, members, discovery.address, **more)
    try:
        yield ProxyRig(program, scripted_nodes, discovery)
    finally:
        program.stopping = True
        for node in scripted_nodes:
            node.release.set()
        program.process.kill()
        program.process.wait()
        for server in (*scripted_nodes, discovery):
            server.sock.close()
        if kind is ScriptedNode:
            check_run(audit, program)
        assert faults or not (
            fault_lines := [line for line in program.log if "Traceback" in line or "fault" in line]
        ), fault_lines
