"""Sealing and opening of the datagrams between proxies. Defines their form, authenticates them, and keeps the replay
windows. Opening never raises on input and never sends anything; the number of windows is bounded.

A datagram: version (1 byte), key id (4), sender's session (8), receiver's session as the sender knows it (8, 0: not
yet), sequence (8), body, tag (16, keyed BLAKE2b of all before it). The key is derived from the file's key, the fleet's
name and the tier, so that a datagram of another fleet or tier is rejected as forged. Each process draws a new random
session when it starts. A datagram that does not name the receiver's session may be a replay from the time of an earlier
process: it proves only that a holder of the key once wrote it, and its content is not trusted."""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

Key = tuple[bytes, bytes]  # key id, 4 bytes; secret
VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits the path MTU everywhere, so that it is not fragmented
HEADER = struct.Struct("!B4sQQQ")
TAG_BYTES = 16
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEADER.size - TAG_BYTES
REPLAY_WINDOW = 128  # sequence numbers behind the newest that are still accepted
MAX_SESSIONS = 4096  # sessions whose replay windows are kept
PERSONALIZATION = b"slatehub-fleet-1"


@dataclass(frozen=True, slots=True)
class Opened:
    """The content of an authentic datagram."""

    session: int  # session of the sender
    is_current_session: bool  # names the receiver's session: sent to this very process
    body: bytes


class ReplayWindow:
    """The sequence numbers of one session that have been received."""

    __slots__ = ("bits", "last")

    def __init__(self) -> None:
        self.last = self.bits = 0

    def accept(self, sequence: int) -> bool:
        """Whether the number is new; records it. One older than the window counts as received."""
        ahead = sequence - self.last
        if ahead > 0:
            self.bits = (self.bits << min(ahead, REPLAY_WINDOW) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.last = sequence
            return True
        if ahead <= -REPLAY_WINDOW or self.bits >> -ahead & 1:
            return False
        self.bits |= 1 << -ahead
        return True


class DatagramSealer:
    """Seals and opens the datagrams of one process. `counts`: dropped datagrams by reason."""

    def __init__(self, keys: Sequence[Key], fleet: str, tier: int, session: int) -> None:
        self.session = session
        self.sequence = 0
        self.windows: OrderedDict[int, ReplayWindow] = OrderedDict()
        self.counts = dict.fromkeys(("oversize", "short", "version", "key", "forged", "replay", "own"), 0)
        self.fleet, self.tier = fleet, tier
        self.rekey(keys)

    def rekey(self, keys: Sequence[Key]) -> None:
        """Replaces the keys: the first one signs, all are accepted."""
        scope = f"{self.fleet}\0{self.tier}".encode()
        derived = {
            key_id: blake2b(scope, key=secret, digest_size=32, person=PERSONALIZATION).digest()
            for key_id, secret in keys
        }
        self.hashes = {
            key_id: blake2b(key=derived_key, digest_size=TAG_BYTES, person=PERSONALIZATION)
            for key_id, derived_key in derived.items()
        }
        self.signing_key_id = keys[0][0]

    def _tag(self, key_id: bytes, data: bytes) -> bytes:
        hashed = self.hashes[key_id].copy()
        hashed.update(data)
        return hashed.digest()

    def seal(self, body: bytes, to: int) -> bytes:
        """The datagram to the receiver with session `to`. Raises ValueError if the body is too long, which is a bug of
        the caller."""
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"a body of {len(body)} bytes, {MAX_BODY_BYTES} at most")
        self.sequence += 1
        data = HEADER.pack(VERSION, self.signing_key_id, self.session, to, self.sequence) + body
        return data + self._tag(self.signing_key_id, data)

    def open(self, data: bytes) -> Opened | None:
        """Opens an authentic, new datagram; otherwise counts the reason and returns None."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return self._drop("oversize")
        if len(data) < HEADER.size + TAG_BYTES:
            return self._drop("short")
        version, key_id, session, to, sequence = HEADER.unpack_from(data)
        if version != VERSION:
            return self._drop("version")
        if key_id not in self.hashes:
            return self._drop("key")
        if not compare_digest(self._tag(key_id, data[:-TAG_BYTES]), data[-TAG_BYTES:]):
            return self._drop("forged")
        if session == self.session:
            return self._drop("own")  # a datagram of this process, sent back to it
        if not self._replay_window(session).accept(sequence):
            return self._drop("replay")
        return Opened(session, to == self.session, data[HEADER.size : -TAG_BYTES])

    def _replay_window(self, session: int) -> ReplayWindow:
        window = self.windows.get(session)
        if window is None:
            window = self.windows[session] = ReplayWindow()
            if len(self.windows) > MAX_SESSIONS:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end(session)
        return window

    def _drop(self, why: str) -> Opened | None:
        self.counts[why] += 1
        return None
