"""The net between proxies, and what goes wrong on it. Pure: for each datagram it says when, how often and in which
shape it arrives. The model and the relay of the engine `live` ask the same machine. It must never look inside a
datagram."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class DatagramFaults:
    """What befalls each datagram on its way. Times in microseconds."""

    loss: float = 0.0
    duplication: float = 0.0
    corruption: float = 0.0  # a byte of it is another
    reordering: float = (
        0.0  # part of the datagrams that take `reordering_delay` longer, and so overtake each other
    )
    reordering_delay: int = 0
    delay: int = 0  # for all of them


@dataclass(slots=True)
class PeerNetwork:
    """`delay`: one way without fault, drawn evenly up to twice this."""

    rng: Random
    delay: int = 200
    faults: DatagramFaults = field(default_factory=DatagramFaults)
    # By fault: ordered pairs that hear nothing.
    partitions: dict[str, frozenset[tuple[str, str]]] = field(default_factory=dict)

    def partition(
        self, fault: str, senders: Iterable[str], receivers: Iterable[str], both: bool = True
    ) -> None:
        pairs = {(a, b) for a in senders for b in receivers if a != b}
        self.partitions[fault] = frozenset(pairs | ({(b, a) for a, b in pairs} if both else set()))

    def heal(self, fault: str) -> None:
        self.partitions.pop(fault, None)

    def deliveries(self, sender: str, receiver: str, data: bytes) -> list[tuple[int, bytes]]:
        """So much later each copy arrives, and what it then is."""
        if any((sender, receiver) in pairs for pairs in self.partitions.values()):
            return []
        faults, rng = self.faults, self.rng
        copies = 2 if faults.duplication and rng.random() < faults.duplication else 1
        return [self._copy(data) for _ in range(copies) if not (faults.loss and rng.random() < faults.loss)]

    def _copy(self, data: bytes) -> tuple[int, bytes]:
        faults, rng = self.faults, self.rng
        wait = int(self.delay * 2 * rng.random()) + faults.delay
        if faults.reordering and rng.random() < faults.reordering:
            wait += int(faults.reordering_delay * rng.random())
        if faults.corruption and data and rng.random() < faults.corruption:
            at = rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ (1 + rng.randrange(255))]) + data[at + 1 :]
        return wait, data
