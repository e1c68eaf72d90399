"""A caller's connection: reads and parses requests, has each served as a Job, and writes the responses in order.

A request stays here until it is complete and valid, and each response is written once. An invalid request never reaches
a node. For an accepted job, only the dispatcher may refuse."""

from __future__ import annotations

import fcntl
import select
import struct
import sys
import termios
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext
from enum import IntEnum
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.queue import Queue

from ...core.jobs import Answer, AnswerStatus, BodyStream, Job, NodeRequest, NodeResponse
from ...core.limits import MAX_MESSAGE_BYTES, READ_CHUNK_BYTES
from ...decisions.delivery import write_deadline
from ...drivers.clock import Timer, clock
from ...observe.log import error_location, log_event
from ..responses import STATUS_CODES, error_body, retry_after_value
from ..validation import (
    FORWARDED_HEADERS,
    LocalResponse,
    ReceivedRequest,
    intent_register_key,
    request_digest,
    request_fingerprint,
    validate_request,
)
from .read_ahead import ReadAheadBuffer
from .receipt_clock import ReceiptClock
from .request_parser import MIN_CHUNKED_SLICE_BYTES, NO_MEMORY, RequestParser

if TYPE_CHECKING:
    from .server import HttpServer

FIRST_BYTE_TIMEOUT_US = 2_200_000  # until the first byte on a new connection
FIRST_REQUEST_TIMEOUT_US = 2_700_000  # from accepting the connection until the first request is complete
REQUEST_TIMEOUT_US = 4_000_000  # from the start of a later request until it is complete; a body can extend it
UNREAD_INPUT_GRACE_US = 50_000  # for the reader to get to input that has come by the time of a timeout
BODY_START_TIMEOUT_US = 1_000_000  # until the first byte of a body
MIN_BODY_BYTES_PER_S = 48_000  # minimum average rate of a body after that
MEMORY_WAIT_TIMEOUT_US = 10_000_000  # until a large body gets memory, if its request has as much time
KEEP_ALIVE_US = 10_000_000  # idle time between requests
WRITE_WATCH_DELAY_US = 2_000_000  # after which a write that has not ended is watched for progress
# How long a caller may take nothing of a response: at 64 kB a second, the lowest rate that callers are promised, until
# a sixteenth of a receive buffer of 32 MiB is free and its system asks for more.
RESPONSE_WRITE_TIMEOUT_US = 35_000_000
LINGER_TIMEOUT_US = 4_000_000  # for a caller to stop sending after a response that closes the connection
DISCARD_INTERVAL_S = 0.002  # between two reads that discard what such a caller still sends
# Limit of read-ahead per connection. A close that follows more bytes than this could not be detected, so that requests
# with more than this behind them are refused.
MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024
READ_AHEAD_MEMORY_DIVISOR = 4  # one part in so many of the memory limit is available for all read-ahead
READ_BEHIND_TIMEOUT_US = (
    500_000  # for receiving what was sent behind a request, before an attempt of it begins
)
UNREAD_INPUT_REASON = "more was sent behind it than may be read ahead"
MAX_READ_AHEAD_CHUNKS = 64  # per call, so that a caller that sends without pause does not block the others
TURN_US = 1_000  # for which a large body is read without a turn for the others
MAX_QUEUED_REQUESTS = 1  # parsed pipelined requests per connection; later ones stay in the kernel buffer
PARSED_REQUEST_BYTES = 2048  # of a request as objects, beside its body
STREAM_READ_AHEAD_CHUNKS = (
    2  # of a large answer, beside the chunk that is being written: received, and in the pipe
)
REFUSED = LocalResponse(503, "refused", closes_connection=False)
DELIVERY_MARGIN_US = 5_000  # an answer must reach the caller by the deadline, not only be sent by then
REASON_PHRASES = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    409: "Conflict", 413: "Content Too Large", 422: "Unprocessable Content", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
# SO_LINGER value that makes close() send RST. A FIN would make a truncated response without a length look complete.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BROKEN_EVENTS = select.POLLHUP | select.POLLERR


