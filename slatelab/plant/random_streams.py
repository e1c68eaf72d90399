"""Named random streams of one seed. This file owns the way from a seed and names to random numbers; nobody
else in the lab may make a generator of their own. It must never go by hash() or by the order of calls: a
stream is the same whichever others were drawn before it, in any process."""

from __future__ import annotations

import random


class RandomStreams:
    """All random numbers of one run. A stream costs some 5 microseconds to make, so that each order can have
    its own."""

    __slots__ = ("seed",)

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, *names: str | int) -> random.Random:
        """The stream of this name, from its beginning: equal seed and names give equal numbers. 7 and "7" are
        the same name; ("a", "b") and ("a/b",) are not. Seeded with text, Python's Mersenne Twister goes by
        its SHA-512 (`random.seed`, version 2), so neighbouring names have nothing in common."""
        return random.Random("\0".join(map(str, (self.seed, *names))))
