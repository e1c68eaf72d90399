"""Reads what a caller sends over HTTP/1.1 into whole requests. It owns the bounds of what is read and kept of one
request; it must never decide what an order is (check.py does) or answer anybody."""

from __future__ import annotations

from typing import Any

import httptools

from ...core.limits import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_MESSAGE_BYTES,
    READ_CHUNK_BYTES,
)
from ...drivers.clock import clock
from ..validation import LocalResponse, ReceivedRequest, to_origin_form

SINGLE = (
    "content-length", "transfer-encoding", "host", "x-request-id", "x-priority-class", "x-tenant-id", "x-timeout",
)  # fmt: skip


class RequestParser:
    """Parses what a caller sends; httptools calls its on_ methods. Whole requests, or one fault at the end, are
    left in `parsed`."""

    def __init__(self, most: int = MAX_BODY_BYTES) -> None:
        self.max_body = most  # bytes of one body
        self.parser: Any = httptools.HttpRequestParser(self)
        self.parsed: list[ReceivedRequest | LocalResponse] = []
        self.in_request = False  # within a request
        self.in_head = False
        self.bytes_read = 0  # bytes since the last whole request
        self.expects_continue = False
        self.error: LocalResponse | None = None
        self._clear()

    def _clear(self) -> None:
        self.url = b""
        self.size = 0  # of the head, as far as it has been reported
        self.headers: dict[str, str] = {}
        self.twice: set[str] = set()
        self.body = bytearray()
        self.declared_length = 0  # the length of a body over MAX_BUFFERED_BODY_BYTES, as its head has it

    def close(self) -> None:
        """Lets go of the parser, which holds this: with what was read, the two would wait for the collector."""
        self.parser = None
        self._clear()

    def feed(self, data: bytes) -> None:
        if self.error:
            return
        whole = len(self.parsed)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error = self.error or LocalResponse(400, "malformed request")
        self.bytes_read = (0 if len(self.parsed) > whole else self.bytes_read) + len(data)
        # What the parser holds back counts too: a header or trailer that never ends is not reported by it.
        if self.bytes_read > MAX_HEAD_BYTES + READ_CHUNK_BYTES and (self.in_head or not self.in_request):
            self.error = self.error or LocalResponse(431, "head too large")
        elif self.bytes_read > MAX_MESSAGE_BYTES + 2 * len(self.body):
            self.error = self.error or LocalResponse(413, "too many bytes for one request")
        if self.error:
            self.reject(self.error)

    def reject(self, fault: LocalResponse) -> None:
        """Nothing more is read; what has come of the request is of no more use."""
        self.error = fault
        self.parsed.append(fault)
        self.bytes_read = 0
        self._clear()

    def on_message_begin(self) -> None:
        self._clear()
        self.in_request = self.in_head = True

    def on_url(self, url: bytes) -> None:
        self.url += url
        self.size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer: it must not pass for a header
        key = name.decode("latin-1").lower()
        self.size += len(name) + len(value) + 4
        text = value.decode("latin-1").strip()
        if not text.replace("\t", " ").isprintable() and not self.error:
            self.error = LocalResponse(
                400, "control character in a header"
            )  # some headers go on to a node as they came
        if key in self.headers:
            self.twice.add(key)
        self.headers[key] = text

    def on_headers_complete(self) -> None:
        self.in_head = False
        length = self.headers.get("content-length", "0")
        coding = self.headers.get("transfer-encoding")
        if self.error:
            pass
        elif self.parser.should_upgrade():
            self.error = LocalResponse(400, "no other protocol is spoken here")
        elif self.size > MAX_HEAD_BYTES:
            self.error = LocalResponse(431, "head too large")
        elif coding is not None and "content-length" in self.headers:
            self.error = LocalResponse(400, "both Content-Length and Transfer-Encoding")
        elif coding is not None and coding.lower() != "chunked":
            self.error = LocalResponse(400, "unknown Transfer-Encoding")
        elif length.isdigit() and int(length[:20]) > self.max_body:
            self.error = LocalResponse(413, "body too large")
        elif length.isdigit() and int(length) > MAX_BUFFERED_BODY_BYTES:
            self.declared_length = int(length)
        self.expects_continue = self.headers.get("expect", "").lower() == "100-continue"

    def on_body(self, body: bytes) -> None:
        if len(self.body) + len(body) > self.max_body:
            self.error = self.error or LocalResponse(413, "body too large")
        if not self.error:
            self.body += body

    def on_message_complete(self) -> None:
        self.in_request = self.expects_continue = False
        if self.error:
            return
        if self.twice.intersection(SINGLE):
            self.error = LocalResponse(400, "a header stands twice")
            return
        self.parsed.append(
            ReceivedRequest(
                self.parser.get_method().decode("latin-1"),
                to_origin_form(self.url.decode("latin-1")),
                self.headers,
                bytes(self.body)
                if len(self.body) <= MAX_BUFFERED_BODY_BYTES
                else self.body,  # a large one is never copied
                clock(),  # its time counts from here, also while it waits for its turn
                bool(self.parser.should_keep_alive()),
                self.parser.get_http_version() not in ("1.0", "0.9"),
            )
        )
        self._clear()  # the body is held once
