"""The effect of each operator's call on this proxy. A change is first applied, then stored for the next process, and
only then confirmed; it is never confirmed while it may still be lost."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from ..decisions.maintenance import Maintenance, TooManyInMaintenance
from .routes import COPIES, FAIL, FLEET, HEALTH, MAINT, OK, READY, VOTERS, AdminRequest, AdminResponse
from .state import StateFile


class NodeMaintenance(Protocol):
    """The nodes, as far as maintenance concerns them."""

    def start_maintenance(self, ident: str) -> bool: ...

    def end_maintenance(self, ident: str) -> bool: ...

    def start_maintenance_unlisted(self, ident: str) -> None: ...

    def is_known(self, ident: str) -> bool: ...


class ClientListener(Protocol):
    """The listener for callers, which can be drained."""

    @property
    def serving(self) -> bool: ...

    def start_drain(self) -> None: ...

    def end_drain(self) -> None: ...


class Operations:
    """Carries out calls; a call is done when its response is returned.

    `forward`: forwards a call to the other process of this proxy, if there is one, and returns whether that has applied
    it. `fleet_status`, `copies_status`: the status of the fleet and of the voter group, None if there is none.
    `change_voters`: starts a change of the voters; returns None without a group, an empty text if it has begun, else
    the reason against it. `propose_maintenance`: has a majority store a node's maintenance; None or the reason why it
    failed."""

    def __init__(
        self, maintenance: Maintenance, state: StateFile, nodes: NodeMaintenance, client_listener: ClientListener,
        forward: Callable[[dict[str, Any]], bool],
        fleet_status: Callable[[], dict[str, Any] | None] = lambda: None,
        copies_status: Callable[[], dict[str, Any] | None] = lambda: None,
        change_voters: Callable[[str, str, str], str | None] = lambda what, name, new: None,
        propose_maintenance: Callable[[str, bool], str | None] = lambda ident, starting: None,
    ) -> None:  # fmt: skip
        self.fleet_status, self.copies_status, self.change_voters, self.propose_maintenance = (
            fleet_status,
            copies_status,
            change_voters,
            propose_maintenance,
        )
        self.maintenance, self.state, self.nodes, self.client_listener, self.forward = (
            maintenance,
            state,
            nodes,
            client_listener,
            forward,
        )

    def __call__(self, call: AdminRequest) -> AdminResponse:
        """Carries out a call and returns the response to it."""
        if call.operation == HEALTH:
            return (
                AdminResponse(200, "serving")
                if self.client_listener.serving
                else AdminResponse(503, "not serving")
            )
        if call.operation == FLEET:
            status = self.fleet_status()
            return (
                AdminResponse(404, "not in a fleet")
                if status is None
                else AdminResponse(200, json.dumps(status))
            )
        if call.operation == COPIES:
            status = self.copies_status()
            return (
                AdminResponse(404, "in no group")
                if status is None
                else AdminResponse(200, json.dumps(status))
            )
        if call.operation == VOTERS:
            reason = self.change_voters(call.action, call.subject, call.replacement)
            return (
                AdminResponse(404, "in no group")
                if reason is None
                else AdminResponse(409, reason)
                if reason
                else AdminResponse(200, "begun")
            )
        response = self._apply_fleetwide(call) or self._apply_locally(call)
        if response.status < 300 and not self.forward({"call": call.operation, "ident": call.subject}):
            return AdminResponse(503, "done here, but the other process has not answered")
        return response

    def _apply_fleetwide(self, call: AdminRequest) -> AdminResponse | None:
        """Where maintenance is shared by the fleet, a majority stores it first. Returns an error response, or None if
        the call is to be applied locally too."""
        if call.operation not in (MAINT, READY) or not (
            call.operation == READY or self.nodes.is_known(call.subject)
        ):
            return None
        reason = self.propose_maintenance(call.subject, call.operation == MAINT)
        return AdminResponse(503, reason) if reason else None

    def apply_operation(self, message: dict[str, Any]) -> int:
        """Applies a call that the other process received; returns the HTTP status."""
        name, ident = message.get("call"), message.get("ident")
        if name not in (MAINT, READY, FAIL, OK) or not isinstance(ident, str):
            return 400
        if name == MAINT:
            # So far only the other process may have the node in its list.
            self.nodes.start_maintenance_unlisted(ident)
        return self._apply_locally(AdminRequest(name, ident)).status

    def _apply_locally(self, call: AdminRequest) -> AdminResponse:
        if call.operation == FAIL:
            self.client_listener.start_drain()
            return AdminResponse(200, "drained")
        if call.operation == OK:
            self.client_listener.end_drain()
            return AdminResponse(200, "takes clients")
        return self._apply_to_node(call)

    def _apply_to_node(self, call: AdminRequest) -> AdminResponse:
        starting = call.operation == MAINT
        try:
            known = (
                self.nodes.start_maintenance(call.subject)
                if starting
                else self.nodes.end_maintenance(call.subject)
            )
        except TooManyInMaintenance as problem:
            return AdminResponse(503, str(problem))
        if not known:
            return AdminResponse(404, "nobody has this node")
        self.state.save(self.maintenance)
        return AdminResponse(200, "out" if starting else "in use")
