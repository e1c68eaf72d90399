"""The machine room: the nodes' addresses, the connections to them, and every attempt and probe that travels on one.
It also holds the HTTP client parts that the node list uses. It owns connections from opening to closing and says
of each attempt once how it ended. It must never choose a node, try again on its own, or write to a node that
drains; and it calls an answer served only when the whole of it has come."""

from __future__ import annotations

import errno
import math
import select
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import httptools
from gevent import socket

from paddlestep.interface import Status

from .config import Address, Plant
from .sales_desk import Alarm, Attempt, SalesDesk, clock, say

BODY_LIMIT = 64 * 1024
HEAD_LIMIT = 16 * 1024
PIECE = 16 * 1024  # read at once
RAW_LIMIT = HEAD_LIMIT + 8 * BODY_LIMIT  # one message with the framing of its chunks and its trailers
CLOSE_EARLY_US = 1_000_000  # before the node closes an idle connection itself
PROBE_US = 1_000_000
ANSWER_US = 1_500_000  # for the rest of an answer once it has begun
HOLD_S = 0.002  # between the last byte but one and the last of a request on a connection used before
OUT_OF_FILES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


@dataclass(frozen=True, slots=True)
class Order:
    """A request as it goes on to a machine."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = b""

    def to_bytes(self, host: str, extra: str = "") -> bytes:
        lines = "".join(f"{name}: {value}\r\n" for name, value in self.headers)
        # UTF-8 cannot fail here: the caller's parser let only printable ASCII through.
        length = f"Content-Length: {len(self.body)}\r\n" if self.body or self.method != "GET" else ""
        head = f"{self.method} {self.target} HTTP/1.1\r\nHost: {host}\r\n{lines}{extra}{length}\r\n"
        return head.encode("latin-1") + self.body


@dataclass(frozen=True, slots=True)
class Printed:
    """A machine's whole 200 answer."""

    body: bytes
    kind: str


class Broken(Exception):
    """The peer's answer is not whole: the connection ended before it."""


class Stale(Broken):
    """A connection used before turned out to be of no more use, in time: the peer has not got a whole request."""


class Spoilt(Broken):
    """The peer is there and has answered, with what cannot be read or is too large."""


