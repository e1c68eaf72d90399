"""The diary of appointments: who is to come when, who kept it, who did not. This file owns the ring of slots
and the tables by key, all bounded; it must never decide how many a slot may hold or who gets an appointment.

An appointment lies in the list of its slot until the slot begins. From then on appointments stand in the
order of their times and pass from queue to queue: coming, due, overdue, forgotten. So each is touched a fixed
number of times, and a step of the clock costs no more than what is in the diary."""

from __future__ import annotations

from collections import deque
from operator import attrgetter

from .terms import RetryAdviceConfig

MAX_RESERVATIONS = 65_536  # appointments that are held at once
MISSED_RETENTION_US = 1_000_000  # who missed an appointment is known as late for so long
MAX_MISSED = 1_024  # of them, at once


class Appointment:
    __slots__ = ("at", "kept", "key", "told")

    def __init__(self, at: int, key: int) -> None:
        self.at = at
        self.key = key
        self.kept = False
        self.told = 1  # how often its caller has heard of it


class Diary:
    """`phase`: microseconds by which the slots of this proxy are shifted. Slots are numbered from the clock's
    zero."""

    def __init__(self, terms: RetryAdviceConfig, phase: int) -> None:
        self.terms = terms
        self.phase = phase
        self.ring: list[list[Appointment]] = [[] for _ in range(terms.most_us // terms.slot_us + 2)]
        self.next_slot: int | None = None  # the first slot that has not begun
        self.coming: deque[Appointment] = deque()
        self.due: deque[Appointment] = deque()
        self.overdue: deque[Appointment] = deque()
        self.count = 0  # appointments in the ring and in the queues
        self.due_count = 0  # of those due, the ones not kept yet
        self.upcoming: dict[int, Appointment] = {}  # by key, the last one given that is still to come
        self.active: dict[int, list[Appointment]] = {}  # by key, those that can be kept now, by their times
        self.missed: dict[int, int] = {}  # key -> time of an appointment that nobody kept, by the time
        self.ended: list[bool] = []  # appointments that are over since `results`: kept or not

    # ------------------------------------------------------------ slots

    def start(self, slot: int) -> int:
        return slot * self.terms.slot_us + self.phase

    def first(self, at: int) -> int:
        """The first slot that starts at `at` or later and has not begun."""
        assert self.next_slot is not None
        return max(self.next_slot, -((self.phase - at) // self.terms.slot_us))

    def last(self, now: int) -> int:
        """The last slot that is over by the longest advice."""
        return (now + self.terms.most_us - self.phase) // self.terms.slot_us - 1

    def taken(self, slot: int) -> int:
        return len(self.ring[slot % len(self.ring)])

    # ------------------------------------------------------------ time

    def advance(self, now: int) -> None:
        """Time has passed; to be called before anything else at this time."""
        terms = self.terms
        begun = (now + terms.early_us - self.phase) // terms.slot_us + 1
        if self.next_slot is None:
            self.next_slot = begun
        if begun > self.next_slot:
            for slot in range(self.next_slot, min(begun, self.next_slot + len(self.ring))):
                self._begin(slot)
            self.next_slot = begun
        while self.coming and self.coming[0].at <= now + terms.early_us:
            self._fall_due(self.coming.popleft())
        while self.due and self.due[0].at < now - terms.early_us:
            one = self.due.popleft()
            self.due_count -= not one.kept
            self.overdue.append(one)
        while self.overdue and self.overdue[0].at < now - terms.late_us:
            self._forget(self.overdue.popleft())
        if self.missed:
            self._clear_missed(now - terms.late_us - MISSED_RETENTION_US)

    def _begin(self, slot: int) -> None:
        ones = self.ring[slot % len(self.ring)]
        if ones:
            ones.sort(key=attrgetter("at"))  # given at different rates they may lie crosswise
            self.coming.extend(ones)
            self.ring[slot % len(self.ring)] = []

    def _fall_due(self, one: Appointment) -> None:
        if self.upcoming.get(one.key) is one:
            del self.upcoming[one.key]
        self.active.setdefault(one.key, []).append(one)
        self.due.append(one)
        self.due_count += 1

    def _forget(self, one: Appointment) -> None:
        self.count -= 1
        self.ended.append(one.kept)
        if one.kept:
            return
        self._take(one.key)  # the earliest of its key, as all earlier ones are kept or forgotten
        self.missed.pop(one.key, None)
        self.missed[one.key] = one.at

    def _clear_missed(self, before: int) -> None:
        while self.missed:
            key = next(iter(self.missed))
            if self.missed[key] >= before and len(self.missed) <= MAX_MISSED:
                return
            del self.missed[key]

    # ------------------------------------------------------------ callers

    def give(self, key: int, slot: int, at: int) -> Appointment:
        one = Appointment(at, key)
        self.ring[slot % len(self.ring)].append(one)
        self.upcoming[key] = one
        self.count += 1
        return one

    def keep(self, key: int, now: int) -> bool:
        """Whether a caller with this key has an appointment now; it is over thereby."""
        if key not in self.active:
            return False
        one = self._take(key)
        one.kept = True
        self.due_count -= one.at >= now - self.terms.early_us
        return True

    def _take(self, key: int) -> Appointment:
        ones = self.active[key]
        one = ones.pop(0)
        if not ones:
            del self.active[key]
        return one

    def late(self, key: int) -> bool:
        """Whether a caller with this key has missed its appointment; asked once."""
        return self.missed.pop(key, None) is not None

    def results(self) -> list[bool]:
        """Of the appointments that are over since this was last asked, whether they were kept."""
        ended, self.ended = self.ended, []
        return ended
