"""The module's numbers of nodes. Pure: the lab numbers nodes by it too. It must never give one node's number to another
while both are known."""

from __future__ import annotations

import hashlib


class EndpointNumbers:
    """The number of a node is a hash of its id: the same at every proxy, as the module deals the nodes out among its
    siblings in the order of these numbers, and for good, whatever address the node moves to. Two ids of one hash, which
    proxies may then number differently, get neighbours in the order in which they first came up. `idents` gets the id
    of each number."""

    def __init__(self, idents: dict[int, str]) -> None:
        self.idents = idents
        self._numbers: dict[str, int] = {}

    def number_of(self, ident: str) -> int:
        if ident not in self._numbers:
            number = int.from_bytes(hashlib.blake2b(ident.encode(), digest_size=6).digest(), "big") or 1
            while number in self.idents:
                number += 1
            self.idents[number] = ident
            self._numbers[ident] = number
        return self._numbers[ident]

    def forget(self, number: int) -> None:
        """A node that nobody has known for long: should its id come back, it gets the same number by its hash."""
        self._numbers.pop(self.idents.pop(number, ""), None)