class Reply:
    """Collects one answer off a connection; httptools calls its on_ methods."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.parser: Any = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.raw = 0  # bytes read, framing and all
        self.whole = False
        self.begun = False  # within a message
        self.framed = False
        self.surplus = False
        self.claims = 0
        self.keep = False

    def feed(self, data: bytes) -> None:
        if self.whole or self.surplus:
            self.surplus = True
            return
        self.raw += len(data)
        if self.raw > HEAD_LIMIT + (8 * self.limit if self.framed else PIECE):
            raise Spoilt("too many bytes")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            if not self.whole:
                raise Spoilt(f"malformed answer: {type(problem).__name__}") from None
            self.surplus = True  # the answer is whole; what follows it spoils only the connection
        if len(self.body) > self.limit or self.claims > self.limit and not self.whole:
            raise Spoilt("body too large")  # one that claims to be is not waited for

    def on_message_begin(self) -> None:
        if self.whole:
            self.surplus = True
        else:
            self.begun = True
            self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.framed:  # what comes later is a trailer, or not asked for
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        if not self.whole:
            self.status = self.parser.get_status_code()
            self.framed = self.status >= 200
            length = self.headers.get("content-length", "")
            self.claims = int(length[:20]) if self.framed and length.isdecimal() else 0

    def on_body(self, body: bytes) -> None:
        if not self.whole and len(self.body) <= self.limit:
            self.body += body

    def on_message_complete(self) -> None:
        if self.whole or self.status < 200:  # 100 Continue and the like: the answer is still to come
            self.begun = False
            return
        # Never reached by an answer without a length: one that ends with its connection may have been cut off.
        self.whole = True
        self.keep = bool(self.parser.should_keep_alive())

    @property
    def reusable(self) -> bool:
        return self.whole and self.keep and not self.surplus


class Line:
    """One connection to one peer. It is fresh, busy, idle or closed; only one request is on it at a time."""

    def __init__(self, peer: Address, on_close: Callable[[], None]) -> None:
        self.peer = peer
        self.state = "fresh"
        self.on_close = on_close
        self.alarm: Alarm | None = None
        self.written = False  # the last byte of the request now on it has been written
        self.used = False  # has carried a request and its answer
        self.sock = socket.socket(socket.AF_INET6 if ":" in peer[0] else socket.AF_INET, socket.SOCK_STREAM)

    def connect(self) -> None:
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.connect(self.peer)

    def write(self, data: bytes) -> None:
        """A whole request. On a connection used before, its last byte is held back until the peer has had time to say
        that it wants no more of it: guards against a reset that meets the request (what was written whole may have run,
        and may not go out again), and against a second copy of the last answer, or noise, still on its way, which
        would be taken for the next one's. Costs every such request the time of HOLD_S."""
        assert self.state in ("fresh", "idle"), self.state
        if self.alarm:
            self.alarm.off()
            self.alarm = None
        self.state = "busy"
        self.written = False
        if self.used:
            try:
                self.sock.sendall(data[:-1])
            except OSError as problem:
                raise Stale(str(problem)) from None
            gevent.sleep(HOLD_S)
            if self.state == "closed" or self._stirs():
                raise Stale("ended, or spoke out of turn")
            data = data[-1:]
        self.sock.sendall(data)
        self.written = True

    def read(self, limit: int, stalled: Callable[[], None] | None = None) -> Reply:
        """One answer. `stalled` is rung when the rest of one that has begun is too long in coming; what a peer says
        before its answer (1xx) does not begin it."""
        reply = Reply(limit)
        late: Alarm | None = None
        try:
            while not reply.whole:
                data = self.sock.recv(PIECE)
                if not data:
                    raise Broken("ended before its answer")
                reply.feed(data)
                if late and not reply.begun:
                    late.off()
                    late = None
                elif stalled and reply.begun and not late:
                    late = Alarm(clock() + ANSWER_US, stalled)
        finally:
            reply.parser = None  # it holds the reply: the two, with a body, would wait for the collector
            if late:
                late.off()
        return reply

    def park(self, due: int, ring: Callable[[], None]) -> None:
        assert self.state == "busy", self.state
        self.state = "idle"
        self.used = True
        self.alarm = Alarm(due, ring)

    def alive(self) -> bool:
        """Whether an idle connection may be used: anything to read now is its end, or what nobody asked for."""
        return self.state == "idle" and not self._stirs()

    def _stirs(self) -> bool:
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    def close(self) -> None:
        if self.state == "closed":
            return
        self.state = "closed"
        if self.alarm:
            self.alarm.off()
            self.alarm = None
        self.sock.close()
        self.on_close()


class Machine:
    """A node: where it is now, and our idle connections to it, the newest last."""

    def __init__(self, peer: Address) -> None:
        self.peer = peer
        self.idle: list[Line] = []


