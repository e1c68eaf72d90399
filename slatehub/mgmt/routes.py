"""The routes of the operators' API: which method and path mean which call. Does no I/O and carries out no call. Any
path that is not an exact route is rejected."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote

from ..decisions.maintenance import MAX_NODE_ID_LENGTH

HEALTH, MAINT, READY, FAIL, OK, FLEET, COPIES = "health", "maint", "ready", "fail", "ok", "fleet", "copies"
FIXED_ROUTES = {
    "/healthcheck": ("GET", HEALTH), "/healthcheck/fail": ("PUT", FAIL), "/healthcheck/ok": ("PUT", OK),
    "/fleet": ("GET", FLEET), "/copies": ("GET", COPIES),
}  # fmt: skip
NODE_OPERATIONS = {"maint": MAINT, "ready": READY}
VOTERS = "voters"  # a change of the voters
VOTER_CHANGES = {"add": 1, "remove": 1, "replace": 2}  # number of names in the path


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """`operation`: one of the constants above. `subject`: the node id of a call about a node, or the voter's name of a
    change of the voters; `action`: that change, `replacement`: the voter that takes its place."""

    operation: str
    subject: str = ""
    action: str = ""
    replacement: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to a call: 2xx is success, 4xx and 5xx failure. `allowed_method`: the method of the path, with
    405."""

    status: int
    text: str
    allowed_method: str = ""


def route(method: str, target: str) -> AdminRequest | AdminResponse:
    """The call that a request means, or the error response. Ids are percent-decoded after the path is split, so that
    they may contain an encoded slash."""
    path = target.partition("?")[0]
    if path in FIXED_ROUTES:
        allowed_method, name = FIXED_ROUTES[path]
        return _allowed(method, allowed_method, AdminRequest(name))
    parts = path.split("/")
    if parts[1:2] == ["copies"] and len(parts) > 2 and VOTER_CHANGES.get(parts[2]) == len(parts) - 3:
        voters = [unquote(part) for part in parts[3:]]
        if not all(0 < len(voter) <= 64 and voter.isprintable() for voter in voters):
            return AdminResponse(400, "not a name")
        return _allowed(
            method, "PUT", AdminRequest(VOTERS, voters[0], parts[2], voters[-1] if len(voters) > 1 else "")
        )
    if len(parts) != 4 or parts[0] or parts[1] != "nodes" or parts[3] not in NODE_OPERATIONS:
        return AdminResponse(404, "no such call")
    try:
        ident = unquote(parts[2], errors="strict")
    except UnicodeDecodeError:
        return AdminResponse(400, "the id is no UTF-8")
    if not ident.isprintable() or len(ident) > MAX_NODE_ID_LENGTH:
        return AdminResponse(400, "not an id")
    return (
        _allowed(method, "PUT", AdminRequest(NODE_OPERATIONS[parts[3]], ident))
        if ident
        else AdminResponse(404, "no such call")
    )


def _allowed(method: str, allowed_method: str, call: AdminRequest) -> AdminRequest | AdminResponse:
    allowed = method == allowed_method or (allowed_method == "GET" and method == "HEAD")
    return (
        call
        if allowed
        else AdminResponse(405, f"this path takes {allowed_method}", allowed_method=allowed_method)
    )
