"""Appointments: a refused caller gets a place in the time ahead, and no more of them than can be served then.
This file owns how many a slot may hold and who gets which; it must never take back what was promised.

What a slot may hold: the measured drain rate x the slot's length x `fill`, less what newcomers take on a
usual day (at most three quarters of it), and never less than some two a second, of each proxy or, where they
know of each other, of all together, so that somebody finds out when an outage is over. The rate is this proxy's
own, so proxies that share nothing each give away their part only. Parts of a place are dealt out by Fibonacci
hashing of the slot's number (D. Knuth, The Art of Computer Programming 3, 6.4): each slot keeps its threshold
while the rate moves, so that no slot is filled twice by rounding, and the sums over many slots are true."""

from __future__ import annotations

from math import ceil
from random import Random

from .crowd import Alike, Crowd
from .reservations import MAX_RESERVATIONS, Diary
from .terms import Coming, RetryAdviceConfig

FLOOR_PER_S = 2.0  # appointments given at the least, to probe
RESERVED = 0.25  # share of what can be promised that newcomers do not take away from appointments
AGAIN_US = 50_000  # the shortest wait that is said to one who came early
PATIENCE = 8  # callers are told of one appointment so often; more are many behind one key, or one who hammers
GOLDEN = 2_654_435_769  # 2^32 / golden ratio
SHOWN = 1 / 32  # weight of an appointment that is over in the share of those kept
SHOWN_AT_FIRST = 0.7


class RetryScheduler:
    """`rng`: shifts the slots of this proxy, and spreads those who get no appointment."""

    def __init__(self, terms: RetryAdviceConfig, rng: Random) -> None:
        self.terms = terms
        self.floor = FLOOR_PER_S
        self.rng = rng
        self.load = Crowd()
        self.shared_keys = Alike()
        self.reservations = Diary(terms, rng.randrange(terms.slot_us))
        self.salt = rng.getrandbits(32)
        self.slots = 0.0
        self.shown = SHOWN_AT_FIRST
        self.cursor = 0  # slots before this one have no room
        self.cursor_for = 0  # the first slot not begun when the cursor was set back

    def set_sibling_count(self, siblings: int) -> None:
        """So many give appointments for the same nodes, this one included, as far as they tell each other."""
        self.floor = FLOOR_PER_S / max(1, siblings)

    # ------------------------------------------------------------ callers

    def arrived(self, now: int, key: int) -> Coming:
        self._advance(now)
        coming = self._coming(key, now)
        new = coming in ("newcomer", "late")
        self.load.came(now, new)
        self.shared_keys.arrived(now, key, calm=new and self.load.calm())
        return coming

    def _coming(self, key: int, now: int) -> Coming:
        if self.reservations.keep(key, now):
            return "kept"
        if self.shared_keys.shared(key):
            return "newcomer"  # nobody can tell whose appointment is still to come
        if key in self.reservations.upcoming:
            return "early"
        return "late" if self.reservations.late(key) else "newcomer"

    def refused(self, now: int, key: int) -> int:
        if not self.terms.most_us:
            return 0
        self._advance(now)
        self.load.refused(now)
        self.shared_keys.refused(key)
        one = None if self.shared_keys.shared(key) else self.reservations.upcoming.get(key)
        if one is None:
            return self._given(now, key)
        one.told += 1
        if one.told > PATIENCE:
            return self._later()
        return min(self.terms.most_us, max(AGAIN_US, one.at - now))

    def _given(self, now: int, key: int) -> int:
        capacity = self.capacity()
        slot = self._free(now, capacity) if self.reservations.count < MAX_RESERVATIONS else None
        if slot is None:
            return self._later()
        places, taken = self._places(slot, capacity), self.reservations.taken(slot)
        # Evenly over the slot: guards against all of a slot coming at one instant.
        at = self.reservations.start(slot) + self.terms.slot_us * (2 * taken + 1) // (2 * places)
        self.reservations.give(key, slot, at)
        return at - now

    def _later(self) -> int:
        """No appointment: by chance in the last part of the longest advice. In all of it where the rate is
        not known: guards against a plant that idles until then because so little was promised."""
        most = self.terms.most_us
        part = (
            int(most * self.terms.spread) if self.load.is_reliable() else max(0, most - self.terms.least_us)
        )
        return most - int(part * self.rng.random())

    # ------------------------------------------------------------ slots

    def capacity(self) -> float:
        """Appointments that a slot may hold."""
        rate = self.load.service_rate() * self.terms.fill
        newcomers = self.load.baseline_arrival_rate()
        left = rate * RESERVED if newcomers is None else max(rate - newcomers, rate * RESERVED)
        return max(left, self.floor) * self.terms.slot_us / 1e6

    def _places(self, slot: int, capacity: float) -> int:
        return int(capacity + (slot + self.salt) * GOLDEN % 2**32 / 2**32)

    def _free(self, now: int, capacity: float) -> int | None:
        """The first slot with room, not before the jobs that wait now are done. Full slots are passed once in
        the time of a slot: what the rate, or the end of the wait, makes free in between is found with the
        next one."""
        first = self.reservations.first(now + max(self.terms.least_us, self._wait_us()))
        if self.cursor_for != self.reservations.next_slot:
            self.cursor = self.cursor_for = self.reservations.next_slot or 0
        self.cursor = max(self.cursor, first)
        last = self.reservations.last(now)
        while self.cursor <= last:
            if self.reservations.taken(self.cursor) < self._places(self.cursor, capacity):
                return self.cursor
            self.cursor += 1
        return None

    def _wait_us(self) -> int:
        """Until the jobs that wait are done. Half of the longest advice at most: in an outage the rate says
        little of when it ends, and somebody must be asked to come and see."""
        half = self.terms.most_us // 2
        drain = max(self.load.service_rate(), self.floor)
        return min(half, int(self.load.waiting / drain * 1e6))

    # ------------------------------------------------------------ the desk's turn

    def served(self, now: int, served: int) -> None:
        self.load.served(now, served)

    def update_backlog(self, now: int, waiting: int, slots: float) -> None:
        self.load.held(now, waiting)
        self.slots = slots

    def reserved_slots(self, now: int) -> int:
        """Those due within the early tolerance before or after now, as far as callers keep what they are
        told, no more than can be served in that time or than there are places."""
        self._advance(now)
        if not self.reservations.due_count:
            return 0
        servable = ceil(max(self.load.service_rate(), FLOOR_PER_S) * 2 * self.terms.early_us / 1e6)
        return min(int(self.reservations.due_count * self.shown + 0.5), servable, ceil(self.slots))

    def reservations_per_slot(self, now: int) -> list[int]:
        self._advance(now)
        assert self.reservations.next_slot is not None
        return [
            self.reservations.taken(slot)
            for slot in range(self.reservations.next_slot, self.reservations.last(now) + 1)
        ]

    def _advance(self, now: int) -> None:
        self.load.advance(now)
        self.reservations.advance(now)
        if self.reservations.ended:
            for kept in self.reservations.results():
                self.shown += (kept - self.shown) * SHOWN
