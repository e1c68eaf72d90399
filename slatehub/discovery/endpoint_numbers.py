"""Endpoint numbers, by which the balancer identifies nodes. Pure, and used by slatelab too. No two known nodes have the
same number."""

from __future__ import annotations

import hashlib


class EndpointNumbers:
    """Assigns each node a number that is a hash of its id. It is the same at every proxy, because the balancer divides
    the nodes among the proxies in the order of these numbers, and it does not change when the node moves to another
    address. If two ids have the same hash, the second to appear gets the next free number; proxies may then number
    them differently. `node_ids` is filled with the id of each number."""

    def __init__(self, node_ids: dict[int, str]) -> None:
        self.node_ids = node_ids
        self._numbers: dict[str, int] = {}

    def number_of(self, node_id: str) -> int:
        """Returns the number of a node id; assigns one to a new id."""
        if node_id not in self._numbers:
            number = int.from_bytes(hashlib.blake2b(node_id.encode(), digest_size=6).digest(), "big") or 1
            while number in self.node_ids:
                number += 1
            self.node_ids[number] = node_id
            self._numbers[node_id] = number
        return self._numbers[node_id]

    def forget(self, number: int) -> None:
        """Drops a node removed long ago. If its id comes back, it gets the same number by its hash."""
        self._numbers.pop(self.node_ids.pop(number, ""), None)
