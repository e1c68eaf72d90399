"""Named random streams derived from one seed; no other module of the lab creates random generators. Streams do
not depend on hash() or on the order of calls: a stream is the same in any process, whichever others were
created before it."""

from __future__ import annotations

import random


class RandomStreams:
    """All random numbers of one run. Creating a stream takes about 5 microseconds, cheap enough for one stream per
    order."""

    __slots__ = ("seed",)

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, *names: str | int) -> random.Random:
        """The stream of this name, from its beginning: equal seeds and names give equal numbers. 7 and "7" are the
        same name; ("a", "b") and ("a/b",) are different. Python seeds its Mersenne Twister with the SHA-512 of a
        text (`random.seed`, version 2), so the streams of similar names are unrelated."""
        return random.Random("\0".join(map(str, (self.seed, *names))))
