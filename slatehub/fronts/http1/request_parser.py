"""Parses the bytes of a caller's HTTP/1.1 connection into complete requests and enforces the size limits of a request.
Validation of the requests (validation.py) and responding are not done here."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from typing import Any

import httptools

from ...core.limits import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_MESSAGE_BYTES,
    READ_CHUNK_BYTES,
)
from ..validation import (
    KEPT_HEADERS,
    SINGLE_VALUE_HEADERS,
    LocalResponse,
    ReceivedRequest,
    body_hash,
    parse_timeout_us,
    to_origin_form,
)
from .large_body import GROWTH_BYTES, CountBytes, LargeBody

# Fed at once between bodies, so that few requests are parsed before they can be served.
HEAD_SLICE_BYTES = 1024
# Fed at once of a body that does not state its length, less where its chunks are small: each costs as much as a large
# one, and requests behind the end of the body are parsed with it.
MIN_CHUNKED_SLICE_BYTES = 1024
MAX_CHUNKED_SLICE_BYTES = 4 * 1024
MAX_PARSE_US = 500  # for one slice; one that takes longer is halved
NO_MEMORY = LocalResponse(503, "no room")  # the system has none for a large body


class RequestParser:
    """Parses what a caller sends; httptools calls the on_ methods. Appends complete requests to `parsed`, and after an
    error, as the last item, the error response. `needs_digest`: whether the body of a request with these headers is
    hashed, which happens as it is received. `count_bytes` counts the memory of large bodies. `kept_headers` names
    the headers that are kept, in lower case; others are only checked."""

    def __init__(
        self,
        max_body: int = MAX_BODY_BYTES,
        needs_digest: Callable[[dict[str, str]], bool] = lambda headers: False,
        count_bytes: CountBytes = lambda change: None,
        kept_headers: Callable[[], frozenset[str]] = lambda: KEPT_HEADERS,
    ) -> None:
        self.max_body = max_body  # bytes
        self.needs_digest = needs_digest
        self.count_bytes = count_bytes
        self.kept_headers = kept_headers
        self.kept_in_this_head = KEPT_HEADERS
        self.parser: Any = httptools.HttpRequestParser(self)
        self.parsed: list[ReceivedRequest | LocalResponse] = []
        self.in_request = False
        self.in_head = False
        self.bytes_read = 0  # since the last complete request
        self.chunked_slice_bytes = MAX_CHUNKED_SLICE_BYTES
        self.received_at = 0  # of the bytes that are being parsed
        self.expects_continue = False
        self.error: LocalResponse | None = None
        self.rejected_request_id = ""  # of the request that was rejected, if it is known
        self._clear()

    def _clear(self) -> None:
        self.url = b""
        self.head_size = 0  # bytes of the head reported by the parser so far
        self.headers: dict[str, str] = {}
        self.repeated_headers: set[str] = set()
        self.body = bytearray()  # while it is small
        self.large_body: LargeBody | None = None  # the whole body, once it is large
        self.body_hash: hashlib.blake2b | None = None
        self.content_length = 0  # of a body whose head is complete; 0 also if none is stated
        self.declared_length = 0  # Content-Length of a body over MAX_BUFFERED_BODY_BYTES, else 0

    @property
    def body_size(self) -> int:
        """Bytes of the body that have been received."""
        return len(self.body) if self.large_body is None else self.large_body.received

    @property
    def timeout_us(self) -> int:
        """The time that the caller of the request being received waits for its answer, in microseconds; 0 if it does
        not say so."""
        return parse_timeout_us(self.headers.get("x-timeout", "")) or 0

    @property
    def wanted_bytes(self) -> int:
        """How many bytes should be fed at once: no more than belongs to one request, where that is known."""
        if self.in_head or not self.in_request:
            return HEAD_SLICE_BYTES
        remaining = self.content_length - self.body_size
        return min(READ_CHUNK_BYTES, remaining) if remaining > 0 else self.chunked_slice_bytes

    def note_parse_time(self, elapsed_us: int) -> None:
        """Adapts the next slice to how long the last one took."""
        if elapsed_us > MAX_PARSE_US:
            self.chunked_slice_bytes = max(MIN_CHUNKED_SLICE_BYTES, self.chunked_slice_bytes // 2)
        else:
            self.chunked_slice_bytes = min(MAX_CHUNKED_SLICE_BYTES, self.chunked_slice_bytes * 2)

    def close(self) -> None:
        """Drops the parser, which refers to this object. Without this reference cycle both are freed
        immediately, without the garbage collector."""
        self.parser = None
        self._clear()

    def feed(self, data: bytes, received_at: int = 0) -> None:
        """Parses bytes that were received at this time (microseconds), from which the timeout of a request that they
        complete counts. Bytes after an error are ignored."""
        if self.error:
            return
        self.received_at = received_at
        parsed_before = len(self.parsed)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error = self.error or LocalResponse(400, "malformed request")
        self.bytes_read = (0 if len(self.parsed) > parsed_before else self.bytes_read) + len(data)
        # Counts bytes that the parser has not reported, too: it never reports a header or trailer that does not end.
        if self.bytes_read > MAX_HEAD_BYTES + READ_CHUNK_BYTES and (self.in_head or not self.in_request):
            self.error = self.error or LocalResponse(431, "head too large")
        elif self.bytes_read > MAX_MESSAGE_BYTES + 2 * self.body_size:
            self.error = self.error or LocalResponse(413, "too many bytes for one request")
        if self.error:
            self.reject(self.error)

    def end_with(self, error: LocalResponse) -> None:
        """Ends parsing: this is the answer to the request that is incomplete."""
        self.rejected_request_id = self.headers.get("x-request-id", "")
        self.error = error

    def reject(self, error: LocalResponse) -> None:
        """Ends parsing with an error response and discards the incomplete request."""
        self.end_with(error)
        self.parsed.append(error)
        self.bytes_read = 0
        self._clear()

    def on_message_begin(self) -> None:
        self._clear()
        self.kept_in_this_head = self.kept_headers()
        self.in_request = self.in_head = True

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer must not be taken for a header
        lower_name = name.decode("latin-1").lower()
        self.head_size += len(name) + len(value) + 4
        if self.head_size > MAX_HEAD_BYTES:
            self.error = self.error or LocalResponse(431, "head too large")
        decoded_value = value.decode("latin-1").strip()
        if not decoded_value.replace("\t", " ").isprintable() and not self.error:
            # Some headers are forwarded to a node unchanged.
            self.error = LocalResponse(400, "control character in a header")
        if lower_name in self.kept_in_this_head:
            if lower_name in self.headers:
                self.repeated_headers.add(lower_name)
            self.headers[lower_name] = decoded_value

    def on_headers_complete(self) -> None:
        self.in_head = False
        content_length = self.headers.get("content-length", "0")
        transfer_encoding = self.headers.get("transfer-encoding")
        if self.error:
            pass
        elif self.parser.should_upgrade():
            self.error = LocalResponse(400, "no other protocol is spoken here")
        elif self.head_size > MAX_HEAD_BYTES:
            self.error = LocalResponse(431, "head too large")
        elif transfer_encoding is not None and "content-length" in self.headers:
            self.error = LocalResponse(400, "both Content-Length and Transfer-Encoding")
        elif transfer_encoding is not None and transfer_encoding.lower() != "chunked":
            self.error = LocalResponse(400, "unknown Transfer-Encoding")
        elif content_length.isdigit() and int(content_length[:20]) > self.max_body:
            self.error = LocalResponse(413, "body too large")
        elif content_length.isdigit():
            self.content_length = int(content_length)
            if self.content_length > MAX_BUFFERED_BODY_BYTES:
                self.declared_length = self.content_length
                self._start_large_body(self.declared_length)
        if self.needs_digest(self.headers):
            self.body_hash = body_hash()
        self.expects_continue = self.headers.get("expect", "").lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        if self.body_size + len(body) > self.max_body:
            self.error = self.error or LocalResponse(413, "body too large")
        if not self.error:
            self._append_to_body(body)
            if self.body_hash:
                self.body_hash.update(body)

    def _append_to_body(self, data: bytes) -> None:
        if self.large_body is None and len(self.body) + len(data) > MAX_BUFFERED_BODY_BYTES:
            self._start_large_body()
        if self.large_body is None:
            self.body += data
            return
        try:
            self.large_body.append(data)
        except OSError:
            self.error = self.error or NO_MEMORY

    def _start_large_body(self, capacity: int = GROWTH_BYTES) -> None:
        """Moves the body into a mapping of its own, of this many bytes for now."""
        try:
            self.large_body = LargeBody(self.count_bytes, capacity)
        except OSError:
            self.error = self.error or NO_MEMORY
            return
        self.large_body.append(self.body)
        self.body.clear()

    def on_message_complete(self) -> None:
        self.in_request = self.expects_continue = False
        if self.error:
            return
        if self.repeated_headers.intersection(SINGLE_VALUE_HEADERS):
            self.error = LocalResponse(400, "a header stands twice")
            return
        self.parsed.append(
            ReceivedRequest(
                self.parser.get_method().decode("latin-1"),
                to_origin_form(self.url.decode("latin-1")),
                self.headers,
                bytes(self.body) if self.large_body is None else self.large_body.content(),
                self.received_at,
                bool(self.parser.should_keep_alive()),
                self.parser.get_http_version() not in ("1.0", "0.9"),
                self.body_hash.digest() if self.body_hash else b"",
            )
        )
        self._clear()
