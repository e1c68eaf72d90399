"""Reservations: a refused caller is advised a time in a slot ahead, and no slot gets more callers than can be
served in it. The scheduler decides how many reservations a slot may hold and who gets them; a reservation
that was made is never withdrawn.

Size of a slot: the estimated service rate times the length of the slot times `fill`, less the usual rate of
new requests (at most three quarters of it), and never less than about two reservations per second, for each
proxy or, where proxies are connected, for all of them together, so that the end of an outage is noticed. The
rate is this proxy's own, so proxies without a connection to each other each reserve their own part only.
Fractions of a reservation are distributed by Fibonacci hashing of the slot's number (D. Knuth, The Art of
Computer Programming 3, 6.4): each slot keeps its threshold while the rate moves, so that no slot is filled
twice by rounding, and the sums over many slots are exact.
"""

from __future__ import annotations

from math import ceil
from random import Random

from .config import ArrivalKind, RetryAdviceConfig
from .load_estimator import LoadEstimator, SharedKeyDetector
from .reservations import MAX_RESERVATIONS, ReservationTable

MIN_RESERVATIONS_PER_S = 2.0  # lower bound of the rate of reservations, which probes for the end of an outage
# Share of the service rate that is available to reservations however many new requests arrive.
MIN_RESERVATION_SHARE = 0.25
MIN_REMINDER_US = 50_000  # shortest wait advised to a caller that came early
# Reminders of one reservation. More mean a shared key or a caller that retries without waiting.
MAX_REMINDERS = 8
FIBONACCI_MULTIPLIER = 2_654_435_769  # 2^32 / golden ratio
KEPT_SHARE_WEIGHT = 1 / 32  # weight of one ended reservation in the share of those kept
INITIAL_KEPT_SHARE = 0.7  # share of reservations assumed to be kept before any has ended


