"""The order screens: the listener, each caller's connection, and HTTP turned into Jobs and back. It owns what comes
from callers until it is a whole, checked order, and writes each answer once. It must never let a bad request near a
node, never word a refusal that the desk did not give for a job taken in, and never let one caller hold up another."""

from __future__ import annotations

import select
import struct
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from typing import Any

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.event import Event as Bell
from gevent.queue import Queue

from ...core.jobs import Answer, AnswerStatus, BodyStream, Job, NodeRequest, NodeResponse
from ...core.limits import MAX_MESSAGE_BYTES, READ_CHUNK_BYTES, RESOURCE_EXHAUSTED_ERRNOS
from ...decisions.drain import HANDOVER_IDLE_GRACE_US, Drain
from ...decisions.pacing import AcceptLimiter, AcceptLimiterConfig
from ...decisions.shutdown import ShutdownSchedule
from ...decisions.stall import HEARTBEAT_INTERVAL_US, StallDetector
from ...drivers.clock import PROCESS_STARTED_US, Timer, clock
from ...drivers.dispatcher import DispatcherDriver
from ...observe.log import error_location, log_event
from ...settings.reader import Address, ProxyConfig
from ..listener import listen
from ..responses import STATUS_CODES, error_body, retry_after_value
from ..validation import (
    LocalResponse,
    ReceivedRequest,
    intent_register_key,
    request_fingerprint,
    validate_request,
)
from .request_parser import RequestParser

FIRST_BYTE_TIMEOUT_US = 2_200_000  # for the first byte on a new connection
FIRST_REQUEST_TIMEOUT_US = 2_700_000  # from connecting, for the whole of the first request
REQUEST_TIMEOUT_US = 4_000_000  # for the whole of a later request once begun, where its body asks for no more
BODY_START_TIMEOUT_US = 1_000_000  # for a body to begin to come
BODY_PER_S = 48_000  # bytes of a body that come in a second on average, from then on
SMALL_PART = 8  # of the bytes in hand one such part is kept from large bodies
ROOM_US = 10_000_000  # for a large body to find room
KEEP_ALIVE_US = 10_000_000  # between requests
RESPONSE_WRITE_TIMEOUT_US = 10_000_000  # for a caller to take its answer
LINGER_US = 4_000_000  # for a caller to stop sending after an answer that ends the connection
PACE_S = 0.002  # between two looks at what such a caller still sends
GONE_S = 0.03  # between two looks whether callers who are not being read have gone: no attempt may begin 0.1 s later
MAX_READ_AHEAD_BYTES = (
    4 * 1024 * 1024
)  # bytes taken off the system's hands meanwhile: behind more of them no close is seen
AHEAD_PART = 4  # of the bytes in hand, such of all callers are one such part at the most
AHEAD_PIECES = 64  # at a time, so that one who writes without end leaves the others their turn
MIN_EVICTION_AGE_US = 200_000  # a connection younger than this may have its first request on its way
AHEAD = 1  # pipelined requests kept before their turn; what comes after them stays with the kernel
DELIVERY_MARGIN_US = 5_000  # an answer must have reached the caller by its time, not just have left here
NEWCOMER_US = 500_000  # while callers should go, for the first request on a connection just made
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
RESET = struct.pack(
    "ii", 1, 0
)  # SO_LINGER: a close that resets, where a clean end would pass for a whole answer
PASSED_ON = ("x-request-id", "x-priority-class", "x-tenant-id", "x-retried", "x-attrs", "content-type")


