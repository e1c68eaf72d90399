"""Which node is at an address where the list names several: a process that has gone is listed for a while beside the
one that came up at its address. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from paddlestep.interface import Entry

from ..settings.reader import Address


class AddressOwners:
    """`superseded`: ids of listed nodes at whose address a later one is."""

    def __init__(self) -> None:
        self.superseded: frozenset[str] = frozenset()
        self._order: dict[str, int] = {}  # node id -> in which order it was first listed
        self._last_order = 0

    def update(self, reported: Mapping[str, tuple[Entry, Address]]) -> frozenset[str]:
        """Takes over the whole list as it is now. Returns the ids whose place in `superseded` has changed. Of several
        nodes at an address the one that started last is there; of those that started at the same time, or long ago,
        the one that was listed last."""
        if len(self._order) > len(reported):
            self._order = {node_id: order for node_id, order in self._order.items() if node_id in reported}
        for node_id in reported:
            if node_id not in self._order:
                self._last_order += 1
                self._order[node_id] = self._last_order
        before, self.superseded = self.superseded, self._find_superseded(reported)
        return before ^ self.superseded

    def _find_superseded(self, reported: Mapping[str, tuple[Entry, Address]]) -> frozenset[str]:
        if len({address for _, address in reported.values()}) == len(reported):
            return frozenset()
        owners: dict[Address, str] = {}
        for node_id, (_, address) in reported.items():
            owner = owners.setdefault(address, node_id)
            if self._age(node_id, reported) > self._age(owner, reported):
                owners[address] = node_id
        return frozenset(node_id for node_id, (_, address) in reported.items() if owners[address] != node_id)

    def _age(self, node_id: str, reported: Mapping[str, tuple[Entry, Address]]) -> tuple[int, int]:
        return reported[node_id][0].since_us, self._order[node_id]