class RetryScheduler:
    """`rng`: draws the offset of this proxy's slots and the waits of callers without a reservation."""

    def __init__(self, config: RetryAdviceConfig, rng: Random) -> None:
        self.config = config
        self.min_rate = MIN_RESERVATIONS_PER_S
        self.rng = rng
        self.load = LoadEstimator()
        self.shared_keys = SharedKeyDetector()
        self.reservations = ReservationTable(config, rng.randrange(config.slot_us))
        self.slot_salt = rng.getrandbits(32)
        self.node_slots = 0.0
        self.kept_share = INITIAL_KEPT_SHARE
        self.cursor = 0  # slots before this one have no room
        self.cursor_base = 0  # the first slot not yet begun when the cursor was reset

    def set_sibling_count(self, siblings: int) -> None:
        """Sets how many connected proxies make reservations for the same nodes, this one included."""
        self.min_rate = MIN_RESERVATIONS_PER_S / max(1, siblings)

    # ------------------------------------------------------------ callers

    def arrived(self, now: int, key: int) -> ArrivalKind:
        self._advance(now)
        kind = self._arrival_kind(key, now)
        new = kind in ("newcomer", "late")
        self.load.arrival(now, new)
        self.shared_keys.arrived(now, key, calm=new and self.load.is_calm())
        return kind

    def _arrival_kind(self, key: int, now: int) -> ArrivalKind:
        if self.reservations.redeem(key, now):
            return "kept"
        if self.shared_keys.shared(key):
            return "newcomer"  # the key does not show whose reservation is still to come
        if key in self.reservations.upcoming:
            return "early"
        return "late" if self.reservations.take_missed(key) else "newcomer"

    def refused(self, now: int, key: int) -> int:
        if not self.config.most_us:
            return 0
        self._advance(now)
        self.load.refused(now)
        self.shared_keys.refused(key)
        reservation = None if self.shared_keys.shared(key) else self.reservations.upcoming.get(key)
        if reservation is None:
            return self._reserve(now, key)
        reservation.times_advised += 1
        if reservation.times_advised > MAX_REMINDERS:
            return self._random_wait()
        return min(self.config.most_us, max(MIN_REMINDER_US, reservation.at - now))

    def _reserve(self, now: int, key: int) -> int:
        capacity = self.capacity()
        slot = self._find_free_slot(now, capacity) if self.reservations.count < MAX_RESERVATIONS else None
        if slot is None:
            return self._random_wait()
        size, taken = self._slot_size(slot, capacity), self.reservations.reserved_in(slot)
        # Evenly over the slot, so that the callers of a slot do not all come at one instant.
        at = self.reservations.slot_start(slot) + self.config.slot_us * (2 * taken + 1) // (2 * size)
        self.reservations.add(key, slot, at)
        return at - now

    def _random_wait(self) -> int:
        """A wait without a reservation: random in the last part of the longest advice, or in all of it where
        the service rate is not known: otherwise the nodes would idle until then, because so few reservations
        were made."""
        most = self.config.most_us
        part = (
            int(most * self.config.spread) if self.load.is_reliable() else max(0, most - self.config.least_us)
        )
        return most - int(part * self.rng.random())

    # ------------------------------------------------------------ slots

    def capacity(self) -> float:
        """Reservations that a slot may hold, on average."""
        rate = self.load.service_rate() * self.config.fill
        newcomers = self.load.baseline_arrival_rate()
        left = (
            rate * MIN_RESERVATION_SHARE
            if newcomers is None
            else max(rate - newcomers, rate * MIN_RESERVATION_SHARE)
        )
        return max(left, self.min_rate) * self.config.slot_us / 1e6

    def _slot_size(self, slot: int, capacity: float) -> int:
        return int(capacity + (slot + self.slot_salt) * FIBONACCI_MULTIPLIER % 2**32 / 2**32)

    def _find_free_slot(self, now: int, capacity: float) -> int | None:
        """The first slot with room, not before the jobs queued now are done. Full slots are skipped once per
        slot length: room that a higher rate or the end of a wait makes in between is found at the next
        reset."""
        first = self.reservations.first_slot(now + max(self.config.least_us, self._queue_wait_us()))
        if self.cursor_base != self.reservations.next_slot:
            self.cursor = self.cursor_base = self.reservations.next_slot or 0
        self.cursor = max(self.cursor, first)
        last = self.reservations.last_slot(now)
        while self.cursor <= last:
            if self.reservations.reserved_in(self.cursor) < self._slot_size(self.cursor, capacity):
                return self.cursor
            self.cursor += 1
        return None

    def _queue_wait_us(self) -> int:
        """Time until the queued jobs are done, at most half of the longest advice: in an outage the rate does
        not show when it will end, and some callers must be asked to return to find out."""
        half = self.config.most_us // 2
        drain = max(self.load.service_rate(), self.min_rate)
        return min(half, int(self.load.waiting / drain * 1e6))

    # ------------------------------------------------------------ backlog

    def served(self, now: int, jobs: int) -> None:
        self.load.served(now, jobs)

    def update_backlog(self, now: int, waiting: int, slots: float) -> None:
        self.load.set_waiting(now, waiting)
        self.node_slots = slots

    def reserved_slots(self, now: int) -> int:
        """Slots for reservations due within the early tolerance before or after now, scaled by the share of
        reservations that callers keep, and no more than can be served in that time or than there are
        slots."""
        self._advance(now)
        if not self.reservations.due_count:
            return 0
        servable = ceil(
            max(self.load.service_rate(), MIN_RESERVATIONS_PER_S) * 2 * self.config.early_us / 1e6
        )
        return min(int(self.reservations.due_count * self.kept_share + 0.5), servable, ceil(self.node_slots))

    def reservations_per_slot(self, now: int) -> list[int]:
        """The number of reservations in each slot from the next one to the last one that can be advised now."""
        self._advance(now)
        assert self.reservations.next_slot is not None
        return [
            self.reservations.reserved_in(slot)
            for slot in range(self.reservations.next_slot, self.reservations.last_slot(now) + 1)
        ]

    def _advance(self, now: int) -> None:
        self.load.advance(now)
        self.reservations.advance(now)
        if self.reservations.ended:
            for kept in self.reservations.take_results():
                self.kept_share += (kept - self.kept_share) * KEPT_SHARE_WEIGHT
