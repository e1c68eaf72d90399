"""The one checker of requests, for every front: what is an order, of which class and account, and until when. It must
never let through what a node could read differently than we do, and never word a refusal."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass

from paddlestep.interface import Effect

from ..core.limits import MAX_BUFFERED_BODY_BYTES
from ..settings.reader import ProxyConfig

IDENT = re.compile(r"[!-~]{1,128}\Z")
TIMEOUT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])\Z", re.ASCII)


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """An answer of our own to what is no order."""

    status: int
    message: str
    closes_connection: bool = True  # the connection ends with it


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A whole request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes | bytearray
    received_us: int
    keep_alive: bool
    accepts_chunked: bool = True  # its caller reads chunked answers


def to_origin_form(target: str) -> str:
    """The target as path and query, where it names the host too (absolute-form, RFC 9112 3.2.2); else as it is."""
    if not target[:7].lower() == "http://":
        return target
    authority, slash, rest = target[7:].partition("/")
    if "?" in authority:
        return "/?" + target[7:].partition("?")[2]
    return "/" + rest if authority else target


def validate_request(request: ReceivedRequest, plant: ProxyConfig) -> tuple[int, int, int] | LocalResponse:
    """Class, account and deadline of an order, or what is wrong with it."""
    headers = request.headers
    name = headers.get("x-priority-class", "")
    target = request.target
    if not target.startswith("/") or not target.isascii() or not target.isprintable() or "#" in target:
        return LocalResponse(400, "bad target", closes_connection=False)
    first = target[1:].partition("?")[0].partition("/")[0]
    if name not in plant.classes:
        unknown = not name and first not in plant.classes
        return (
            LocalResponse(404, "no such path", closes_connection=False)
            if unknown
            else LocalResponse(400, "unknown class", closes_connection=False)
        )
    if first != name:
        return LocalResponse(400, "class and path disagree", closes_connection=False)
    cls = plant.classes[name]
    method = "GET" if plant.settings.classes[cls].effect is Effect.SAFE else "POST"
    if request.method != method:
        return LocalResponse(405, f"this class takes {method}", closes_connection=False)
    if method == "GET" and request.body:
        return LocalResponse(400, "no body is taken here", closes_connection=False)
    if not IDENT.match(headers.get("x-request-id", "")):
        return LocalResponse(400, "bad or missing X-Request-ID", closes_connection=False)
    timeout = TIMEOUT.match(headers.get("x-timeout", ""))
    if not timeout:
        return LocalResponse(400, "bad or missing X-Timeout", closes_connection=False)
    account = plant.accounts.get(headers.get("x-tenant-id", ""), -1) if plant.accounts else 0
    if account < 0:
        return LocalResponse(400, "unknown tenant", closes_connection=False)
    left = int(float(timeout[1]) * (1000 if timeout[2] == "m" else 1))
    return cls, account, request.received_us + min(left, 3_600_000_000)


def intent_register_key(request: ReceivedRequest, plant: ProxyConfig) -> bytes | LocalResponse:
    """The register of an order that must not run twice, by the key that its caller gives it; b"" for any other."""
    terms = plant.operator.ledger
    if not terms.classes or request.headers.get("x-priority-class", "") not in terms.classes:
        return b""
    key = request.headers.get(terms.header, "")
    if not key and not terms.require:
        return b""
    if not IDENT.match(key):
        return LocalResponse(400, f"bad or missing {terms.header}", closes_connection=False)
    from ..decisions.idempotency import register_key

    return register_key(request.headers.get("x-tenant-id", ""), key)


def request_fingerprint(request: ReceivedRequest, cls: int, account: int) -> int:
    """64 bits alike for all tries of an order, whatever their ids: a hash of class, account, target and body."""
    whole = hashlib.blake2b(f"{cls} {account} {request.target} ".encode(), digest_size=8)
    whole.update(
        memoryview(request.body)[:MAX_BUFFERED_BODY_BYTES]
    )  # of a large one the beginning and the length: it costs time
    whole.update(b"%d" % len(request.body))
    return int.from_bytes(whole.digest(), "big")
