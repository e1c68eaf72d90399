"""The operators' address and the hot restart. Creates the `Process` only when it is needed, as most of a fleet's
processes run without a management address."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..decisions.maintenance import Maintenance
from ..discovery.node_list import NodeList
from ..fronts.http1.server import HttpServer
from ..nodes.http1 import NodePool
from .peers import FleetLifecycle
from .promises import CopiesLifecycle

if TYPE_CHECKING:
    from ..handover.hot_restart import InheritedState
    from .process import Process, ResourceShares


class Management:
    """Loads `Process` on first use and forwards to it."""

    def __init__(
        self, resource_shares: ResourceShares, maintenance: Maintenance, node_list: NodeList, http_server: HttpServer,
        node_pool: NodePool, peers: FleetLifecycle, copies: CopiesLifecycle,
    ) -> None:  # fmt: skip
        self.parts = (resource_shares, maintenance, node_list, http_server, node_pool, peers, copies)
        self.process: Process | None = None
        copies.apply_locally = lambda tree: self._load_process().apply_operation(tree)
        copies.nodes_out_locally = maintenance.started_at

    def _load_process(self) -> Process:
        if not self.process:
            from .process import Process

            self.process = Process(*self.parts)
        return self.process

    @property
    def shared_with_process(self) -> bool:
        """Whether another process of this proxy is running and connected."""
        return self.process is not None and self.process.hot_restart.is_connected

    def inherit(self) -> InheritedState | None:
        """See `Process.inherit`."""
        return self._load_process().inherit()

    def take_over(self, inherited: InheritedState | None) -> None:
        """See `Process.take_over`."""
        self._load_process().take_over(inherited)

    def open(self, listener: Any) -> None:
        """Accepts operators' calls at `listener` from now on; None: at no address."""
        if listener or self.process:
            self._load_process().operators.open(listener)
