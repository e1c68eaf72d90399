"""The net between proxies, and what goes wrong on it. Pure: for each datagram it says when, how often and in which
shape it arrives. The model and the relay of the engine `live` ask the same machine. It must never look inside a
datagram."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random


@dataclass(slots=True)
class Weather:
    """What befalls each datagram on its way. Times in microseconds."""

    lost: float = 0.0
    twice: float = 0.0
    broken: float = 0.0  # a byte of it is another
    late: float = 0.0  # part of the datagrams that take `late_by` longer, and so overtake each other
    late_by: int = 0
    delay: int = 0  # for all of them


@dataclass(slots=True)
class PeerNet:
    """`delay`: one way without fault, drawn evenly up to twice this."""

    rng: Random
    delay: int = 200
    weather: Weather = field(default_factory=Weather)
    # By fault: ordered pairs that hear nothing.
    cut: dict[str, frozenset[tuple[str, str]]] = field(default_factory=dict)

    def sever(self, fault: str, froms: Iterable[str], tos: Iterable[str], both: bool = True) -> None:
        pairs = {(a, b) for a in froms for b in tos if a != b}
        self.cut[fault] = frozenset(pairs | ({(b, a) for a, b in pairs} if both else set()))

    def mend(self, fault: str) -> None:
        self.cut.pop(fault, None)

    def carry(self, sender: str, receiver: str, data: bytes) -> list[tuple[int, bytes]]:
        """So much later each copy arrives, and what it then is."""
        if any((sender, receiver) in pairs for pairs in self.cut.values()):
            return []
        weather, rng = self.weather, self.rng
        copies = 2 if weather.twice and rng.random() < weather.twice else 1
        return [self._copy(data) for _ in range(copies) if not (weather.lost and rng.random() < weather.lost)]

    def _copy(self, data: bytes) -> tuple[int, bytes]:
        weather, rng = self.weather, self.rng
        wait = int(self.delay * 2 * rng.random()) + weather.delay
        if weather.late and rng.random() < weather.late:
            wait += int(weather.late_by * rng.random())
        if weather.broken and data and rng.random() < weather.broken:
            at = rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ (1 + rng.randrange(255))]) + data[at + 1 :]
        return wait, data
