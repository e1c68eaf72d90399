"""The operators' calls as HTTP words them: which method and path mean which call. Pure. It must never act, and never
let a path that it does not know pass for one that it does."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote

from ..decisions.maintenance import MAX_NODE_ID_LENGTH

HEALTH, MAINT, READY, FAIL, OK, FLEET, COPIES = "health", "maint", "ready", "fail", "ok", "fleet", "copies"
FIXED = {
    "/healthcheck": ("GET", HEALTH), "/healthcheck/fail": ("PUT", FAIL), "/healthcheck/ok": ("PUT", OK),
    "/fleet": ("GET", FLEET), "/copies": ("GET", COPIES),
}  # fmt: skip
OF_NODE = {"maint": MAINT, "ready": READY}
VOTERS = "voters"  # a change of who votes
OF_VOTERS = {"add": 1, "remove": 1, "replace": 2}  # names that each takes


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """`name`: one of those above. `ident`: the node's id where the call is about a node, the voter's name where it is
    about who votes; `action` is to be done with it, and `replacement`: the one in its place."""

    operation: str
    subject: str = ""
    action: str = ""
    replacement: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """What a caller is told: 2xx is yes, 4xx and 5xx no. `allowed_method`: the method that the path takes, with 405."""

    status: int
    text: str
    allowed_method: str = ""


def route(method: str, target: str) -> AdminRequest | AdminResponse:
    """The call that a request means, or why it means none. Ids are percent-decoded, after the path has been cut."""
    path = target.partition("?")[0]
    if path in FIXED:
        takes, name = FIXED[path]
        return _allowed(method, takes, AdminRequest(name))
    parts = path.split("/")
    if parts[1:2] == ["copies"] and len(parts) > 2 and OF_VOTERS.get(parts[2]) == len(parts) - 3:
        words = [unquote(part) for part in parts[3:]]
        if not all(0 < len(word) <= 64 and word.isprintable() for word in words):
            return AdminResponse(400, "not a name")
        return _allowed(
            method, "PUT", AdminRequest(VOTERS, words[0], parts[2], words[-1] if len(words) > 1 else "")
        )
    if len(parts) != 4 or parts[0] or parts[1] != "nodes" or parts[3] not in OF_NODE:
        return AdminResponse(404, "no such call")
    try:
        ident = unquote(parts[2], errors="strict")
    except UnicodeDecodeError:
        return AdminResponse(400, "the id is no UTF-8")
    if not ident.isprintable() or len(ident) > MAX_NODE_ID_LENGTH:
        return AdminResponse(400, "not an id")
    return (
        _allowed(method, "PUT", AdminRequest(OF_NODE[parts[3]], ident))
        if ident
        else AdminResponse(404, "no such call")
    )


def _allowed(method: str, takes: str, call: AdminRequest) -> AdminRequest | AdminResponse:
    good = method == takes or (takes == "GET" and method == "HEAD")
    return call if good else AdminResponse(405, f"this path takes {takes}", allowed_method=takes)
