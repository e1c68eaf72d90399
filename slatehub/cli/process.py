"""Connects the hot restart and the operators' calls with the components of this process. During a hot restart two
processes serve as one proxy. This module is loaded only where a management address is set (`management.py`)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.maintenance import Maintenance
from ..discovery.node_list import NodeList
from ..fronts.http1.server import HttpServer
from ..handover.hot_restart import HotRestart, InheritedState
from ..handover.messages import SENT_IDS
from ..mgmt.operations import Operations
from ..mgmt.server import AdminServer
from ..mgmt.state import StateFile
from ..nodes.http1 import NodePool
from .peers import FleetLifecycle
from .promises import CopiesLifecycle

ResourceShares = Callable[[bool], tuple[int, int, int]]


class Process:
    """Carries out the steps of a hot restart and the operators' calls on the components of this process."""

    def __init__(
        self, resource_shares: ResourceShares, maintenance: Maintenance, node_list: NodeList, http_server: HttpServer,
        node_pool: NodePool, peers: FleetLifecycle, copies: CopiesLifecycle,
    ) -> None:  # fmt: skip
        self.resource_shares, self.peers, self.copies = resource_shares, peers, copies
        self.maintenance, self.node_list, self.http_server, self.node_pool = (
            maintenance,
            node_list,
            http_server,
            node_pool,
        )
        self.recent_requests = http_server.dispatcher.job_table.recent
        self.state = StateFile(http_server.config.name)
        self.hot_restart = HotRestart(http_server.config.name, http_server.config.listen, self)
        self.recent_requests.on_added = self.hot_restart.announce_sent_id
        self.operations = Operations(
            maintenance, self.state, node_list, http_server, self.hot_restart.forward_operation,
            peers.status, copies.status, copies.change_voters, copies.set_node_out,
        )  # fmt: skip
        self.operators = AdminServer(self.operations)
        self.apply_operation = self.operations.apply_operation

    def suspend(self) -> None:
        """Stops accepting, and leaves the folder of the copies and the name in the fleet to the successor."""
        self.http_server.suspend()
        self.copies.suspend()
        self.peers.suspend()

    def resume(self) -> None:
        """Serves again after the successor has ended."""
        self.http_server.resume()
        self.peers.serve()
        self.copies.serve()

    def inherit(self) -> InheritedState | None:
        """The state of the running predecessor process, else the state file of an earlier one."""
        inherited = self.hot_restart.connect_to_predecessor()
        saved = [inherited.state.get(key) for key in ("out", "back")] if inherited else []
        if inherited and all(isinstance(x, dict) for x in saved):
            self.maintenance.restore(*saved)  # type: ignore[arg-type]  # checked in the line before
        else:
            self.state.load(self.maintenance)
        if inherited and isinstance(ids := inherited.state.get(SENT_IDS), list):
            self.merge_sent_ids(ids)
        return inherited

    def take_over(self, inherited: InheritedState | None) -> None:
        """Finishes the takeover. Called when this process accepts connections."""
        if inherited and inherited.state.get("drained") is True:
            self.http_server.start_drain()
        self.hot_restart.announce_serving()

    def export_state(self) -> dict[str, Any]:
        """The state for the successor, as a JSON object."""
        return {
            "out": self.maintenance.started_at,
            "back": dict(self.maintenance.ended_at),
            "drained": self.http_server.drain.active,
            SENT_IDS: self.recent_requests.ids(),
        }

    def merge_sent_ids(self, request_ids: list[Any]) -> None:
        """Remembers the ids of requests that the other process has sent and that must not run twice."""
        self.recent_requests.merge(x for x in request_ids if isinstance(x, str))

    def get_listener(self, listen: Any) -> Any:
        """The callers' listener if it is bound to this address; else None."""
        is_current = (
            listen == list(self.http_server.config.listen)
            and self.http_server.started
            and self.http_server.listener.fileno() >= 0
        )
        return self.http_server.listener if is_current else None

    def set_shared(self, linked: bool) -> None:
        """Sets whether another process of this proxy is connected, which gets half of the resource limits."""
        callers, nodes, bytes_held = self.resource_shares(linked)
        self.http_server.apply_settings(self.http_server.config, callers, bytes_held, None)
        self.node_pool.apply_settings(self.http_server.config, nodes)