def unacknowledged_bytes(sock: Any) -> int:
    """Bytes in the send buffer that the peer's system has not acknowledged; 0 if that is not known, as of a closed
    socket."""
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except (OSError, ValueError):  # ValueError: the socket is closed
        return 0


def body_stream_of(answer: Answer | None) -> BodyStream | None:
    """The rest of a node's response that is forwarded while it arrives; None if there is none."""
    response = answer.response if answer else None
    return response.body_stream if isinstance(response, NodeResponse) else None


class EvictionRank(IntEnum):
    """Connections that may be closed to make room for a new one, the most dispensable first."""

    UNUSED = 0  # open for a while without a request
    IDLE = 1  # between two requests
    NEW = 2  # without a request yet
    INCOMPLETE = 3  # its request is not whole and so not accepted yet


class CallerConnection:
    """A caller's connection. One greenlet reads and parses requests, another serves them in order."""

    def __init__(self, http_server: HttpServer, sock: Any) -> None:
        self.http_server = http_server
        self.sock = sock
        self.socket_poll = select.poll()
        self.socket_poll.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        self.idle_since = clock()  # when it was accepted or the last response was complete
        self.fresh = True  # no request has been served yet
        self.buffered_bytes = 0  # this connection's share of the memory held, without large bodies
        self.read_ahead_buffer = ReadAheadBuffer()  # received and not parsed yet
        self.receipt_clock = ReceiptClock()
        self.turn_began_at = 0  # of reading a large body, microseconds
        self.has_unread_input = False  # input was left in the socket: a close could lie behind it
        # Of the request that is being received: when its head was complete, and the earliest time of its timeout.
        self.head_received_at = self.min_deadline = 0
        self.current: ReceivedRequest | LocalResponse | None = None  # being served
        self.timer: Timer | None = None  # the one timeout in force
        self.write_timer: Timer | None = None  # of the write in progress
        self.parser = RequestParser(
            needs_digest=http_server.needs_digest,
            count_bytes=http_server.memory.count,
            kept_headers=lambda: http_server.kept_headers,
        )
        self.requests: Queue[ReceivedRequest | LocalResponse] = Queue(MAX_QUEUED_REQUESTS)
        self.job: Job | None = None
        self.result: AsyncResult[Answer] = AsyncResult()
        self.response_stream: BodyStream | None = None  # of a large response that is being forwarded
        self.answer_bytes = 0  # of the answer that is being written, as they are counted
        self.serving = False  # a request was taken from the queue and is not answered yet
        self.closed = False
        self._set_timeout(self.idle_since + FIRST_BYTE_TIMEOUT_US, self._on_idle_timeout)
        self.reader = gevent.spawn(self._read_loop)
        self.handler = gevent.spawn(self._serve_loop)

    @property
    def idle(self) -> bool:
        """Whether no request is being received, queued or served."""
        return not (self.has_unanswered_request or self.parser.in_request)

    @property
    def has_unanswered_request(self) -> bool:
        """Whether a complete request has been parsed that is not answered yet."""
        return self.serving or self.requests.qsize() > 0 or bool(self.parser.parsed)

    def eviction_rank(self, cutoff: int) -> EvictionRank | None:
        """How dispensable it is; None: it is not. `cutoff`: the first request on a connection that has been accepted
        since may still be in transit."""
        if self.has_unanswered_request:
            return None
        if self.parser.in_request:
            return EvictionRank.INCOMPLETE
        if not self.fresh:
            return EvictionRank.IDLE
        return EvictionRank.UNUSED if self.idle_since < cutoff else EvictionRank.NEW

    def answer(self, job: Job, answer: Answer) -> None:
        """Takes the final answer of a job; the handler greenlet writes it."""
        # An answer for a request that has already ended here must not answer the next one.
        is_current = job is self.job
        if (self.closed or not is_current) and (body_stream := body_stream_of(answer)):
            body_stream.close()
        if is_current:
            if isinstance(answer.response, NodeResponse) and not self.closed:
                is_streamed = answer.response.body_stream is not None
                read_ahead = STREAM_READ_AHEAD_CHUNKS * self.http_server.memory.read_size
                self._count_answer(len(answer.response.body) + (read_ahead if is_streamed else 0))
            self.result.set(answer)

    def close(self) -> None:
        """Closes the connection, releases its memory and cancels its job. May be called more than once."""
        if self.closed:
            return
        self.closed = True
        self._set_timeout()
        if self.response_stream:
            self.response_stream.close()
        elif self.result.ready() and (body_stream := body_stream_of(self.result.get())):
            body_stream.close()  # received, but forwarding had not begun
        self.http_server.memory.count(-self.buffered_bytes)
        self.http_server.bytes_read_ahead -= len(self.read_ahead_buffer)
        self.buffered_bytes = 0
        self.read_ahead_buffer.clear()
        job, self.job, self.current = self.job, None, None
        self.requests.queue.clear()
        if job:
            self.http_server.dispatcher.caller_disconnected(job)
        for greenlet in (self.reader, self.handler):
            if greenlet is not gevent.getcurrent():
                greenlet.kill(block=False)
        # The greenlets refer to this object, as the job does; without these cycles its data, with it the body of the
        # request, is freed without the garbage collector.
        del self.reader, self.handler
        self.sock.close()
        self.parser.close()
        self.http_server.remove(self)

    @property
    def input_empty(self) -> bool:
        """Whether no received bytes are waiting to be read, so that closing now loses no request. Under load a request
        may have arrived that the reader has not got to yet."""
        return not (self.read_ahead_buffer or self._readable)

    @property
    def _readable(self) -> bool:
        """Whether the socket has data or an end of file to receive."""
        return bool(self._socket_events & (select.POLLIN | BROKEN_EVENTS))

    @property
    def disconnected(self) -> bool:
        """Whether the caller closed or reset the connection while one of its jobs is unanswered, even if unread bytes
        precede the close. A caller that shut down only its sending side counts as disconnected too, because the two
        cases cannot be told apart."""
        return self.job is not None and not self.closed and self._has_peer_closed

    @property
    def could_leave_unnoticed(self) -> bool:
        """Whether a job waits for its next attempt while a close could lie behind input that is left unread."""
        job = self.job
        is_waiting = job is not None and not (self.closed or job.answered or job.has_attempt_under_way)
        return is_waiting and self.has_unread_input

    @property
    def _has_input_or_close(self) -> bool:
        """Whether the socket has data to receive, or the caller has closed it."""
        return bool(self._socket_events)

    @property
    def _has_peer_closed(self) -> bool:
        """Whether the caller's FIN or reset has arrived, perhaps behind unread bytes."""
        return bool(self._socket_events & (select.POLLRDHUP | BROKEN_EVENTS))

    @property
    def _socket_events(self) -> int:
        """What the socket is ready for, as a mask of `select`; 0 once it is closed."""
        events = [] if self.closed else self.socket_poll.poll(0)
        return events[0][1] if events else 0

    @contextmanager
    def _reader_paused(self) -> Iterator[None]:
        """Registers the connection for disconnect checks while its reader is paused and cannot see a close."""
        self.http_server.mark_reader_paused(self)
        try:
            yield
        finally:
            if not self.parser.error:  # after an error nothing more is read
                self.http_server.paused_readers.discard(self)

    def read_ahead(self) -> None:
        """Receives bytes without parsing them while the reader is paused. With a full kernel buffer the caller's FIN
        could not arrive. Does nothing while a large body waits for memory."""
        for _ in range(MAX_READ_AHEAD_CHUNKS):
            if self.closed or self.job is None or not self._read_chunk_ahead():
                return

    def _read_chunk_ahead(self) -> bool:
        """Receives one chunk for the read-ahead buffer, if there is one and room for it. Returns whether it did."""
        if not self._readable:
            self.has_unread_input = False
            return False
        memory = self.http_server.memory
        is_full = (
            len(self.read_ahead_buffer) >= MAX_READ_AHEAD_BYTES
            or self.http_server.bytes_read_ahead >= memory.limit // READ_AHEAD_MEMORY_DIVISOR
        )
        if is_full or self in self.http_server.memory_waiters:
            self.has_unread_input = True
            self.receipt_clock.left_unread(clock())
            return False
        read_size = memory.read_size
        chunk = self.sock.recv(read_size)
        received_at = self.receipt_clock.received(len(chunk), clock(), len(chunk) < read_size)
        if chunk and not self.parser.error:  # after an error nothing more is read
            self._buffer(chunk, received_at)
        return bool(chunk)

    def may_begin(self, job: Job) -> bool:
        """Whether an attempt of its job may begin (`Responder.may_begin`)."""
        if job is not self.job:
            return False  # answered, or the caller has gone
        would_notice = self._would_notice_close()
        if not would_notice and job is self.job:
            self.withdraw_job()
        return would_notice and job is self.job

    def withdraw_job(self) -> None:
        """Refuses its job, as the caller could have gone unnoticed."""
        assert self.job is not None
        log_event("callers", f"request refused: {UNREAD_INPUT_REASON}", request=self.job.request_id)
        self.http_server.dispatcher.withdraw(self.job)

    def _would_notice_close(self) -> bool:
        """Receives what the caller has sent behind the current request, as far as it may be read ahead. Returns whether
        a close by the caller could be noticed now; if so, and it has closed, the connection is closed."""
        give_up_at = 0
        try:
            while not self.closed and self._has_input_or_close:
                if self._has_peer_closed:
                    self.close()
                elif self._reader_lags and not self._read_chunk_ahead():
                    return False
                give_up_at = give_up_at or clock() + READ_BEHIND_TIMEOUT_US
                if clock() >= give_up_at:
                    return False
                gevent.sleep(0)  # for the others, and for the reader where that goes on
        except OSError:  # reset
            self.close()
        return not self.closed

    @property
    def _reader_lags(self) -> bool:
        """Whether the reader does not wait for input, so that it cannot see a close."""
        return self in self.http_server.paused_readers or len(self.read_ahead_buffer) > 0

    def _buffer(self, data: bytes, received_at: int) -> None:
        self.read_ahead_buffer.append(data, received_at)
        self.http_server.bytes_read_ahead += len(data)
        self.buffered_bytes += len(data)
        self.http_server.memory.count(len(data))

    def _receive(self) -> tuple[bytes, int]:
        """The next bytes from the caller, those received earlier first, and when they were received. They are few where
        they may hold several requests."""
        wanted_bytes = self.parser.wanted_bytes
        if not self.read_ahead_buffer:
            read_size = self.http_server.memory.read_size
            data = bytes(self.sock.recv(read_size))
            self.has_unread_input = False
            received_at = self.receipt_clock.received(len(data), clock(), len(data) < read_size)
            if len(data) <= wanted_bytes:
                return data, received_at
            self._buffer(data, received_at)
        data, received_at = self.read_ahead_buffer.take(wanted_bytes)
        self.http_server.bytes_read_ahead -= len(data)
        return data, received_at

    # ------------------------------------------------------------ timeouts and memory

    def _set_timeout(self, deadline: int = 0, callback: Callable[[], None] | None = None) -> None:
        """Replaces the timeout of this caller, which measures the caller's silence: none is in force while the reader
        waits for the queue or for memory."""
        if self.timer:
            self.timer.cancel()
        self.timer = Timer(deadline, callback) if callback and not self.closed else None

    def _request_deadline(self) -> int:
        """When the request that is being received times out. A body that keeps the minimum rate extends it."""
        if self.parser.in_head:
            return self.min_deadline
        self.head_received_at = self.head_received_at or clock()
        return max(
            self.min_deadline,
            self.head_received_at
            + BODY_START_TIMEOUT_US
            + self.parser.body_size * 1_000_000 // MIN_BODY_BYTES_PER_S,
        )

    def _on_idle_timeout(self) -> None:
        if self.idle and self.input_empty:
            self.close()

    def _on_request_timeout(self) -> None:
        """The caller has sent nothing more of a request in time. Complete requests before it are still answered."""
        if not self.input_empty:
            # The caller has sent more, and the reader has not got to it yet: it sets the next timeout.
            self._set_timeout(clock() + UNREAD_INPUT_GRACE_US, self._on_request_timeout)
        elif not self.parser.error:
            timed_out = LocalResponse(408, "request not finished in time")
            self.parser.end_with(timed_out)
            self.reader.kill(block=False)
            self.http_server.mark_reader_paused(self)
            gevent.spawn(self.requests.put, timed_out)

    def _update_buffered_bytes(self) -> None:
        """Updates the server's count of bytes held. A request that exceeds the memory limit is rejected before it is
        complete, so that it does not displace the requests of others."""
        if self.closed:
            return
        large_body = self.parser.large_body
        if large_body is not None:
            large_body.reserve(max(self.parser.bytes_read, self.parser.declared_length))
        buffered_bytes = self.parser.bytes_read if self.parser.in_request and large_body is None else 0
        requests = [self.current, *self.requests.queue, *self.parser.parsed]
        received_bodies = [request.body for request in requests if isinstance(request, ReceivedRequest)]
        buffered_bytes += sum(len(body) for body in received_bodies if isinstance(body, bytes))
        buffered_bytes += len(received_bodies) * PARSED_REQUEST_BYTES
        buffered_bytes += len(self.read_ahead_buffer) + self.answer_bytes
        self.http_server.memory.count(buffered_bytes - self.buffered_bytes)
        self.buffered_bytes = buffered_bytes
        if self.http_server.memory.full:
            self._reject_for_memory()

    def _reject_for_memory(self) -> None:
        """Rejects the request that is being received, if there is one."""
        if self.parser.error or not self.parser.in_request:
            return
        size = max(self.parser.bytes_read, self.parser.declared_length)
        memory = self.http_server.memory
        text = f"memory limit: rejected a request of {size} bytes, {memory.held} of {memory.limit} are held"
        log_event(
            "memory",
            text,
            "warning",
            request=self.parser.headers.get("x-request-id"),
            private_bytes=memory.private,
            excess_bytes=memory.excess,
        )
        self.parser.reject(NO_MEMORY)
        self._update_buffered_bytes()

    def _count_answer(self, size: int) -> None:
        """Counts the memory of the answer to the current request, in bytes; 0: it is written."""
        self.http_server.memory.count(size - self.answer_bytes)
        self.buffered_bytes += size - self.answer_bytes
        self.answer_bytes = size

    def _wait_for_memory(self) -> None:
        """Waits until there is memory for a whole large body before more of it is read, first come, first served. For a
        body without a length, waits until there is memory for what was received. Part of the memory is reserved for
        small requests. After a timeout `_update_buffered_bytes` rejects the request if it does not fit."""
        required_bytes = self.parser.declared_length or (
            self.parser.bytes_read if self.parser.bytes_read > MAX_MESSAGE_BYTES else 0
        )
        large_body = self.parser.large_body
        reserved_bytes = large_body.reserved if large_body is not None else 0
        memory = self.http_server.memory
        limit = memory.large_limit
        if (
            required_bytes <= reserved_bytes
            or required_bytes > limit
            or memory.held - reserved_bytes + required_bytes <= limit
        ):
            return
        if memory.short:  # by what others that wait have received already
            return self._reject_for_memory()
        self._set_timeout()  # the delay is on this side
        self.http_server.memory_waiters.append(self)
        self.receipt_clock.left_unread(clock())
        # All of the request may have been sent: its own time passes.
        wait_us = min(MEMORY_WAIT_TIMEOUT_US, self.parser.timeout_us)
        try:
            # False: the timeout ends the block without an exception.
            with self._reader_paused(), gevent.Timeout(wait_us / 1e6, False):  # type: ignore[arg-type]
                while (
                    self.http_server.memory_waiters[0] is not self
                    or memory.held - reserved_bytes + required_bytes > limit
                ):
                    self.http_server.memory_released.clear()
                    self.http_server.memory_released.wait()
        finally:
            self.http_server.memory_waiters.remove(self)
            self.http_server.memory_released.set()

    # ------------------------------------------------------------ reading

    def _read_loop(self) -> None:
        # No local variable here may refer to a request: each idle connection would keep its last bodies alive.
        try:
            while self._process_input(*self._receive()):
                pass
            if not self.closed:
                self.http_server.mark_reader_paused(self)
        except OSError:
            self.close()
        except Exception as error:
            self._log_fault("reading a request failed", error)
            self.close()

    def _process_input(self, data: bytes, received_at: int) -> bool:
        """Parses bytes that were received at this time. Returns whether to read on."""
        if not data or self.closed:  # another greenlet may have closed it and not killed this one yet
            self.close()  # a shutdown of only the sending side counts as a disconnect, too
            return False
        was_in_request = self.parser.in_request
        if len(data) < MIN_CHUNKED_SLICE_BYTES:
            self.parser.feed(data, received_at)
        else:
            began_at = clock()
            self.parser.feed(data, received_at)
            self.parser.note_parse_time(clock() - began_at)
        self._wait_for_memory()
        if self.closed:
            return False
        self._update_buffered_bytes()  # without a turn for others since there was memory
        is_large = self.parser.bytes_read > MAX_MESSAGE_BYTES
        if self.read_ahead_buffer or is_large and clock() - self.turn_began_at >= TURN_US:
            gevent.sleep(0)  # a caller that sends faster than this reads and parses must not block the others
            self.turn_began_at = clock()
            if self.closed:
                return False
        begins_request = bool(self.parser.parsed) or not was_in_request
        is_first = self.fresh and not self.has_unanswered_request
        if self.parser.parsed or not self.parser.in_request:
            self._set_timeout()
        self._queue_parsed()
        # Set only now: while the queue was full, it was not the caller who kept the proxy waiting.
        if self.parser.in_request and not self.parser.error:
            if begins_request:
                self.head_received_at = 0
                self.min_deadline = (
                    self.idle_since + FIRST_REQUEST_TIMEOUT_US if is_first else clock() + REQUEST_TIMEOUT_US
                )
            self._set_timeout(self._request_deadline(), self._on_request_timeout)
        if self.parser.expects_continue and not self.parser.error:
            self.parser.expects_continue = False
            if not self.has_unanswered_request:
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return not self.parser.error  # after an error the handler responds and closes

    def _queue_parsed(self) -> None:
        """Passes the parsed requests on; blocks while the queue is full."""
        parsed = self.parser.parsed
        # The usual request finds the queue empty, which saves the disconnect check.
        must_wait = len(parsed) > 1 or self.requests.full()
        with self._reader_paused() if must_wait else nullcontext():
            while parsed:
                # `parsed` keeps the item until it is in the queue, so that its bytes stay counted.
                self.requests.put(parsed[0])
                del parsed[0]

    # ------------------------------------------------------------ serving

    def _serve_loop(self) -> None:
        try:
            while not self.closed and self._serve_request(self.requests.get()):
                if self.has_unanswered_request:
                    # Reader and handler wake each other: where no request needs to wait for a node, the event loop
                    # would not get a turn to serve the others as long as the caller goes on.
                    gevent.sleep(0)
            self._linger()
        except OSError:
            pass
        except Exception as error:
            self._log_fault("serving a request failed", error)
        finally:
            self.close()

    def _log_fault(self, text: str, error: Exception) -> None:
        request = (
            self.current.headers.get("x-request-id") if isinstance(self.current, ReceivedRequest) else ""
        )
        text = f"{text}: {type(error).__name__}: {error}"
        log_event("fault", text, "error", request=request, where=error_location(error))

    def _serve_request(self, item: ReceivedRequest | LocalResponse) -> bool:
        """Serves one request. Returns whether the connection stays open."""
        if self.closed:  # a killed greenlet may run once more if an item was passed to it at that moment
            return False
        self.current = item
        if isinstance(item, LocalResponse):
            request_id = self.parser.rejected_request_id
            log_event("callers", f"request rejected: {item.status} {item.message}", request=request_id)
        self.serving = True
        status, extra_headers, body, content_type, streamed_response = self._build_response(item)
        # These are accepted, or about to be, and must be answered too.
        more_requests = (
            self.parser.in_request or self.requests.qsize() or self.parser.parsed or self.read_ahead_buffer
        )
        closes_connection = (
            isinstance(item, LocalResponse)
            or not item.keep_alive
            or (self.http_server.closing_connections and not more_requests)
        )
        chunked = (
            isinstance(item, ReceivedRequest)
            and item.accepts_chunked
            and streamed_response is not None
            and streamed_response.length is None
        )
        # Without a length and without chunks, closing the connection marks the end of the body.
        closes_connection = closes_connection or (
            streamed_response is not None and streamed_response.length is None and not chunked
        )
        framing = f"Content-Length: {streamed_response.length if streamed_response else len(body)}\r\n"
        framing = (
            framing
            if not streamed_response or streamed_response.length is not None
            else "Transfer-Encoding: chunked\r\n" * chunked
        )
        head = f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\n{framing}"
        head += f"Content-Type: {content_type}\r\n" if content_type and body else ""
        head += extra_headers + ("Connection: close\r\n" if closes_connection else "") + "\r\n"
        body = b"" if isinstance(item, ReceivedRequest) and item.method == "HEAD" else body
        if streamed_response is None:
            self._write_answer(head.encode("latin-1"), body)
        else:
            self._stream_response(head.encode("latin-1"), streamed_response, chunked)
        self.serving = self.fresh = False
        self.current = None
        self._count_answer(0)
        self.idle_since = clock()
        self.http_server.mark_idle(self)
        self._update_buffered_bytes()
        if not closes_connection and self.idle:
            self.receipt_clock.caught_up()
            self._set_timeout(self.idle_since + KEEP_ALIVE_US, self._on_idle_timeout)
        return not closes_connection

    def _stream_response(self, head: bytes, node_response: NodeResponse, chunked: bool) -> None:
        """Forwards a large response as it is received. If it is cut short, closes the connection immediately, because
        the caller must be able to detect this and must never get a second response."""
        body_stream, chunk = node_response.body_stream, node_response.body
        assert body_stream is not None
        self.response_stream = body_stream
        until_close = node_response.length is None and not chunked
        try:
            while chunk:
                self._write(head + (b"%x\r\n%b\r\n" % (len(chunk), chunk) if chunked else chunk))
                head = b""
                gevent.sleep(0)  # a fast node and a fast caller must not hold up the others
                if (chunk := body_stream.read_chunk()) is None:  # type: ignore[assignment]
                    if until_close:
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    raise OSError("response of the node was cut short")
            if chunked:
                self._write(b"0\r\n\r\n")
        finally:
            self.response_stream = None
            body_stream.close()

    def _build_response(
        self, item: ReceivedRequest | LocalResponse
    ) -> tuple[int, str, bytes, str, NodeResponse | None]:
        """Status, additional header lines, body, content type, and the node's response if it is to be streamed."""
        try:
            if isinstance(item, ReceivedRequest):
                if item.target.partition("?")[0] == "/ready":
                    item = self.http_server.ready(item)
                else:
                    validated = validate_request(item, self.http_server.config)
                    answer = (
                        validated if isinstance(validated, LocalResponse) else self._run_job(item, *validated)
                    )
                    if isinstance(answer, Answer):
                        return self._format_answer(answer)
                    item = answer
            extra_headers = "Allow: GET, POST\r\n" if item.status == 405 else ""
            return item.status, extra_headers, item.message.encode() + b"\n", "text/plain", None
        except Exception as error:  # the caller must get a response, and no traceback
            self._log_fault("handling a request failed", error)
            if self.job:
                self.http_server.dispatcher.caller_disconnected(self.job)
                self.job = None
            return 500, "", b"failed\n", "text/plain", None

    def _run_job(
        self, request: ReceivedRequest, cls: int, tenant: int, deadline: int
    ) -> Answer | LocalResponse:
        if self.http_server.memory.exhausted:
            return self._refuse(request, "no memory is left")
        # Each attempt looks again before it begins (`may_begin`).
        if self._reader_lags and not self._would_notice_close():
            return self._refuse(request, UNREAD_INPUT_REASON)
        headers = request.headers
        forwarded_headers = tuple(
            (name.title(), headers[name]) for name in FORWARDED_HEADERS if name in headers
        )
        node_request = NodeRequest(request.method, request.target, forwarded_headers, request.body)
        is_retry = headers.get("x-retried") == "1"
        register_key = intent_register_key(request, self.http_server.config)
        if isinstance(register_key, LocalResponse):
            return register_key
        self.result = AsyncResult()
        deadline -= self.http_server.stall_detector.max_unread_us(request.received_us)
        if self.http_server.shutdown:
            deadline = self.http_server.shutdown.clamp_deadline(deadline)
        fingerprint = request_fingerprint(request, cls, tenant)
        job = Job(
            headers["x-request-id"],
            cls,
            tenant,
            deadline - DELIVERY_MARGIN_US,
            node_request,
            self,
            is_retry,
            fingerprint,
        )
        job.intent_register = register_key
        job.content_digest = request_digest(request) if register_key else b""
        self.job = job  # before submit(), which may answer it immediately
        if not self.http_server.dispatcher.submit(job):
            self.job = None
            return LocalResponse(409, "this X-Request-ID is in use or was used", closes_connection=False)
        answer = self.result.get()
        self.job = None
        self.result = AsyncResult()  # the old one keeps the answer alive
        assert answer is not None  # waits without a timeout; the dispatcher answers every job by its deadline
        return answer

    @staticmethod
    def _refuse(request: ReceivedRequest, reason: str) -> LocalResponse:
        log_event("callers", f"request refused: {reason}", request=request.headers["x-request-id"])
        return REFUSED

    def _format_answer(self, answer: Answer) -> tuple[int, str, bytes, str, NodeResponse | None]:
        status = answer.status
        if status is AnswerStatus.SERVED and not isinstance(answer.response, NodeResponse):
            status = AnswerStatus.FAILED  # from a transport that returns another type
        if status is AnswerStatus.SERVED:
            node_response = answer.response
            return (
                200,
                "",
                node_response.body,
                node_response.content_type,
                node_response if node_response.body_stream else None,
            )
        retry_after = retry_after_value(answer)
        return (
            STATUS_CODES[status],
            f"Retry-After: {retry_after}\r\n" if retry_after else "",
            error_body(answer),
            "text/plain",
            None,
        )

    def _write_answer(self, head: bytes, body: bytes) -> None:
        """Sends head and body, together only if that copies little: a slow caller keeps what is being sent."""
        if len(body) <= READ_CHUNK_BYTES:
            self._write(head + body)
        else:
            self._write(head)
            self._write(body)

    def _write(self, data: bytes) -> None:
        """Sends all data. The connection of a caller that does not take it in time is closed (`write_deadline`)."""
        self.write_timer = Timer(clock() + WRITE_WATCH_DELAY_US, self._watch_write)
        try:
            self.sock.sendall(data)
        finally:
            self.write_timer.cancel()
            self.write_timer = None

    def _watch_write(self) -> None:
        self._check_write(clock(), unacknowledged_bytes(self.sock))

    def _check_write(self, watched_since: int, unacknowledged_before: int) -> None:
        acknowledged = max(0, unacknowledged_before - unacknowledged_bytes(self.sock))
        deadline = write_deadline(watched_since, acknowledged, RESPONSE_WRITE_TIMEOUT_US)
        if clock() >= deadline:
            log_event("callers", "closed: the caller does not take its response", "warning")
            self.close()
        else:
            self.write_timer = Timer(
                deadline, lambda: self._check_write(watched_since, unacknowledged_before)
            )

    def _linger(self) -> None:
        """Closes the connection so that the last response arrives; a close with unread bytes would reset it. The kernel
        discards what is still received (MSG_TRUNC). The pauses between the reads leave time for other callers."""
        if self.closed:
            return
        self.reader.kill()
        self.http_server.paused_readers.discard(self)
        self._set_timeout(clock() + LINGER_TIMEOUT_US, self.close)
        self.sock.shutdown(socket.SHUT_WR)
        while self.sock.recv_into(
            self.http_server.discard_buffer, len(self.http_server.discard_buffer), socket.MSG_TRUNC
        ):
            gevent.sleep(DISCARD_INTERVAL_S)