class MachineRoom:
    def __init__(self, plant: Plant, desk: SalesDesk, most: int) -> None:
        self.plant = plant
        self.desk = desk
        self.most = most  # connections
        self.lines = 0
        self.machines: dict[int, Machine] = {}
        self.opened = self.attempts = 0  # for the log

    # ------------------------------------------------------------ what the node list tells

    def place(self, endpoint: int, peer: Address) -> None:
        """The address of a node; it may move, and connections to where it was are of no more use."""
        machine = self.machines.get(endpoint)
        if machine is None:
            self.machines[endpoint] = Machine(peer)
        elif machine.peer != peer:
            machine.peer = peer
            self.close_idle(machine)

    def forget(self, endpoint: int) -> None:
        """The node is gone; it stays known by its address, as the module may still have calls out to it."""
        if machine := self.machines.get(endpoint):
            self.close_idle(machine)

    @property
    def keep_us(self) -> int:
        """How long an idle connection is kept: the node must not be the one to close it."""
        return max(self.plant.idle_us - CLOSE_EARLY_US, self.plant.idle_us * 4 // 5)

    def resettle(self, plant: Plant, most: int) -> None:
        """New settings; connections stay, but for those that would now rest too long."""
        self.plant = plant
        self.most = most
        latest = clock() + self.keep_us
        for machine in self.machines.values():
            for line in [x for x in machine.idle if x.alarm and x.alarm.due > latest]:
                self._drop(machine, line)

    def close_idle(self, machine: Machine) -> None:
        for line in list(machine.idle):
            self._drop(machine, line)

    def _drop(self, machine: Machine, line: Line) -> None:
        if line in machine.idle:
            machine.idle.remove(line)
        line.close()

    # ------------------------------------------------------------ the desk's floor

    def send(self, attempt: Attempt) -> None:
        attempt.errand = Errand(self, attempt)
        self.attempts += 1

    def withdraw(self, attempt: Attempt) -> None:
        if attempt.errand:
            attempt.errand.stop(Status.CANCELLED)

    def probe(self, endpoint: int) -> None:
        gevent.spawn(self._probe, endpoint)

    # ------------------------------------------------------------ connections

    def take(self, machine: Machine) -> Line | None:
        """The idle connection used last, if one is still alive."""
        while machine.idle:
            line = machine.idle.pop()
            if line.alive():
                return line
            line.close()
        return None

    def open(self, machine: Machine) -> Line:
        """A new connection, not yet connected. OSError where there are too many already."""
        if self.lines >= self.most:
            # The oldest idle one anywhere makes room: guards against a pool of connections to nodes out of use.
            idle = [(m.idle[0].alarm.due if m.idle[0].alarm else 0, n) for n, m in self.machines.items() if m.idle]
            if not idle:
                raise OSError(errno.EMFILE, "too many connections to nodes")
            spare = self.machines[min(idle)[1]]
            self._drop(spare, spare.idle[0])
        line = Line(machine.peer, self._closed)
        self.lines += 1
        self.opened += 1
        return line

    def _closed(self) -> None:
        self.lines -= 1

    def park(self, machine: Machine, line: Line, endpoint: int) -> None:
        """After an answer: kept for the next call, unless the node has moved or leaves."""
        if line.peer != machine.peer or endpoint in self.desk.left:
            line.close()
            return
        line.park(clock() + self.keep_us, lambda: self._drop(machine, line))
        machine.idle.append(line)

    # ------------------------------------------------------------ reports and probes

    def report(self, text: str) -> tuple[float, ...]:
        """The load report in the order of the settings' columns; names not known are skipped, and a report in
        which a column is missing or no finite number is as good as none."""
        columns = self.plant.settings.report_columns
        if not text or not columns:
            return ()
        values: dict[str, float] = {}
        for pair in text.split(","):
            name, _, value = pair.partition("=")
            if name.strip() in columns:
                try:
                    values[name.strip()] = float(value)
                except ValueError:
                    return ()
        good = len(values) == len(set(columns)) and all(math.isfinite(x) for x in values.values())
        return tuple(values[c] for c in columns) if good else ()

    def _probe(self, endpoint: int) -> None:
        started = clock()
        machine = self.machines.get(endpoint)
        line: Line | None = None
        report: tuple[float, ...] = ()
        status = Status.CONNECT_FAILED
        try:
            if machine and endpoint not in self.desk.left:
                with gevent.Timeout(PROBE_US / 1e6):
                    path = "/status/load" if self.plant.reports else "/health"
                    line = self.take(machine)
                    if line is None:
                        line = self.open(machine)
                        line.connect()
                    line.write(Order("GET", path, ()).to_bytes(host_of(machine.peer)))
                    status = Status.RESET
                    reply = line.read(BODY_LIMIT)
                    status = Status.OK if reply.status == 200 else Status.FULL if reply.status == 503 else Status.ERROR
                    text = reply.headers.get("x-server-load") or reply.body.decode("latin-1")
                    report = self.report(text.strip())
                    if reply.reusable:
                        self.park(machine, line, endpoint)
                        line = None
        except gevent.Timeout:
            status = Status.TIMEOUT
        except (OSError, Broken):
            pass
        finally:
            if line:
                line.close()
            self.desk.probed(endpoint, status, clock() - started, report)


def host_of(peer: Address) -> str:
    return f"[{peer[0]}]:{peer[1]}" if ":" in peer[0] else f"{peer[0]}:{peer[1]}"


class Errand:
    """One attempt under way, in a greenlet of its own. However it ends, and whoever ends it, `stop` tells the desk
    once and closes what is not fit to be kept."""

    def __init__(self, room: MachineRoom, attempt: Attempt) -> None:
        self.room = room
        self.attempt = attempt
        self.line: Line | None = None
        self.over = False
        self.alarm = Alarm(attempt.deadline, self._late)
        self.hurry: Alarm | None = None  # the limit for connecting
        self.greenlet = gevent.spawn(self._run)

    def _late(self) -> None:
        # What was never wholly written cannot have run, and saying so leaves the module free to refuse.
        self.stop(Status.TIMEOUT if self.line and self.line.written else Status.CONNECT_FAILED)

    def stop(self, status: Status, report: tuple[float, ...] = (), printed: Printed | None = None) -> None:
        if self.over:
            return
        self.over = True
        self.alarm.off()
        if self.hurry:
            self.hurry.off()
        if self.line:
            self.line.close()
        if gevent.getcurrent() is not self.greenlet:
            self.greenlet.kill(block=False)
        self.room.desk.ended(self.attempt, status, report, printed)

    def _run(self) -> None:
        try:
            self._carry()
        except (OSError, Broken) as problem:
            written = bool(self.line and self.line.written)
            if getattr(problem, "errno", None) in OUT_OF_FILES:
                say("sockets", f"no connection to be had: {problem}")
            if isinstance(problem, Spoilt):
                # The node runs and has answered: no reset, from which the module takes it for one that comes back
                # cold and holds calls back for seconds. It may have run all the same.
                say("nodes", f"spoilt answer: {problem}")
                self.stop(Status.ERROR)
            self.stop(Status.RESET if written else Status.CONNECT_FAILED)
        except Exception as problem:
            say("fault", f"attempt failed: {type(problem).__name__}: {problem}")
        finally:
            # Guards against a fault of our own above: the job still gets its outcome, and so its answer.
            self.stop(Status.RESET)

    def _carry(self) -> None:
        room, attempt = self.room, self.attempt
        machine = room.machines.get(attempt.endpoint)
        if machine is None:
            return self.stop(Status.MOOT)
        line = self._hand_over(machine)
        if line is None:
            return self.stop(Status.MOOT)
        reply = line.read(BODY_LIMIT, lambda: self.stop(Status.ERROR))
        report = room.report(reply.headers.get("x-server-load", ""))
        if reply.reusable:
            self.line = None
            room.park(machine, line, attempt.endpoint)
        printed = None
        if reply.status == 200:
            status = Status.OK
            printed = Printed(bytes(reply.body), reply.headers.get("content-type", ""))
        elif reply.status in (503, 504) and reply.headers.get("x-not-processed") == "1":
            status = Status.FULL
        else:
            status = Status.ERROR  # whatever else a node may say, the request may have run
        self.stop(status, report, printed)

    def _hand_over(self, machine: Machine) -> Line | None:
        """The connection on which the whole request has been written; None where the node leaves."""
        room, attempt = self.room, self.attempt
        while True:
            line = self.line = room.take(machine)
            if line is None:
                line = self.line = room.open(machine)
                limit = room.plant.settings.connect_timeout_us
                self.hurry = Alarm(clock() + limit, lambda: self.stop(Status.CONNECT_FAILED))
                line.connect()
                self.hurry.off()
                self.hurry = None
            if attempt.endpoint in room.desk.left:
                # Told while the connection came up: a send is judged by its first byte, which is still ours to keep.
                return None
            left = attempt.deadline - clock()
            try:
                line.write(attempt.job.order.to_bytes(host_of(line.peer), f"X-Timeout: {max(1, left)}u\r\n"))
                return line
            except Stale:
                line.close()  # no attempt has reached the node: the same one goes by the next connection
