"""The table of reservations: when each caller is expected, and whether it came. It holds the ring of slots
and the tables by key, all of bounded size. How many reservations a slot may hold and who gets one is decided
by the retry scheduler.

A reservation is in the list of its slot until the slot begins. From then on reservations are ordered by time
and move from queue to queue: started, due, overdue, expired. Each is therefore touched a fixed number of
times, and a clock step costs no more than the number of reservations in the table.
"""

from __future__ import annotations

from collections import deque
from operator import attrgetter

from .config import RetryAdviceConfig

MAX_RESERVATIONS = 65_536  # reservations held at once
MISSED_RETENTION_US = 1_000_000  # how long a caller that missed its reservation is recognised as late
MAX_MISSED = 1_024  # missed reservations remembered at once


class Reservation:
    """The time at which the caller of a key is expected, in microseconds."""

    __slots__ = ("at", "kept", "key", "times_advised")

    def __init__(self, at: int, key: int) -> None:
        self.at = at
        self.key = key
        self.kept = False
        self.times_advised = 1  # how often its caller was advised of it


class ReservationTable:
    """`offset_us`: offset of this proxy's slots. Slots are numbered from time 0 of the clock."""

    def __init__(self, config: RetryAdviceConfig, offset_us: int) -> None:
        self.config = config
        self.offset_us = offset_us
        self.ring: list[list[Reservation]] = [[] for _ in range(config.most_us // config.slot_us + 2)]
        self.next_slot: int | None = None  # the first slot that has not begun
        self.started: deque[Reservation] = deque()
        self.due: deque[Reservation] = deque()
        self.overdue: deque[Reservation] = deque()
        self.count = 0  # reservations in the ring and in the queues
        self.due_count = 0  # reservations in `due` that are not kept yet
        self.upcoming: dict[int, Reservation] = {}  # by key, the last one made that is still to come
        self.active: dict[int, list[Reservation]] = {}  # by key, those that can be kept now, by time
        self.missed: dict[int, int] = {}  # key -> time of its missed reservation, in order of expiry
        self.ended: list[bool] = []  # whether each reservation that ended since `take_results` was kept

    # ------------------------------------------------------------ slots

    def slot_start(self, slot: int) -> int:
        """When the slot begins, in microseconds."""
        return slot * self.config.slot_us + self.offset_us

    def first_slot(self, at: int) -> int:
        """The first slot that starts at `at` or later and has not begun."""
        assert self.next_slot is not None
        return max(self.next_slot, -((self.offset_us - at) // self.config.slot_us))

    def last_slot(self, now: int) -> int:
        """The last slot that ends within the longest advice."""
        return (now + self.config.most_us - self.offset_us) // self.config.slot_us - 1

    def reserved_in(self, slot: int) -> int:
        """The number of reservations in a slot that has not begun."""
        return len(self.ring[slot % len(self.ring)])

    # ------------------------------------------------------------ time

    def advance(self, now: int) -> None:
        """Advances to `now`; must be called before anything else at this time."""
        config = self.config
        first_unbegun = (now + config.early_us - self.offset_us) // config.slot_us + 1
        if self.next_slot is None:
            self.next_slot = first_unbegun
        if first_unbegun > self.next_slot:
            for slot in range(self.next_slot, min(first_unbegun, self.next_slot + len(self.ring))):
                self._begin_slot(slot)
            self.next_slot = first_unbegun
        while self.started and self.started[0].at <= now + config.early_us:
            self._make_due(self.started.popleft())
        while self.due and self.due[0].at < now - config.early_us:
            reservation = self.due.popleft()
            self.due_count -= not reservation.kept
            self.overdue.append(reservation)
        while self.overdue and self.overdue[0].at < now - config.late_us:
            self._expire(self.overdue.popleft())
        if self.missed:
            self._clear_missed(now - config.late_us - MISSED_RETENTION_US)

    def _begin_slot(self, slot: int) -> None:
        reservations = self.ring[slot % len(self.ring)]
        if reservations:
            reservations.sort(key=attrgetter("at"))  # made at different rates they may be out of order
            self.started.extend(reservations)
            self.ring[slot % len(self.ring)] = []

    def _make_due(self, reservation: Reservation) -> None:
        if self.upcoming.get(reservation.key) is reservation:
            del self.upcoming[reservation.key]
        self.active.setdefault(reservation.key, []).append(reservation)
        self.due.append(reservation)
        self.due_count += 1

    def _expire(self, reservation: Reservation) -> None:
        self.count -= 1
        self.ended.append(reservation.kept)
        if reservation.kept:
            return
        # This is the earliest of its key, as all earlier ones are kept or expired.
        self._pop_earliest(reservation.key)
        self.missed.pop(reservation.key, None)
        self.missed[reservation.key] = reservation.at

    def _clear_missed(self, oldest: int) -> None:
        while self.missed:
            key = next(iter(self.missed))
            if self.missed[key] >= oldest and len(self.missed) <= MAX_MISSED:
                return
            del self.missed[key]

    # ------------------------------------------------------------ callers

    def add(self, key: int, slot: int, at: int) -> Reservation:
        """Adds a reservation to a slot that has not begun."""
        reservation = Reservation(at, key)
        self.ring[slot % len(self.ring)].append(reservation)
        self.upcoming[key] = reservation
        self.count += 1
        return reservation

    def redeem(self, key: int, now: int) -> bool:
        """Uses up the reservation that this key has now; returns whether there is one."""
        if key not in self.active:
            return False
        reservation = self._pop_earliest(key)
        reservation.kept = True
        self.due_count -= reservation.at >= now - self.config.early_us
        return True

    def _pop_earliest(self, key: int) -> Reservation:
        reservations = self.active[key]
        reservation = reservations.pop(0)
        if not reservations:
            del self.active[key]
        return reservation

    def take_missed(self, key: int) -> bool:
        """Whether the reservation of this key was missed; True only once."""
        return self.missed.pop(key, None) is not None

    def take_results(self) -> list[bool]:
        """Whether each reservation that ended since the last call was kept."""
        ended, self.ended = self.ended, []
        return ended