class CallerConnection:
    """One caller's connection: a greenlet reads, another serves what was read, in turn."""

    def __init__(self, hall: HttpServer, sock: Any) -> None:
        self.http_server = hall
        self.sock = sock
        self.since = clock()
        self.fresh = True  # nothing has been served on it
        self.weight = 0  # bytes of requests in hand
        self.read_ahead_buffer = bytearray()  # come while the reader stood still, and not read yet
        self.headed = self.least = (
            0  # of the request that is coming: when its head had come, its time at the least
        )
        self.item: ReceivedRequest | LocalResponse | None = None  # what is being served
        self.timer: Timer | None = None  # for what the caller is waited for
        self.parser = RequestParser()
        self.orders: Queue[ReceivedRequest | LocalResponse] = Queue(AHEAD)
        self.job: Job | None = None
        self.result: AsyncResult[Answer] = AsyncResult()
        self.rest: BodyStream | None = None  # of a large answer that is being passed on
        self.serving = False  # an order has been picked up and is not yet answered
        self.closed = False
        self._expect(self.since + FIRST_BYTE_TIMEOUT_US, self._quiet)
        self.reader = gevent.spawn(self._read)
        self.server = gevent.spawn(self._serve)

    @property
    def idle(self) -> bool:
        return not (self.owed or self.parser.in_request)

    @property
    def owed(self) -> bool:
        """Whether a whole request has come that is not yet answered."""
        return self.serving or self.orders.qsize() > 0

    def answer(self, job: Job, answer: Answer) -> None:
        wanted = (
            job is self.job
        )  # else it was for a request that has ended here, and must not answer the next one
        if (self.closed or not wanted) and answer.response and answer.response.body_stream:
            answer.response.body_stream.close()
        if wanted:
            self.result.set(answer)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._expect()
        if self.rest:
            self.rest.close()
        elif (
            self.result.ready()
            and (answer := self.result.get())
            and answer.response
            and answer.response.body_stream
        ):
            answer.response.body_stream.close()  # it had come, and nobody had begun to write it
        self.http_server.bytes_held -= self.weight
        self.http_server.bytes_read_ahead -= len(self.read_ahead_buffer)
        self.weight = 0
        self.read_ahead_buffer.clear()
        self.http_server.memory_released.set()
        if self.job:
            self.http_server.dispatcher.caller_disconnected(self.job)
        for greenlet in (self.reader, self.server):
            if greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)
        # Each greenlet holds the screen: rings, in which all that passed here would wait for the collector.
        del self.reader, self.server
        self.sock.close()
        self.parser.close()
        self.http_server.remove(self)

    @property
    def quiet(self) -> bool:
        """Whether nothing is on its way from this caller: closing now crosses no request. What has come may not have
        been read yet while many come at once."""
        return not (self.read_ahead_buffer or self._come)

    @property
    def _come(self) -> bool:
        """Whether there is something to receive, be it the caller's end."""
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    @property
    def gone(self) -> bool:
        """Whether the caller has closed, or reset, while it is owed the answer of a job; also behind bytes that nobody
        has read. Who has shut only its sending side counts as gone too: nothing tells the two apart."""
        if self.job is None or self.closed:
            return False
        poll = select.poll()
        poll.register(self.sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    @contextmanager
    def _deaf(self) -> Iterator[None]:
        """While the reader stands still it does not hear its caller go."""
        self.http_server.unheard(self)
        try:
            yield
        finally:
            if not self.parser.error:  # after one nothing is read any more
                self.http_server.deaf.discard(self)

    def read_ahead(self) -> None:
        """Takes what has come off the system's hands, unread, while the reader stands still: once the system holds no
        more, its caller's close stays behind that, with the caller. Not of a large body that waits for its room."""
        for _ in range(AHEAD_PIECES):
            full = (
                len(self.read_ahead_buffer) >= MAX_READ_AHEAD_BYTES
                or self.http_server.bytes_read_ahead >= self.http_server.memory_limit // AHEAD_PART
            )
            if self.closed or self.job is None or self in self.http_server.in_line or full or not self._come:
                return
            piece = self.sock.recv(READ_CHUNK_BYTES)
            if not piece:
                return
            if not self.parser.error:  # after one nothing is read any more
                self.read_ahead_buffer += piece
                self.http_server.bytes_read_ahead += len(piece)
                self.weight += len(piece)
                self.http_server.bytes_held += len(piece)

    def _next(self) -> bytes:
        """What the caller has sent next."""
        piece = bytes(self.read_ahead_buffer[:READ_CHUNK_BYTES])
        del self.read_ahead_buffer[:READ_CHUNK_BYTES]
        self.http_server.bytes_read_ahead -= len(piece)
        return piece or bytes(self.sock.recv(READ_CHUNK_BYTES))

    # ------------------------------------------------------------ what a caller is waited for

    def _expect(self, due: int = 0, ring: Callable[[], None] | None = None) -> None:
        """The one limit of time that this caller is under; none while a whole request of its is in hand."""
        if self.timer:
            self.timer.cancel()
        self.timer = Timer(due, ring) if ring and not self.closed else None

    def _due(self) -> int:
        """Until when the rest of this request is waited for: longer for a body that goes on coming at a fair pace."""
        if self.parser.in_head:
            return self.least
        self.headed = self.headed or clock()
        return max(
            self.least, self.headed + BODY_START_TIMEOUT_US + len(self.parser.body) * 1_000_000 // BODY_PER_S
        )

    def _quiet(self) -> None:
        if self.idle and self.quiet:
            self.close()

    def _slow(self) -> None:
        """The rest of a request is too long in coming; what was read whole before it is still answered."""
        if not self.parser.error:
            self.parser.error = LocalResponse(408, "request not finished in time")
            self.reader.kill(block=False)
            self.http_server.unheard(self)
            gevent.spawn(self.orders.put, self.parser.error)

    def _weigh(self) -> None:
        """Brings the hall's sum of bytes in hand up to date. A request that no room is left for is turned away before
        it is whole: it must not cost the others theirs."""
        if self.closed:
            return
        ahead = [self.item, *self.orders.queue, *self.parser.parsed]
        weight = max(self.parser.bytes_read, self.parser.declared_length) * self.parser.in_request
        weight += sum(len(r.body) for r in ahead if isinstance(r, ReceivedRequest)) + len(
            self.read_ahead_buffer
        )
        self.http_server.bytes_held += weight - self.weight
        self.weight = weight
        self.http_server.memory_released.set()
        if (
            self.http_server.bytes_held > self.http_server.memory_limit
            and self.parser.in_request
            and not self.parser.error
        ):
            log_event(
                "memory",
                f"no room for another request, of {max(self.parser.bytes_read, self.parser.declared_length)} bytes",
                "warning",
            )
            self.parser.reject(LocalResponse(503, "no room"))
            self._weigh()

    def _find_room(self) -> None:
        """Waits, before any more of a large body is read, until all of it has a place, in the order of asking; without
        a length, until what has come has one. Some room is left for small requests. Who finds none in time is turned
        away by `_weigh`."""
        claim = self.parser.declared_length or (
            self.parser.bytes_read if self.parser.bytes_read > MAX_MESSAGE_BYTES else 0
        )
        room = self.http_server.memory_limit - self.http_server.memory_limit // SMALL_PART
        if claim <= self.weight or claim > room or self.http_server.bytes_held - self.weight + claim <= room:
            return
        self._expect()  # it is we who wait
        self.http_server.in_line.append(self)
        try:
            with self._deaf(), gevent.Timeout(ROOM_US / 1e6, False):  # type: ignore[arg-type]  # it ends without a word
                while (
                    self.http_server.in_line[0] is not self
                    or self.http_server.bytes_held - self.weight + claim > room
                ):
                    self.http_server.memory_released.clear()
                    self.http_server.memory_released.wait()
        finally:
            self.http_server.in_line.remove(self)
            self.http_server.memory_released.set()

    # ------------------------------------------------------------ reading

    def _read(self) -> None:
        # No frame that rests between two requests may name one: each open connection would keep its last bodies.
        try:
            while self._taken(self._next()):
                pass
            if not self.closed:
                self.http_server.unheard(self)
        except OSError:
            self.close()
        except Exception as problem:
            self._fault("reading an order failed", problem)
            self.close()

    def _taken(self, data: bytes) -> bool:
        """Whether to read on after this piece."""
        if not data or self.closed:  # another greenlet may have closed it, and this one not yet been ended
            self.close()  # also when only its sending side is shut: a caller that closes has gone away
            return False
        was = self.parser.in_request
        self.parser.feed(data)
        self._find_room()
        if self.parser.bytes_read > MAX_MESSAGE_BYTES:
            gevent.sleep(0)  # a caller who writes faster than we read must not keep the others waiting
        if self.closed:
            return False
        self._weigh()
        done = self.parser.parsed
        if done or not self.parser.in_request:
            self._expect()
        if self.parser.in_request and not self.parser.error:
            if done or not was:
                first = self.fresh and not (done or self.owed)
                self.headed = 0
                self.least = self.since + FIRST_REQUEST_TIMEOUT_US if first else clock() + REQUEST_TIMEOUT_US
            self._expect(self._due(), self._slow)
        waits = len(done) > 1 or self.orders.full()  # the usual request finds its place, and costs no look
        with self._deaf() if waits else nullcontext():
            while done:
                self.orders.put(
                    done[0]
                )  # waits while too many are ahead; until then its bytes are in hand here
                del done[0]
        if self.parser.expects_continue and not self.parser.error:
            self.parser.expects_continue = False
            if not self.owed:
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return not self.parser.error  # after one the server has the last word, and closes

    # ------------------------------------------------------------ serving

    def _serve(self) -> None:
        try:
            while not self.closed and self._turn(self.orders.get()):
                pass
            self._part()
        except OSError:
            pass
        except Exception as problem:
            self._fault("serving an order failed", problem)
        finally:
            self.close()

    def _fault(self, text: str, problem: Exception) -> None:
        request = self.item.headers.get("x-request-id") if isinstance(self.item, ReceivedRequest) else ""
        text = f"{text}: {type(problem).__name__}: {problem}"
        log_event("fault", text, "error", request=request, where=error_location(problem))

    def _turn(self, item: ReceivedRequest | LocalResponse) -> bool:
        """Answers one; whether the connection goes on after it."""
        if (
            self.closed
        ):  # in the moment in which this was handed over: the greenlet runs once more before it is ended
            return False
        self.item = item
        if isinstance(item, LocalResponse):
            log_event("callers", f"turned down: {item.status} {item.message}")
        self.serving = True
        status, extra, body, kind, rest = self._reply(item)
        ahead = self.parser.in_request or self.orders.qsize()  # taken, or about to be: owed an answer too
        last = (
            isinstance(item, LocalResponse) or not item.keep_alive or (self.http_server.parting and not ahead)
        )
        chunked = (
            isinstance(item, ReceivedRequest)
            and item.accepts_chunked
            and rest is not None
            and rest.length is None
        )
        last = last or (
            rest is not None and rest.length is None and not chunked
        )  # it ends with its connection
        framing = f"Content-Length: {rest.length if rest else len(body)}\r\n"
        framing = (
            framing if not rest or rest.length is not None else "Transfer-Encoding: chunked\r\n" * chunked
        )
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\n{framing}"
        head += f"Content-Type: {kind}\r\n" if kind and body else ""
        head += extra + ("Connection: close\r\n" if last else "") + "\r\n"
        body = b"" if isinstance(item, ReceivedRequest) and item.method == "HEAD" else body
        if rest is None:
            self._write(head.encode("latin-1") + body)
        else:
            self._pass_on(head.encode("latin-1"), rest, chunked)
        self.serving = self.fresh = False
        self.item = None
        self.since = clock()
        self.http_server.rested(self)
        self._weigh()
        if not last and self.idle:
            self._expect(self.since + KEEP_ALIVE_US, self._quiet)
        return not last

    def _pass_on(self, head: bytes, printed: NodeResponse, chunked: bool) -> None:
        """A large answer, as it comes. Where it breaks off the connection ends at once: the caller must be able to
        tell, and a second answer must never follow."""
        rest, piece = printed.body_stream, printed.body
        assert rest is not None
        self.rest = rest
        endless = printed.length is None and not chunked
        try:
            while piece:
                self._write(head + (b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece))
                head = b""
                if (piece := rest.read_chunk()) is None:  # type: ignore[assignment]
                    if endless:
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    raise OSError("the answer broke off")
            if chunked:
                self._write(b"0\r\n\r\n")
        finally:
            self.rest = None
            rest.close()

    def _reply(
        self, item: ReceivedRequest | LocalResponse
    ) -> tuple[int, str, bytes, str, NodeResponse | None]:
        """Status, further header lines, body and its type; and the answer itself where it is passed on as it comes."""
        try:
            if isinstance(item, ReceivedRequest):
                if item.target.partition("?")[0] == "/ready":
                    item = self.http_server.ready(item)
                else:
                    checked = validate_request(item, self.http_server.config)
                    answer = checked if isinstance(checked, LocalResponse) else self._job(item, *checked)
                    if isinstance(answer, Answer):
                        return self._format_answer(answer)
                    item = answer
            extra = "Allow: GET, POST\r\n" if item.status == 405 else ""
            return item.status, extra, item.message.encode() + b"\n", "text/plain", None
        except Exception as problem:  # a caller is owed an answer, and no traceback
            self._fault("an order failed", problem)
            if self.job:
                self.http_server.dispatcher.caller_disconnected(self.job)
                self.job = None
            return 500, "", b"failed\n", "text/plain", None

    def _job(self, request: ReceivedRequest, cls: int, account: int, deadline: int) -> Answer | LocalResponse:
        headers = request.headers
        passed = tuple((name.title(), headers[name]) for name in PASSED_ON if name in headers)
        order = NodeRequest(request.method, request.target, passed, request.body)
        repeat = headers.get("x-retried") == "1"
        promise = intent_register_key(request, self.http_server.config)
        if isinstance(promise, LocalResponse):
            return promise
        self.result = AsyncResult()
        deadline -= self.http_server.stall_detector.max_unread_us(request.received_us)
        if self.http_server.shutdown:
            deadline = self.http_server.shutdown.clamp_deadline(deadline)
        key = request_fingerprint(request, cls, account)
        job = Job(
            headers["x-request-id"], cls, account, deadline - DELIVERY_MARGIN_US, order, self, repeat, key
        )
        job.intent_register = promise
        self.job = job  # before the desk, which may answer it at once
        if not self.http_server.dispatcher.submit(job):
            self.job = None
            return LocalResponse(409, "this X-Request-ID is still in hand", closes_connection=False)
        answer = self.result.get()
        self.job = None
        self.result = AsyncResult()  # the old one holds the answer
        assert answer is not None  # it waits without a limit; the desk sets one at every job's deadline
        return answer

    def _format_answer(self, answer: Answer) -> tuple[int, str, bytes, str, NodeResponse | None]:
        verdict = answer.status
        if verdict is AnswerStatus.SERVED and not isinstance(answer.response, NodeResponse):
            verdict = AnswerStatus.FAILED  # a floor that hands on something else
        if verdict is AnswerStatus.SERVED:
            printed = answer.response
            return 200, "", printed.body, printed.content_type, printed if printed.body_stream else None
        wait = retry_after_value(answer)
        return (
            STATUS_CODES[verdict],
            f"Retry-After: {wait}\r\n" if wait else "",
            error_body(answer),
            "text/plain",
            None,
        )

    def _write(self, data: bytes) -> None:
        """The whole answer; a caller that does not take it in time loses its connection."""
        late = Timer(clock() + RESPONSE_WRITE_TIMEOUT_US, self.close)
        try:
            self.sock.sendall(data)
        finally:
            late.cancel()

    def _part(self) -> None:
        """Ends the connection so that the last answer arrives: closing while unread bytes are left would reset it. What
        still comes is dropped unread by the kernel (MSG_TRUNC), at a pace that leaves the others their turn."""
        if self.closed:
            return
        self.reader.kill()
        self.http_server.deaf.discard(self)
        self._expect(clock() + LINGER_US, self.close)
        self.sock.shutdown(socket.SHUT_WR)
        while self.sock.recv_into(self.http_server.bin, len(self.http_server.bin), socket.MSG_TRUNC):
            gevent.sleep(PACE_S)


class HttpServer:
    """The listener and all screens."""

    def __init__(self, plant: ProxyConfig, desk: DispatcherDriver, most: int, room: int) -> None:
        self.config = plant
        self.dispatcher = desk
        self.max_connections = most
        self.memory_limit = room  # bytes of requests in hand
        self.bytes_held = 0
        self.bytes_read_ahead = 0  # of these, bytes that nobody has read yet
        self.memory_released = Bell()  # some of it
        self.in_line: deque[CallerConnection] = deque()  # who waits for room, in turn
        self.deaf: set[CallerConnection] = set()  # whose reader stands still
        self.some_deaf = Bell()
        self.bin = bytearray(256 * 1024)
        self.shutdown: ShutdownSchedule | None = None
        self.drain = Drain()
        self.taken_over = Drain(HANDOVER_IDLE_GRACE_US)  # another process has the door
        self.pace = AcceptLimiter(AcceptLimiterConfig())
        self.stall_detector = StallDetector(PROCESS_STARTED_US)
        self.started = False
        self.connections: OrderedDict[CallerConnection, None] = (
            OrderedDict()
        )  # the one that rested longest first

    def start(self, listener: Any = None) -> None:
        """`listener`: another process's, which has the same queue."""
        self.listener = listener or self.bind(self.config.listen)
        if listener:
            self.stall_detector = StallDetector(clock())  # until now the other process took what came
        self.stall_detector.heartbeat(
            clock()
        )  # the start is over: what waited for it is read within the next moments
        self.started = True
        self.heart = gevent.spawn(self._beat)
        self.ear = gevent.spawn(self._listen)
        self.acceptor = gevent.spawn(self._accept)

    def unheard(self, screen: CallerConnection) -> None:
        """From now on its reader stands still."""
        self.deaf.add(screen)
        self.some_deaf.set()

    def _listen(self) -> None:
        """Lets callers go whom no reader hears: what they wait for must not be begun any more."""
        while True:
            self.some_deaf.wait()
            gevent.sleep(GONE_S)
            for screen in list(self.deaf):
                self._hear(screen)
            if not self.deaf:
                self.some_deaf.clear()

    @staticmethod
    def _hear(screen: CallerConnection) -> None:
        try:
            screen.read_ahead()
            if screen.gone:
                screen.close()
        except OSError:  # reset
            screen.close()

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_INTERVAL_US / 1e6)
            self.stall_detector.heartbeat(clock())

    def bind(self, place: Address) -> Any:
        return listen(place, shared=self.config.mgmt is not None)

    def apply_settings(self, plant: ProxyConfig, most: int, room: int, listener: Any) -> None:
        """New settings; screens stay, and what they take in from now on is checked by these. A listener, where there
        is one, takes the place of the old, whose queue is emptied first."""
        self.config = plant
        self.max_connections = most
        self.memory_limit = room
        if listener:
            self.acceptor.kill()
            if not self.taken_over.active:
                self._accept_backlog()
            self.listener.close()
            self.listener = listener
            self.acceptor = gevent.spawn(self._accept)

    def ready(self, request: ReceivedRequest) -> LocalResponse:
        if request.method not in ("GET", "HEAD"):
            return LocalResponse(405, "this path takes GET", closes_connection=False)
        if self.drain.active:
            return LocalResponse(503, "drained", closes_connection=False)
        up = self.started and (not self.shutdown or self.taken_over.active)
        return (
            LocalResponse(200, "ready", closes_connection=False)
            if up
            else LocalResponse(503, "stopping", closes_connection=False)
        )

    @property
    def serving(self) -> bool:
        """Whether this process takes what comes; a drain does not change that."""
        return self.started and self.listener.fileno() >= 0

    def start_drain(self) -> None:
        """An operator drains: what comes is still taken and answered, but nobody is asked to stay."""
        if not self.drain.active:
            self.drain.start(clock())
            gevent.spawn(self._let_go, self.drain)

    def end_drain(self) -> None:
        self.drain.cancel()

    def suspend(self) -> None:
        """Another process has the door; the listener is shared with it, and nothing in its queue is lost."""
        if not self.taken_over.active:
            self.acceptor.kill()
            self.taken_over.start(clock())
            gevent.spawn(self._let_go, self.taken_over)

    def resume(self) -> None:
        """That process has gone."""
        self.taken_over.cancel()
        if not self.shutdown:
            self.acceptor = gevent.spawn(self._accept)

    def _let_go(self, drain: Drain) -> None:
        told = drain.started_at
        while drain.started_at == told:
            now = clock()
            for screen in list(self.connections):
                if screen.idle and drain.should_close_idle(now, screen.since, screen.fresh) and screen.quiet:
                    screen.close()
            gevent.sleep(0.02)

    def rested(self, screen: CallerConnection) -> None:
        if screen in self.connections:
            self.connections.move_to_end(screen)

    def remove(self, screen: CallerConnection) -> None:
        self.connections.pop(screen, None)
        self.deaf.discard(screen)

    def _let_in(self, sock: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections[CallerConnection(self, sock)] = None
        self.dispatcher.connection_opened()

    def _accept(self) -> None:
        while True:
            try:
                # Only now, with somebody at the door, is anyone asked to leave; and who has been let in has a screen at
                # once, as it may have sent a whole request already.
                socket.wait_read(self.listener.fileno())
                self._hold_back()
                while len(self.connections) >= self.max_connections and not self._evict_connection():
                    gevent.sleep(0.02)  # all are at work; who comes next waits in the kernel's queue
                self._let_in(self.listener.accept()[0])
            except OSError as problem:
                if self.listener.fileno() < 0:
                    return
                if problem.errno in RESOURCE_EXHAUSTED_ERRNOS:
                    # accept fails at once and again while no descriptor is free: it must not spin.
                    log_event("sockets", f"cannot accept: {problem}", "error")
                    self._evict_connection()
                    gevent.sleep(0.05)
                continue
            gevent.sleep(0)  # a crowd at the door must not keep those inside from being read

    def _hold_back(self) -> None:
        """A crowd at the door waits in the kernel's queue, so that those inside are answered."""
        while self.config.operator.storms.pace and not self.pace.acquire(
            clock(), len(self.dispatcher.job_table.by_request_id)
        ):
            due = self.pace.due()
            gevent.sleep(max(0, due - clock()) / 1e6 if due else 0)

    def _evict_connection(self) -> bool:
        """Closes a screen that nobody waits for: one that connected a while ago and said nothing; else the one that
        has rested longest between requests; else a new one; else one whose request is not whole, and so not taken
        yet. Callers that say nothing, or only a few bytes, must not keep the others out, nor take their connections
        from them."""
        old = clock() - MIN_EVICTION_AGE_US
        idle = [s for s in self.connections if s.idle]
        ranks = (
            (s for s in idle if s.fresh and s.since < old),
            (s for s in idle if not s.fresh),
            iter(idle),
        )
        spare = next((s for rank in ranks for s in rank if s.quiet), None)
        spare = spare or next((s for s in self.connections if not (s.idle or s.owed)), None)
        if spare:
            spare.close()
        return spare is not None

    @property
    def parting(self) -> bool:
        return (
            self.drain.active
            or self.taken_over.active
            or (self.shutdown is not None and self.shutdown.disconnecting(clock()))
        )

    def stop(self) -> None:
        """A planned end: goes on serving whoever comes for as long as it does them good, then closes who is idle, and
        returns when every job in hand has been answered."""
        self.shutdown = self.dispatcher.stop()
        while self.connections or not (self.shutdown.finished(clock()) or self.taken_over.active):
            now = clock()
            if self.shutdown.disconnecting(now):
                self._close_idle(now, self.shutdown.finished(now))
                self._shut()
            gevent.sleep(0.02)
        self._shut()

    def _close_idle(self, now: int, over: bool) -> None:
        """Closes who rests, at a planned stop. What has come and was not read yet is read first, and answered: a close
        over it would reset the connection, and the last answer with it. `over`: nothing more is answered."""
        for screen in list(self.connections):
            old = not screen.fresh or now - screen.since > NEWCOMER_US
            if screen.idle and old and (over or screen.quiet):
                screen.close()

    def _shut(self) -> None:
        if self.listener.fileno() >= 0:
            self.acceptor.kill()
            if not self.taken_over.active:
                self._accept_backlog()
            self.listener.close()

    def _accept_backlog(self) -> None:
        """Takes in who is still in the kernel's queue: closing the listener would reset them unheard."""
        self.listener.setblocking(False)
        try:
            while len(self.connections) < self.max_connections:
                self._let_in(self.listener.accept()[0])
        except OSError:
            pass
