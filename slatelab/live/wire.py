"""Encodes requests as callers send them."""

from __future__ import annotations

from collections.abc import Mapping

from slatelab.records import order_id
from slatelab.scenario import Class


def request_bytes(
    cls: Class,
    request: str,
    tenant: str,
    timeout_us: int,
    figures: Mapping[str, object],
    retried: bool = False,
    alike: bool = False,
) -> bytes:
    """Encodes a complete request of a class. All attempts of an order have the same target, and two orders
    have different targets unless `alike`. `figures` are sent in X-Attrs, which proxies forward unchanged:
    from them a node reads its work and the proxy that forwarded the request."""
    method = "GET" if cls.effect == "safe" else "POST"
    lines = [
        f"{method} /{cls.name}{'' if alike else '/' + order_id(request)} HTTP/1.1",
        "Host: app.svc",
        f"X-Request-ID: {request}",
        f"X-Priority-Class: {cls.name}",
        "X-Attrs: " + ",".join(f"{name}={value}" for name, value in figures.items()),
    ]
    if tenant:
        lines.append(f"X-Tenant-Id: {tenant}")
    lines.append(f"X-Timeout: {max(1, timeout_us)}u")
    if retried:
        lines.append("X-Retried: 1")
    if method == "POST":
        lines.append(f"Content-Length: {cls.body}")
    return "\r\n".join([*lines, "", ""]).encode() + b"x" * cls.body
