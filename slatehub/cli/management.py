"""The operators' address and the process beside this one: their place in the program. It owns whether there is a
`Process`. It must never load one that is not wanted: most of a fleet's processes start without."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..decisions.maintenance import Maintenance
from ..discovery.node_list import NodeList
from ..fronts.http1.server import HttpServer
from ..nodes.http1 import NodePool
from .peers import Peers
from .promises import Promises

if TYPE_CHECKING:
    from ..handover.hot_restart import InheritedState
    from .process import Process, Shares


class Management:
    def __init__(
        self, shares: Shares, by_hand: Maintenance, listing: NodeList, hall: HttpServer, room: NodePool, peers: Peers,
        promises: Promises,
    ) -> None:  # fmt: skip
        self.parts = (shares, by_hand, listing, hall, room, peers, promises)
        self.process: Process | None = None
        promises.do = lambda tree: self._wanted().apply_operation(tree)
        promises.out_here = by_hand.started_at

    def _wanted(self) -> Process:
        if not self.process:
            from .process import Process

            self.process = Process(*self.parts)
        return self.process

    @property
    def linked(self) -> bool:
        """Whether another process of this proxy lives."""
        return self.process is not None and self.process.hot_restart.is_connected

    def inherit(self) -> InheritedState | None:
        return self._wanted().inherit()

    def take_over(self, estate: InheritedState | None) -> None:
        self._wanted().take_over(estate)

    def open(self, listener: Any) -> None:
        """Operators call here from now on; None: nowhere."""
        if listener or self.process:
            self._wanted().operators.open(listener)
