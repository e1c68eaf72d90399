"""Requests as callers write them. It owns their bytes, and must never send them."""

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
    """A whole request of a class. All tries of an order ask for the same, and two orders for different things unless
    `alike`. `figures` travel in X-Attrs, which proxies
    pass on unread: by them a node knows what work it is, and which proxy it was sent through."""
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
