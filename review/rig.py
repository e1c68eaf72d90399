"""What the cases of this review share: the program started by the command of the deploy file, and small stand-ins for
nodes, discovery and clients, as the operators' pages describe them. Standard library only, loopback addresses only."""

from __future__ import annotations

import http.client
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110  # a case ends by itself before 120 s
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def unforeseen(kind: type[BaseException], problem: BaseException, _: Any) -> None:
    """Python would exit with 1, which says here that the rule was broken."""
    say(f"could not run: {kind.__name__}: {problem}")
    os._exit(COULD_NOT_RUN)


sys.excepthook = unforeseen


class CouldNotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


class Record:
    """record.txt: what was sent, answered and run, one line each, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def service(name: str, effect: str, points: float) -> dict[str, Any]:
    return {
        "name": name, "idempotency": effect, "slo_us": 2500000, "hard_limit_us": 6000000, "points": points,
        "late_worth": 0.0, "streamed": False, "dedup_scope": "all", "memory_span_us": 5000000,
    }  # fmt: skip


SERVICES = [
    service("job-status", "retryable", 3.0),
    service("proof-approve", "fragile", 8.0),
    service("order-place", "fragile", 10.0),
    service("reprint-order", "fragile", 5.0),
]
ZONES = ["sala-macchine"]  # of the settings; the proxies are in the first, the nodes in the last
TENANTS = {"cantina-etna": 0.4, "agrumi-piana": 0.3, "oleificio-nord": 0.3}


def settings(siblings: int, me: int, services: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """Settings of a small deployment of one tier, with the names and units of the protocol pages."""
    return {
        "allowed": {
            "max_attempts": 4, "may_cancel": True, "may_duplicate": True, "conn_idle_us": 30000000,
            "connect_timeout_us": 150000, "probing": True, "retry_after": True, "peer_messages": False,
            "max_retry_after_us": 2000000, "max_open": 30000, "max_streams": 1, "cpu_us_per_s": 823086,
        },
        "services": services or SERVICES,
        "tenants": [{"name": n, "share": s, "allowance_per_s": 40.0} for n, s in TENANTS.items()],
        "obligations": {
            "answer_slack_us": 20000, "ask_every_us": 10000000, "cold_from": 0.32, "drain_grace_us": 2500000,
            "fall_multiple": 3.0, "tip_after_us": 1500000, "warm_after_us": 8800000,
        },
        "report": {"columns": ["qps", "util"], "source": "answers"},
        "kinds": ["front-std"], "zones": ZONES, "stages": ["front"], "me": me, "my_zone": 0,
        "siblings": siblings, "tick_us": 5000, "tier": 0, "discovery": "on_request", "over_share_worth": 0.2,
        "family_info": {"passes_deadline": True},
    }  # fmt: skip


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def read_message(stream: Any) -> tuple[str, dict[str, str], bytes] | None:
    """Start line, headers and body of one HTTP/1.1 message with a Content-Length; None at the end."""
    start = stream.readline()
    if not start.endswith(b"\r\n"):
        return None
    headers: dict[str, str] = {}
    while (line := stream.readline()) != b"\r\n":
        if not line:
            return None
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = stream.read(size) if size else b""
    return (start.decode("latin-1").strip(), headers, body) if len(body) == size else None


class Server:
    """A stand-in that serves HTTP/1.1 with a thread for each connection."""

    def __init__(self) -> None:
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        with conn, conn.makefile("rb") as stream:
            try:
                while message := read_message(stream):
                    method, target, _ = message[0].split(" ", 2)
                    conn.sendall(self.answer(method, target, message[1], message[2]))
            except (OSError, ValueError):
                pass

    def answer(self, method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        raise NotImplementedError


def response(status: str, body: bytes, extra: str = "") -> bytes:
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Node(Server):
    """A sound server: each request takes `work_s`, and its answer names the execution. An order is known by the last
    64 bytes of its body, or by its path if there is no body."""

    def __init__(self, ident: str, record: Record, work_s: float = 0.05) -> None:
        self.ident, self.record, self.work_s = ident, record, work_s
        self.runs: list[tuple[float, str, str]] = []  # time, request id, order
        self.lock = threading.Lock()
        super().__init__()

    def answer(self, method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        request = headers.get("x-request-id", "")
        if not request:
            return response("404 Not Found", b"")
        order = body[-64:].decode("latin-1").strip() if body else target
        with self.lock:
            self.runs.append((time.monotonic(), request, order))
            number = len(self.runs)
        self.record(
            f"run      {self.ident} #{number}: id {request} {target}, {len(body)} bytes, order {order!r}"
        )
        time.sleep(self.work_s)
        text = f"{order} executed by {self.ident} as #{number}".encode()
        return response("200 OK", text, "X-Server-Load: qps=3.0,util=0.30\r\n")


class Discovery(Server):
    """The list of nodes: the whole list, or a watch that tells changes as soon as there are some. `delay_s`: how late
    it answers a call."""

    def __init__(self, nodes: list[Node]) -> None:
        self.members = [
            {"id": n.ident, "host_port": n.address, "locality": ZONES[-1], "flavor": "front-std", "cell": 0,
             "phase": "SERVING", "size": 1.0, "up_since_ms": 0} for n in nodes
        ]  # fmt: skip
        self.revision, self.changed = 1, threading.Condition()
        self.delay_s = 0.0
        super().__init__()

    def answer(self, method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
        time.sleep(self.delay_s)
        query = dict(x.split("=") for x in target.partition("?")[2].split("&") if "=" in x)
        with self.changed:
            if "since" in query:
                since, wait = int(query["since"]), int(query.get("timeout_ms", "0")) / 1000
                self.changed.wait_for(lambda: self.revision > since, wait)
                if self.revision <= since:
                    tree = {"revision": self.revision, "complete": False, "members": []}
                    return response("200 OK", json.dumps(tree).encode())
            tree = {"revision": self.revision, "complete": True, "members": self.members}
            return response("200 OK", json.dumps(tree).encode())


def run_command() -> str:
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)["run"])


class Proxy:
    """One process of the program. A second one with the same name, addresses and TMPDIR replaces the first."""

    def __init__(self, rig: Rig, name: str, config: dict[str, Any], tmp: Path, label: str) -> None:
        self.rig, self.name, self.config, self.tmp, self.label = rig, name, config, tmp, label
        self.config_file = rig.folder / f"{label}.json"
        self.operator_file = rig.folder / f"{name}.toml"
        self.write_config(config)
        env = {k: v for k, v in os.environ.items() if not k.startswith(("EDGE_", "SLATEHUB_"))}
        env |= {
            "EDGE_NAME": name, "EDGE_LISTEN": config["listen"], "EDGE_DISCOVERY": config["discovery"],
            "EDGE_CONFIG": str(self.config_file), "EDGE_MGMT": config["mgmt"], "TMPDIR": str(tmp),
        }  # fmt: skip
        if self.operator_file.exists():
            env["SLATEHUB_OPERATOR"] = str(self.operator_file)
        self.log = open(rig.folder / f"{label}.log", "w", encoding="utf-8")  # noqa: SIM115
        rig.record(f"start    {label}: {run_command()}")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=subprocess.STDOUT,
        )  # fmt: skip

    def write_config(self, config: dict[str, Any]) -> None:
        self.config = config
        part = self.config_file.with_suffix(".part")
        part.write_text(json.dumps(config))
        part.replace(self.config_file)

    def signal(self, number: int) -> None:
        self.rig.record(f"signal   {signal.Signals(number).name} to {self.label}")
        self.process.send_signal(number)

    def call(self, method: str, path: str, timeout: float = 3.0) -> tuple[int, bytes]:
        """One operator's call. Status 0: no answer."""
        found = exchange(self.config["mgmt"], method, path, {}, b"", timeout)
        if path != "/healthcheck" and method != "GET":
            self.rig.record(f"operator {self.label}: {method} {path} -> {found[0]} {found[2][:100]!r}")
        return found[0], found[2]

    def wait_healthy(self) -> None:
        self.rig.wait(
            f"{self.label} says yes to /healthcheck", lambda: self.call("GET", "/healthcheck")[0] == 200
        )


