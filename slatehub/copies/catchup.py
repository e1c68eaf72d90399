"""Anti-entropy between voters: the key ranges of two stores are compared by digest, then by keys, and only differing
registers are fetched, with one request at a time. Pure.

This module decides when a joining voter has caught up: after it has synchronized with a majority of the previous
voters, each of which has already adopted the joint configuration. From then on nothing is decided without a majority of
both the old and the new voters (see `reconfiguration`)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .acceptor import bucket
from .messages import (
    DIGEST_RANGES,
    MAX_KEYS_PER_MESSAGE,
    ConfigRequest,
    ConfigResponse,
    KeysRequest,
    KeysResponse,
    RangeDigests,
    RegisterState,
    StatesRequest,
    StatesResponse,
    Voter,
)
from .reconfiguration import all_voters, is_old_majority, joining_voters

if TYPE_CHECKING:
    from .replica import Replica

RESEND_US = 200_000
SESSION_TIMEOUT_US = 5_000_000  # without a reply: the session ends, and a new one may choose another voter
REQUEST_INTERVAL_US = 1_000  # between two requests of a session
MAX_STATES_BYTES = 900  # bytes of register states in one message
SECOND = 1_000_000  # microseconds


@dataclass(slots=True)
class SyncSession:
    """Fetches from one other voter the registers that this store lacks or holds in an older state."""

    source: Voter
    next_send: int  # time of the next request or resend
    phase: str = "digests"  # digests, keys, rows
    buckets: list[int] = field(default_factory=list)
    bucket: int = 0
    after: bytes = b""
    wanted: list[bytes] = field(default_factory=list)
    last: bool = False
    states: int = 0  # registers fetched so far
    last_reply: int = 0


class CatchUp:
    """The anti-entropy sessions of one replica: catch-up after joining, and periodic repair."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.sessions: dict[str, SyncSession] = {}
        self.synced_voters: set[Voter] = set()  # previous voters whose sessions are complete
        self.caught_up_index = 0  # index of the log record CaughtUp; 0: not written yet
        self.next_finalize = 0
        self.repaired_count = 0  # registers fetched because they were missing or outdated

    @property
    def is_catching_up(self) -> bool:
        """Whether this replica is a joining voter that has not caught up yet."""
        replica = self.replica
        return (
            replica.self_voter in joining_voters(replica.config)
            and replica.caught_up_epoch < replica.config.epoch
        )

    def config_changed(self, now: int) -> None:
        """Starts over after a change of the group configuration."""
        self.sessions.clear()
        self.synced_voters.clear()
        self.caught_up_index = 0
        if self.is_catching_up:
            self._start_sessions(now)

    def _start_sessions(self, now: int) -> None:
        replica = self.replica
        for voter in replica.config.old_voters:
            if (
                voter not in self.synced_voters
                and voter.name not in self.sessions
                and voter.name != replica.self_voter.name
            ):
                self._start_session(now, voter)

    def _start_session(self, now: int, voter: Voter) -> None:
        session = self.sessions[voter.name] = SyncSession(voter, now, last_reply=now)
        self._send_request(now, session)

    # ------------------------------------------------------------ time

    def deadlines(self) -> list[int]:
        """The times, in microseconds, at which `advance` has something to do."""
        times = [session.next_send for session in self.sessions.values()]
        if self.is_catching_up or self._can_finalize:
            times.append(self.next_finalize)
        return times

    @property
    def _can_finalize(self) -> bool:
        replica = self.replica
        caught_up = (
            replica.self_voter in joining_voters(replica.config)
            and replica.caught_up_epoch == replica.config.epoch
        )
        nobody_joins = replica.is_voter and replica.config.old_voters and not joining_voters(replica.config)
        return bool(caught_up or nobody_joins)

    def advance(self, now: int) -> None:
        """Does all that is due: resends requests, ends sessions without replies, and starts new ones."""
        replica = self.replica
        for session in list(self.sessions.values()):
            if now - session.last_reply > SESSION_TIMEOUT_US:
                del self.sessions[session.source.name]
            elif session.next_send <= now:
                self._send_request(now, session)
        if self.next_finalize <= now:
            self.next_finalize = now + RESEND_US + int(RESEND_US * replica.rng.random())
            if self.is_catching_up:
                self._start_sessions(now)
            elif self._can_finalize:
                replica.finalize_config(now)
        if replica.is_voter and replica.next_repair <= now:
            replica.next_repair = now + int(replica.timings.repair_us * (0.5 + replica.rng.random()))
            others = [
                v
                for v in all_voters(replica.config)
                if v.name != replica.self_voter.name and v.name not in replica.unresponsive
            ]
            if others and not self.sessions and not self.is_catching_up and not replica.store_failure:
                self._start_session(now, replica.rng.choice(others))

    def _send_request(self, now: int, session: SyncSession) -> None:
        session.next_send = now + RESEND_US
        replica, name = self.replica, session.source.name
        if session.phase == "digests":
            replica._send(name, RangeDigests(replica.config.epoch, True, [0] * DIGEST_RANGES))
        elif session.phase == "keys":
            replica._send(name, KeysRequest(replica.config.epoch, session.bucket, session.after))
        else:
            replica._send(name, StatesRequest(session.wanted[:MAX_KEYS_PER_MESSAGE]))

    # ------------------------------------------------------------ messages

    def receive(
        self,
        now: int,
        voter: Voter,
        message: RangeDigests | KeysRequest | KeysResponse | StatesRequest | StatesResponse,
    ) -> None:
        """Handles an anti-entropy message of another voter."""
        if isinstance(message, (KeysRequest, StatesRequest)) or (
            isinstance(message, RangeDigests) and message.reply_wanted
        ):
            self._reply(voter, message)
            return
        session = self.sessions.get(voter.name)
        if session is None or session.source != voter or isinstance(message, (StatesRequest, KeysRequest)):
            return
        if isinstance(message, (RangeDigests, KeysResponse)) and message.epoch < self.replica.config.epoch:
            # Until the other voter has adopted this configuration, its registers may change without this voter.
            self.replica._send(voter.name, ConfigResponse(self.replica.config))
            return
        if isinstance(message, (RangeDigests, KeysResponse)) and message.epoch > self.replica.config.epoch:
            self.replica._send(voter.name, ConfigRequest(self.replica.config.epoch, False))
        session.last_reply = now
        if isinstance(message, RangeDigests):
            self._handle_digests(now, session, message)
        elif isinstance(message, KeysResponse):
            self._handle_keys(now, session, message)
        else:
            self._handle_states(now, session, message)

    def _reply(self, voter: Voter, message: RangeDigests | KeysRequest | StatesRequest) -> None:
        replica = self.replica
        if replica.store_failure or not replica.is_voter or replica.config_index > replica.durable_index:
            return  # not durable yet: after a restart this voter could still vote in the previous configuration
        epoch = replica.config.epoch
        if message.__class__ is not StatesRequest and message.epoch > epoch:  # type: ignore[union-attr]
            # The other voter has a newer configuration.
            replica._send(voter.name, ConfigRequest(epoch, False))
            return
        if isinstance(message, RangeDigests):
            replica._send(voter.name, RangeDigests(epoch, False, replica.acceptor.range_digests))
        elif isinstance(message, KeysRequest):
            listed = replica.acceptor.keys(message.bucket, message.after, MAX_KEYS_PER_MESSAGE + 1)
            versions = [
                (key, state.ballot)
                for key in listed[:MAX_KEYS_PER_MESSAGE]
                if (state := replica.acceptor.get(key))
            ]
            replica._send(
                voter.name,
                KeysResponse(
                    epoch, message.bucket, message.after, versions, len(listed) <= MAX_KEYS_PER_MESSAGE
                ),
            )
        else:
            self._send_states(voter, message)

    def _send_states(self, voter: Voter, message: StatesRequest) -> None:
        states: list[RegisterState] = []
        missing: list[bytes] = []
        room = MAX_STATES_BYTES
        for key in message.keys:
            state = self.replica.acceptor.get(key)
            if state is None:
                missing.append(key)
                continue
            room -= len(state.value) + 50
            if room < 0 and states:
                break
            states.append(state)
        self.replica._send(voter.name, StatesResponse(states, missing))

    # ------------------------------------------------------------ replies

    def _handle_digests(self, now: int, session: SyncSession, message: RangeDigests) -> None:
        if session.phase != "digests":
            return
        ours = self.replica.acceptor.range_digests
        session.buckets = [i for i in range(DIGEST_RANGES) if ours[i] != message.digests[i]]
        self._next_bucket(now, session)

    def _next_bucket(self, now: int, session: SyncSession) -> None:
        """Continues with the next key range that differs."""
        if not session.buckets:
            self._finish(now, session)
            return
        session.bucket, session.after, session.phase = session.buckets.pop(), b"", "keys"
        session.next_send = now + REQUEST_INTERVAL_US

    def _handle_keys(self, now: int, session: SyncSession, message: KeysResponse) -> None:
        if session.phase != "keys" or message.bucket != session.bucket or message.after != session.after:
            return
        local_state = self.replica.acceptor.get
        session.wanted = [
            k for k, ballot in message.versions if (state := local_state(k)) is None or state.ballot < ballot
        ]
        session.after = message.versions[-1][0] if message.versions else session.after
        session.last = message.last or not message.versions
        self._fetch_or_advance(now, session)

    def _fetch_or_advance(self, now: int, session: SyncSession) -> None:
        session.next_send = now + REQUEST_INTERVAL_US
        if session.wanted:
            session.phase = "rows"
        elif session.last:
            self._next_bucket(now, session)
        else:
            session.phase = "keys"

    def _handle_states(self, now: int, session: SyncSession, message: StatesResponse) -> None:
        if session.phase != "rows":
            return
        wanted, done = set(session.wanted), set(message.missing)
        for state in message.states:
            if state.key in wanted and bucket(state.key) == session.bucket:
                self.replica.acceptor.merge(state, now // SECOND)
                done.add(state.key)
                session.states += 1
        session.wanted = [key for key in session.wanted if key not in done]
        self._fetch_or_advance(now, session)

    def _finish(self, now: int, session: SyncSession) -> None:
        replica = self.replica
        del self.sessions[session.source.name]
        self.repaired_count += session.states
        if session.states and not self.is_catching_up:
            replica.log_lines.append(f"fetched {session.states} registers from {session.source.name}")
        if not self.is_catching_up or session.source not in replica.config.old_voters:
            return
        self.synced_voters.add(session.source)
        if is_old_majority(replica.config, self.synced_voters) and not self.caught_up_index:
            self.caught_up_index = replica.append_caught_up()

    def mark_durable(self, now: int, durable_index: int) -> None:
        """Completes the catch-up: the fetched registers are durable once the CaughtUp record after them is."""
        if self.caught_up_index and self.caught_up_index <= durable_index and self.is_catching_up:
            self.replica.mark_caught_up()
            self.caught_up_index = 0
            self.replica.finalize_config(now)
