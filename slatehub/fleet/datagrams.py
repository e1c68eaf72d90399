"""Datagrams between proxies, sealed and opened. Pure but for the hash. It owns their form, who is believed, and the
windows against replay. It must never raise on what comes in, never answer, and never keep more than its bound.

A datagram: version (1 byte), key id (4), sender's session (8), receiver's session as the sender knows it (8, 0: not
yet), sequence (8), body, tag (16, keyed BLAKE2b of all before it). The key is derived from the file's key, the fleet's
name and the tier, so that a datagram of another fleet or tier is as good as forged. A session is drawn anew with each
start. What does not name our session may be a record of an earlier life: it is a hello, and nothing in it is believed
but that somebody with the key once wrote it."""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest

Key = tuple[bytes, bytes]  # its id, 4 bytes; the secret
VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # bytes of a datagram: passes every path without being cut up
HEAD = struct.Struct("!B4sQQQ")
TAG = 16
MAX_BODY_BYTES = MAX_DATAGRAM_BYTES - HEAD.size - TAG  # for a body
REPLAY_WINDOW = 128  # sequences back from the newest that are still taken
SESSIONS = 4096  # whose windows are kept
PERSON = b"slatehub-fleet-1"


@dataclass(frozen=True, slots=True)
class Opened:
    session: int  # the sender's
    is_current_session: bool  # names our session: written in our lifetime, for us
    body: bytes


class ReplayWindow:
    """Which sequences of one session have come."""

    __slots__ = ("bits", "last")

    def __init__(self) -> None:
        self.last = self.bits = 0

    def accept(self, sequence: int) -> bool:
        """Whether it is new. One older than the window counts as seen."""
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
    """One process's end of the link. `counts`: what was dropped, by reason."""

    def __init__(self, keys: Sequence[Key], fleet: str, tier: int, session: int) -> None:
        self.session = session
        self.sequence = 0
        self.windows: OrderedDict[int, ReplayWindow] = OrderedDict()
        self.counts = dict.fromkeys(("oversize", "short", "version", "key", "forged", "replay", "own"), 0)
        self.fleet, self.tier = fleet, tier
        self.rekey(keys)

    def rekey(self, keys: Sequence[Key]) -> None:
        """The first signs; all are valid."""
        scope = f"{self.fleet}\0{self.tier}".encode()
        derived = {
            ident: blake2b(scope, key=secret, digest_size=32, person=PERSON).digest()
            for ident, secret in keys
        }
        self.hashes = {
            ident: blake2b(key=own, digest_size=TAG, person=PERSON) for ident, own in derived.items()
        }
        self.ident = keys[0][0]

    def _tag(self, ident: bytes, data: bytes) -> bytes:
        hashed = self.hashes[ident].copy()
        hashed.update(data)
        return hashed.digest()

    def seal(self, body: bytes, to: int) -> bytes:
        """The datagram for a receiver of this session. ValueError where the body is too long: a fault of ours."""
        if len(body) > MAX_BODY_BYTES:
            raise ValueError(f"a body of {len(body)} bytes, {MAX_BODY_BYTES} at most")
        self.sequence += 1
        data = HEAD.pack(VERSION, self.ident, self.session, to, self.sequence) + body
        return data + self._tag(self.ident, data)

    def open(self, data: bytes) -> Opened | None:
        """What came, if it may be listened to; None and a count otherwise."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return self._drop("oversize")
        if len(data) < HEAD.size + TAG:
            return self._drop("short")
        version, ident, session, to, sequence = HEAD.unpack_from(data)
        if version != VERSION:
            return self._drop("version")
        if ident not in self.hashes:
            return self._drop("key")
        if not compare_digest(self._tag(ident, data[:-TAG]), data[-TAG:]):
            return self._drop("forged")
        if session == self.session:
            return self._drop("own")  # sent back to us
        if not self._window(session).accept(sequence):
            return self._drop("replay")
        return Opened(session, to == self.session, data[HEAD.size : -TAG])

    def _window(self, session: int) -> ReplayWindow:
        window = self.windows.get(session)
        if window is None:
            window = self.windows[session] = ReplayWindow()
            if len(self.windows) > SESSIONS:
                self.windows.popitem(last=False)
        else:
            self.windows.move_to_end(session)
        return window

    def _drop(self, why: str) -> Opened | None:
        self.counts[why] += 1
        return None