def exchange(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes, timeout: float
) -> tuple[int, dict[str, str], bytes]:
    """One request on a connection of its own. Status 0: no whole answer."""
    conn = http.client.HTTPConnection(address, timeout=timeout)
    try:
        conn.request(method, target, body or None, headers)
        answer = conn.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        conn.close()


class Rig:
    """Nodes, discovery and `count` proxies, p0, p1 ... `fleet`: further lines of [fleet]; `ledger`: classes that must
    not run twice, with three voters."""

    def __init__(
        self, record: Record, folder: Path, count: int = 1, nodes: int = 3, ledger: tuple[str, ...] = (),
        fleet: str = "", work_s: float = 0.05,
    ) -> None:  # fmt: skip
        self.record, self.folder, self.ledger = record, folder, ledger
        self.nodes = [Node(f"s-{i}", record, work_s) for i in range(nodes)]
        self.names = [f"p{i}" for i in range(count)]
        self.discovery = {name: Discovery(self.nodes) for name in self.names}
        self.listen = {name: f"127.0.0.1:{free_port()}" for name in self.names}
        self.all: list[Proxy] = []
        self.current: dict[str, Proxy] = {}
        self.requests, self.lock = 0, threading.Lock()
        if fleet or ledger:
            self._write_operator_files(fleet)

    def _write_operator_files(self, fleet: str) -> None:
        key = self.folder / "fleet.key"
        key.write_text(f"{secrets.token_hex(4)} {secrets.token_hex(32)}\n")
        key.chmod(0o600)
        udp = {name: f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for name in self.names}
        for name in self.names:
            store = self.folder / f"store-{name}"
            store.mkdir()
            seeds = [address for other, address in udp.items() if other != name]
            text = f'[fleet]\nlisten = "{udp[name]}"\nseeds = {json.dumps(seeds)}\nname = "catania"\n'
            text += f'key_file = "{key}"\n{fleet}\n[copies]\nfolder = "{store}"\n'
            text += f"voters = {json.dumps(self.names[:3])}\n"
            if self.ledger:
                text += f"[ledger]\nclasses = {json.dumps(list(self.ledger))}\n"
            (self.folder / f"{name}.toml").write_text(text)

    def config(self, name: str, services: list[dict[str, Any]] | None = None) -> dict[str, Any]:
        me = self.names.index(name)
        discovery = self.discovery[name]
        return {
            "name": name, "listen": self.listen[name], "discovery": discovery.address,
            "mgmt": f"127.0.0.1:{free_port()}", "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 1, "complete": True, "members": discovery.members},
            "settings": settings(len(self.names), me, services),
        }  # fmt: skip

    def start(self, name: str, services: list[dict[str, Any]] | None = None) -> Proxy:
        """Starts a process of this proxy; its TMPDIR is that of the one that runs, if there is one."""
        running = self.current.get(name)
        beside = running is not None and running.process.poll() is None
        tmp = (
            running.tmp
            if running and beside
            else Path(tempfile.mkdtemp(dir=self.folder, prefix=f"tmp-{name}-"))
        )
        proxy = Proxy(self, name, self.config(name, services), tmp, f"{name}.{len(self.all)}")
        self.all.append(proxy)
        self.current[name] = proxy
        return proxy

    def start_all(self, services: list[dict[str, Any]] | None = None) -> None:
        for name in self.names:
            self.start(name, services)
        for name in self.names:
            self.current[name].wait_healthy()

    def wait(self, what: str, condition: Any, limit_s: float = 20.0) -> Any:
        end = time.monotonic() + limit_s
        while not (found := condition()):
            if time.monotonic() > end:
                raise CouldNotRun(f"not within {limit_s} s: {what}")
            time.sleep(0.02)
        return found

    def wait_for_group(self) -> None:
        """Until all proxies see a majority, all voters answer, and no change of the voters goes on."""

        def good(name: str) -> bool:
            status, body = self.current[name].call("GET", "/copies")
            if status != 200:
                return False
            tree = json.loads(body)
            return bool(
                tree["votes"]
                and tree["majority"]
                and tree["caught_up"]
                and not tree["silent"]
                and not tree["before"]
            )

        for name in self.names:
            self.wait(f"{name} sees the group", lambda name=name: good(name))
        self.record("state    all proxies see the group of voters")

    def ask(self, *args: Any, **more: Any) -> tuple[int, bytes]:
        """One try of a client at one proxy, with a new id. Status 0: no whole answer."""
        status, body, _ = self.ask_id(*args, **more)
        return status, body

    def ask_id(
        self, name: str, cls: str, path: str, body: bytes = b"", key: str = "", timeout_ms: int = 6000,
        tenant: str = "cantina-etna",
    ) -> tuple[int, bytes, str]:  # fmt: skip
        """As `ask`, with the id of the request."""
        with self.lock:
            self.requests += 1
            request = f"{self.requests:08x}{secrets.token_hex(4)}"
        headers = {
            "Host": "app.svc", "X-Request-ID": request, "X-Priority-Class": cls, "X-Tenant-Id": tenant,
            "X-Timeout": f"{timeout_ms}m",
        }  # fmt: skip
        if key:
            headers["Idempotency-Key"] = key
        effects = {x["name"]: x["idempotency"] for x in SERVICES}
        method = "GET" if effects.get(cls) == "retryable" else "POST"
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        about = f"{name}: id {request} {method} /{cls}/{path}" + (f" key {key}" if key else "")
        self.record(f"sent     {about}, {len(body)} bytes")
        found = exchange(self.listen[name], method, f"/{cls}/{path}", headers, body, timeout_ms / 1000 + 2)
        self.record(f"answered {about} -> {found[0]} {found[2][:120]!r}")
        return found[0], found[2], request

    def ask_until(self, accepted: Any, *args: Any, tries: int = 40, pause_s: float = 0.1, **more: Any) -> Any:
        """Repeats a try that is refused (429, 503) or not answered, as clients do; the first other answer."""
        for _ in range(tries):
            status, body = self.ask(*args, **more)
            if status in accepted:
                return status, body
            time.sleep(pause_s)
        return status, body

    def warm_up(self, cls: str = "job-status", each: int = 15) -> None:
        """Some requests at each proxy, so that it has estimates of the nodes."""
        for name in self.names:
            served = 0
            for _ in range(200):
                served += self.ask(name, cls, "warm")[0] == 200
                if served >= each:
                    break
                time.sleep(0.02)
            if served < each:
                raise CouldNotRun(f"{name} does not serve")

    def runs(self) -> list[tuple[float, str, str, str]]:
        """Time, request id, order and node of each execution."""
        return sorted((t, request, order, n.ident) for n in self.nodes for t, request, order in list(n.runs))

    def stop(self) -> None:
        for proxy in self.all:
            if proxy.process.poll() is None:
                proxy.process.kill()
            proxy.process.wait()
            proxy.log.close()
        for server in (*self.nodes, *self.discovery.values()):
            server.sock.close()


