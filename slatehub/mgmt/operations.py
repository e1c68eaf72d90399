"""What each operator's call does to this proxy. It owns the order: first done, then kept for the next process, then
yes. It must never say yes to what may still be undone."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from ..decisions.maintenance import Maintenance, TooManyInMaintenance
from .routes import COPIES, FAIL, FLEET, HEALTH, MAINT, OK, READY, VOTERS, AdminRequest, AdminResponse
from .state import StateFile


class NodeMaintenance(Protocol):
    def start_maintenance(self, ident: str) -> bool: ...

    def end_maintenance(self, ident: str) -> bool: ...

    def start_maintenance_unlisted(self, ident: str) -> None: ...

    def is_known(self, ident: str) -> bool: ...


class ClientListener(Protocol):
    @property
    def serving(self) -> bool: ...

    def start_drain(self) -> None: ...

    def end_drain(self) -> None: ...


class Operations:
    """Carries out calls; a call is done when its reply is returned. `tell`: whether the other process of this proxy,
    where there is one, has done it too. `fleet`: what is known of the other proxies, `copies`: of the group of voters;
    None: there is none."""

    def __init__(
        self, by_hand: Maintenance, state: StateFile, nodes: NodeMaintenance, door: ClientListener,
        tell: Callable[[dict[str, Any]], bool],
        fleet: Callable[[], dict[str, Any] | None] = lambda: None,
        copies: Callable[[], dict[str, Any] | None] = lambda: None,
        voters: Callable[[str, str, str], str | None] = lambda what, name, new: None,
        for_all: Callable[[str, bool], str | None] = lambda ident, out: None,
    ) -> None:  # fmt: skip
        self.fleet, self.copies, self.voters, self.for_all = fleet, copies, voters, for_all
        self.maintenance, self.state, self.nodes, self.client_listener, self.tell = (
            by_hand,
            state,
            nodes,
            door,
            tell,
        )

    def __call__(self, call: AdminRequest) -> AdminResponse:
        if call.operation == HEALTH:
            return (
                AdminResponse(200, "serving")
                if self.client_listener.serving
                else AdminResponse(503, "not serving")
            )
        if call.operation == FLEET:
            told = self.fleet()
            return (
                AdminResponse(404, "not in a fleet") if told is None else AdminResponse(200, json.dumps(told))
            )
        if call.operation == COPIES:
            told = self.copies()
            return AdminResponse(404, "in no group") if told is None else AdminResponse(200, json.dumps(told))
        if call.operation == VOTERS:
            why = self.voters(call.action, call.subject, call.replacement)
            return (
                AdminResponse(404, "in no group")
                if why is None
                else AdminResponse(409, why)
                if why
                else AdminResponse(200, "begun")
            )
        reply = self._everywhere(call) or self._here(call)
        if reply.status < 300 and not self.tell({"call": call.operation, "ident": call.subject}):
            return AdminResponse(503, "done here, but the other process has not answered")
        return reply

    def _everywhere(self, call: AdminRequest) -> AdminResponse | None:
        """Where nodes out are the fleet's: first a majority holds it. A no, or None: it is to be done here too."""
        if call.operation not in (MAINT, READY) or not (
            call.operation == READY or self.nodes.is_known(call.subject)
        ):
            return None
        why = self.for_all(call.subject, call.operation == MAINT)
        return AdminResponse(503, why) if why else None

    def apply_operation(self, tree: dict[str, Any]) -> int:
        """A call that the other process has been given: the status."""
        name, ident = tree.get("call"), tree.get("ident")
        if name not in (MAINT, READY, FAIL, OK) or not isinstance(ident, str):
            return 400
        if name == MAINT:
            self.nodes.start_maintenance_unlisted(ident)  # it may stand in the other's list only, so far
        return self._here(AdminRequest(name, ident)).status

    def _here(self, call: AdminRequest) -> AdminResponse:
        if call.operation == FAIL:
            self.client_listener.start_drain()
            return AdminResponse(200, "drained")
        if call.operation == OK:
            self.client_listener.end_drain()
            return AdminResponse(200, "takes clients")
        return self._node(call)

    def _node(self, call: AdminRequest) -> AdminResponse:
        out = call.operation == MAINT
        try:
            known = (
                self.nodes.start_maintenance(call.subject)
                if out
                else self.nodes.end_maintenance(call.subject)
            )
        except TooManyInMaintenance as problem:
            return AdminResponse(503, str(problem))
        if not known:
            return AdminResponse(404, "nobody has this node")
        self.state.save(self.maintenance)
        return AdminResponse(200, "out" if out else "in use")
