"""The network between proxies and its faults. Pure: for each datagram it returns when, how often and in which
form it arrives. Used by both the model and the relay of the live engine. The content of datagrams is not
examined."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class DatagramFaults:
    """Faults applied to each datagram. Probabilities, and times in microseconds."""

    loss: float = 0.0
    duplication: float = 0.0
    corruption: float = 0.0  # one byte is changed
    reordering: float = (
        0.0  # share of the datagrams that take `reordering_delay` longer, and so arrive out of order
    )
    reordering_delay: int = 0
    delay: int = 0  # added to every datagram


@dataclass(slots=True)
class PeerNetwork:
    """`delay`: mean one-way delay without faults; drawn uniformly from 0 to twice this value."""

    rng: Random
    delay: int = 200
    faults: DatagramFaults = field(default_factory=DatagramFaults)
    # By fault: ordered pairs (sender, receiver) whose datagrams are dropped.
    partitions: dict[str, frozenset[tuple[str, str]]] = field(default_factory=dict)

    def partition(
        self, fault: str, senders: Iterable[str], receivers: Iterable[str], both: bool = True
    ) -> None:
        pairs = {(a, b) for a in senders for b in receivers if a != b}
        self.partitions[fault] = frozenset(pairs | ({(b, a) for a, b in pairs} if both else set()))

    def heal(self, fault: str) -> None:
        self.partitions.pop(fault, None)

    def deliveries(self, sender: str, receiver: str, data: bytes) -> list[tuple[int, bytes]]:
        """Returns, for each copy that arrives, its delay and its content."""
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