def say(text: str) -> None:
    """Prints for whoever looks on; nobody has to."""
    try:
        print(text, flush=True)
    except OSError:
        pass


def interrupted(number: int, _: Any) -> None:
    raise CouldNotRun(f"not done within {LIMIT_S} s" if number == signal.SIGALRM else "was told to end")


def play(case: Any, here: Path, **rig: Any) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `case` gets the
    rig and returns the breaks that were seen, one line each."""
    code, playing, folder, record = COULD_NOT_RUN, None, None, None
    try:
        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
            signal.signal(number, interrupted)
        signal.alarm(LIMIT_S)
        record = Record(here)
        record(f"case     TROUBLE={int(TROUBLE)}")
        folder = Path(tempfile.mkdtemp(prefix="review-"))
        playing = Rig(record, folder, **rig)
        breaks = case(playing)
        code = BROKEN if breaks else HELD
        for line in breaks or ["held"]:
            record(f"result   {line}")
            say(f"broken: {line}" if breaks else line)
    except Exception as problem:  # anything unforeseen says nothing about the rule
        code = COULD_NOT_RUN
        say(f"could not run: {type(problem).__name__}: {problem}")
        if record:
            record(f"result   could not run: {type(problem).__name__}: {problem}")
    finally:
        signal.alarm(0)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)
        if playing:
            playing.stop()
        if playing and record and folder:
            for proxy in playing.all:
                for line in (folder / f"{proxy.label}.log").read_text(errors="replace").splitlines():
                    record(f"log      {proxy.label}: {line[:300]}")
        if folder:
            shutil.rmtree(folder, ignore_errors=True)
        os._exit(code)  # threads of stand-ins may still wait for something
