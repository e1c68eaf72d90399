"""Validates requests for every front and determines their class, tenant and deadline. Rejects any request that a node
could interpret differently than this proxy. Refusals of valid requests are not made here."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from paddlestep.interface import Effect

from ..core.limits import MAX_BUFFERED_BODY_BYTES
from ..settings.reader import ProxyConfig

VISIBLE_ASCII = re.compile(r"[!-~]{1,128}\Z")
DIGEST_BYTES = 16
MAX_TIMEOUT_US = 3_600_000_000
# Headers that may occur only once.
SINGLE_VALUE_HEADERS = (
    "content-length", "transfer-encoding", "host", "x-request-id", "x-priority-class", "x-tenant-id", "x-timeout",
)  # fmt: skip
FORWARDED_HEADERS = (
    "x-request-id",
    "x-priority-class",
    "x-tenant-id",
    "x-retried",
    "x-attrs",
    "content-type",
)
KEPT_HEADERS = frozenset((*SINGLE_VALUE_HEADERS, *FORWARDED_HEADERS, "expect"))
TIMEOUT_VALUE = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z", re.ASCII)


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A response by the proxy itself, to an invalid request or to /ready."""

    status: int
    message: str
    closes_connection: bool = True  # after this response


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request as it was received."""

    method: str
    target: str
    headers: dict[str, str]  # those that `kept_headers` names
    body: bytes | memoryview
    received_us: int
    keep_alive: bool
    accepts_chunked: bool = True  # the caller can read chunked responses
    body_digest: bytes = b""  # see `body_hash`; b"": not computed


def to_origin_form(target: str) -> str:
    """Path and query of a target in absolute-form (RFC 9112 section 3.2.2); any other target unchanged."""
    if not target[:7].lower() == "http://":
        return target
    authority, slash, path_and_query = target[7:].partition("/")
    if "?" in authority:
        return "/?" + target[7:].partition("?")[2]
    return "/" + path_and_query if authority else target


def validate_request(request: ReceivedRequest, config: ProxyConfig) -> tuple[int, int, int] | LocalResponse:
    """Class, tenant and deadline (microseconds) of a request, or the error response for an invalid one."""
    headers = request.headers
    class_name = headers.get("x-priority-class", "")
    target = request.target
    if not target.startswith("/") or not target.isascii() or not target.isprintable() or "#" in target:
        return LocalResponse(400, "bad target", closes_connection=False)
    first_segment = target[1:].partition("?")[0].partition("/")[0]
    if class_name not in config.classes:
        unknown_path = not class_name and first_segment not in config.classes
        return (
            LocalResponse(404, "no such path", closes_connection=False)
            if unknown_path
            else LocalResponse(400, "unknown class", closes_connection=False)
        )
    if first_segment != class_name:
        return LocalResponse(400, "class and path disagree", closes_connection=False)
    cls = config.classes[class_name]
    method = "GET" if config.settings.classes[cls].effect is Effect.SAFE else "POST"
    if request.method != method:
        return LocalResponse(405, f"this class takes {method}", closes_connection=False)
    if method == "GET" and request.body:
        return LocalResponse(400, "no body is taken here", closes_connection=False)
    if not VISIBLE_ASCII.match(headers.get("x-request-id", "")):
        return LocalResponse(400, "bad or missing X-Request-ID", closes_connection=False)
    timeout_us = parse_timeout_us(headers.get("x-timeout", ""))
    if timeout_us is None:
        return LocalResponse(400, "bad or missing X-Timeout", closes_connection=False)
    tenant = config.accounts.get(headers.get("x-tenant-id", ""), -1) if config.accounts else 0
    if tenant < 0:
        return LocalResponse(400, "unknown tenant", closes_connection=False)
    return cls, tenant, request.received_us + timeout_us


def parse_timeout_us(value: str) -> int | None:
    """The value of X-Timeout in microseconds, MAX_TIMEOUT_US at most; None if it is invalid."""
    timeout = TIMEOUT_VALUE.match(value)
    if not timeout:
        return None
    return min(int(float(timeout[1]) * (1000 if timeout[2] == "m" else 1)), MAX_TIMEOUT_US)


def kept_headers(config: ProxyConfig) -> frozenset[str]:
    """The headers that anything in the program reads or forwards, in lower case. A header takes many times its bytes in
    memory, so that all others are dropped as they are received."""
    return KEPT_HEADERS | {config.operator.ledger.header}


def is_recorded(headers: dict[str, str], config: ProxyConfig) -> bool:
    """Whether requests with these headers are recorded in the ledger, if they have an idempotency key."""
    ledger = config.operator.ledger
    return bool(ledger.classes) and headers.get("x-priority-class", "") in ledger.classes


def intent_register_key(request: ReceivedRequest, config: ProxyConfig) -> bytes | LocalResponse:
    """Key of the intent register of a request that must not run twice, derived from the caller's idempotency key; b""
    for any other request. An error response if the idempotency key is invalid, or required and missing."""
    ledger = config.operator.ledger
    if not is_recorded(request.headers, config):
        return b""
    key = request.headers.get(ledger.header, "")
    if not key and not ledger.require:
        return b""
    if not VISIBLE_ASCII.match(key):
        return LocalResponse(400, f"bad or missing {ledger.header}", closes_connection=False)
    from ..decisions.idempotency import register_key

    return register_key(request.headers.get("x-tenant-id", ""), key)


def body_hash() -> hashlib.blake2b:
    """An empty hash for the bytes of a body."""
    return hashlib.blake2b(digest_size=DIGEST_BYTES)


def request_digest(request: ReceivedRequest) -> bytes:
    """A hash of all that makes a request what it is: the names of its class and tenant, its target and its whole body.
    Equal for its repeats, after a restart and at other proxies too; any other request has another one."""
    body_digest = request.body_digest
    if not body_digest:  # the ledger was switched on while the body was received
        hasher = body_hash()
        hasher.update(request.body)
        body_digest = hasher.digest()
    names = (request.headers.get(name, "") for name in ("x-priority-class", "x-tenant-id"))
    content = "\0".join((*names, request.target)).encode() + b"\0" + body_digest
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


def request_fingerprint(request: ReceivedRequest, cls: int, tenant: int) -> int:
    """A 64-bit hash of class, tenant, target and of the beginning and length of the body: equal for all retries of a
    request, whatever their ids. It recognizes retries; what must not be taken for another needs `request_digest`."""
    digest = hashlib.blake2b(f"{cls} {tenant} {request.target} ".encode(), digest_size=8)
    digest.update(memoryview(request.body)[:MAX_BUFFERED_BODY_BYTES])
    digest.update(b"%d" % len(request.body))
    return int.from_bytes(digest.digest(), "big")
