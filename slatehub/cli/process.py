"""This process as one of two that are one proxy, and what operators call it for: what the handover and the calls mean
to the parts of the program. It must never be loaded where no operators' address is named (`management.py`)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..decisions.maintenance import Maintenance
from ..discovery.node_list import NodeList
from ..fronts.http1.server import HttpServer
from ..handover.hot_restart import HotRestart, InheritedState
from ..mgmt.operations import Operations
from ..mgmt.server import AdminServer
from ..mgmt.state import StateFile
from ..nodes.http1 import NodePool
from .peers import Peers
from .promises import Promises

Shares = Callable[[bool], tuple[int, int, int]]


class Process:
    """This process as one of two that are one proxy; what the handover and the operators' calls mean to its parts."""

    def __init__(
        self, shares: Shares, by_hand: Maintenance, listing: NodeList, hall: HttpServer, room: NodePool, peers: Peers,
        promises: Promises,
    ) -> None:  # fmt: skip
        self.shares, self.peers, self.promises = shares, peers, promises
        self.maintenance, self.node_list, self.http_server, self.node_pool = by_hand, listing, hall, room
        self.state = StateFile(hall.config.name)
        self.hot_restart = HotRestart(hall.config.name, hall.config.listen, self)
        self.operations = Operations(by_hand, self.state, listing, hall, self.hot_restart.forward_operation,
                                     peers.status, promises.status, promises.change, promises.node)  # fmt: skip
        self.operators = AdminServer(self.operations)
        self.apply_operation = self.operations.apply_operation

    def suspend(self) -> None:
        self.http_server.suspend()
        self.promises.rest()
        self.peers.rest()

    def resume(self) -> None:
        self.http_server.resume()
        self.peers.serve()
        self.promises.serve()

    def inherit(self) -> InheritedState | None:
        """What the process that is there holds, else what an earlier one left."""
        estate = self.hot_restart.connect_to_predecessor()
        held = [estate.state.get(key) for key in ("out", "back")] if estate else []
        if estate and all(isinstance(x, dict) for x in held):
            self.maintenance.restore(*held)  # type: ignore[arg-type]  # looked at in the line before
        else:
            self.state.load(self.maintenance)
        return estate

    def take_over(self, estate: InheritedState | None) -> None:
        """The door is open here."""
        if estate and estate.state.get("drained") is True:
            self.http_server.start_drain()
        self.hot_restart.announce_serving()

    def export_state(self) -> dict[str, Any]:
        return {
            "out": self.maintenance.started_at,
            "back": dict(self.maintenance.ended_at),
            "drained": self.http_server.drain.active,
        }

    def get_listener(self, listen: Any) -> Any:
        same = (
            listen == list(self.http_server.config.listen)
            and self.http_server.started
            and self.http_server.listener.fileno() >= 0
        )
        return self.http_server.listener if same else None

    def set_shared(self, linked: bool) -> None:
        callers, nodes, bytes_held = self.shares(linked)
        self.http_server.apply_settings(self.http_server.config, callers, bytes_held, None)
        self.node_pool.apply_settings(self.http_server.config, nodes)
