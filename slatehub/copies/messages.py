"""What voters say to each other, and what each writes down, as typed messages in MessagePack. It owns their form and
the bounds of every value. It must never let a value through that the machines behind it would have to doubt.

Formats of version 1. A field is only ever added at the end, with a default: an older voter reads past it."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

TOPIC = 1  # of the fleet's link
U32 = Annotated[int, Meta(ge=0, lt=2**32)]
U63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Key = Annotated[bytes, Meta(min_length=16, max_length=16)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
VALUE_MOST = 800  # bytes: a value travels in one datagram, beside what belongs to it
Value = Annotated[bytes, Meta(max_length=VALUE_MOST)]
VOTERS_MOST = 9
DIGEST_RANGES = 64  # parts in which two stores are compared
KEYS_MOST = 24  # in one message
CONFIG_KEY = bytes(16)  # the register that holds who votes


class MessageError(ValueError):
    """Not a message of ours."""


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """`counter` first, then whose: no two proposers ever use the same."""

    counter: U63 = 0
    proposer: U63 = 0


NONE = Ballot()


class Voter(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A proxy's name and the number of its store: the same name with another store is another voter."""

    name: Name
    store_id: U63


Voters = Annotated[tuple[Voter, ...], Meta(max_length=VOTERS_MOST)]


class GroupConfig(msgspec.Struct, array_like=True, frozen=True):
    """Who votes. While `old_voters` is not empty a change is under way, and both need a majority (joint consensus:
    Ongaro, Consensus, 2014, 4.3)."""

    epoch: U63 = 0
    voters: Voters = ()
    old_voters: Voters = ()


class RegisterState(msgspec.Struct, array_like=True, frozen=True):
    """A register as one voter has accepted it. `until`: seconds from the Unix epoch, 0: for good."""

    key: Key
    ballot: Ballot
    expires_at_s: U63
    value: Value


# ---------------------------------------------------------------- written down


class BallotCeiling(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """No ballot up to this counter is taken after a restart: any of them may have been promised away."""

    counter: U63


class StateAccepted(msgspec.Struct, array_like=True, frozen=True, tag=2):
    state: RegisterState


class ConfigAdopted(msgspec.Struct, array_like=True, frozen=True, tag=3):
    config: GroupConfig


class CaughtUp(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """All that counted when `epoch` began is here."""

    epoch: U63


LogRecord = BallotCeiling | StateAccepted | ConfigAdopted | CaughtUp

# ---------------------------------------------------------------- said


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag=10):
    operation: U32
    epoch: U63
    key: Key
    ballot: Ballot


class Promise(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """`accepted`: the ballot of what stands here, NONE where nothing does."""

    operation: U32
    ballot: Ballot
    accepted: Ballot
    until: U63
    value: Value


class Accept(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """`next_ballot`: the next ballot, promised along with it."""

    operation: U32
    epoch: U63
    state: RegisterState
    next_ballot: Ballot


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag=13):
    operation: U32
    ballot: Ballot


class Rejected(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """`counter`: above which a ballot might do; `reason`: below."""

    operation: U32
    ballot: Ballot
    counter: U63
    reason: Annotated[int, Meta(ge=0, le=5)]
    epoch: U63


LATE, EPOCH, NO_VOTER, FULL, BROKEN, BEHIND = range(6)


class ConfigRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Who votes? And, of who asks: whether it is new, and so may found the group."""

    epoch: U63
    founding: bool


class ConfigResponse(msgspec.Struct, array_like=True, frozen=True, tag=16):
    config: GroupConfig


class RangeDigests(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """Hashes of the parts of the sender's store; `reply_wanted`: please tell me yours."""

    epoch: U63
    reply_wanted: bool
    digests: Annotated[list[U63], Meta(min_length=DIGEST_RANGES, max_length=DIGEST_RANGES)]


class KeysRequest(msgspec.Struct, array_like=True, frozen=True, tag=18):
    epoch: U63
    bucket: Annotated[int, Meta(ge=0, lt=DIGEST_RANGES)]
    after: Annotated[bytes, Meta(max_length=16)]


class KeysResponse(msgspec.Struct, array_like=True, frozen=True, tag=19):
    epoch: U63
    bucket: Annotated[int, Meta(ge=0, lt=DIGEST_RANGES)]
    after: Annotated[bytes, Meta(max_length=16)]
    versions: Annotated[list[tuple[Key, Ballot]], Meta(max_length=KEYS_MOST)]
    last: bool


class StatesRequest(msgspec.Struct, array_like=True, frozen=True, tag=20):
    keys: Annotated[list[Key], Meta(max_length=KEYS_MOST)]


class StatesResponse(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """As many as fit. `missing`: asked for and not here."""

    states: Annotated[list[RegisterState], Meta(max_length=KEYS_MOST)]
    missing: Annotated[list[Key], Meta(max_length=KEYS_MOST)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """Are you there? Answered by the same with `is_reply`."""

    is_reply: bool


Message = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Rejected
    | ConfigRequest
    | ConfigResponse
    | RangeDigests
    | KeysRequest
    | KeysResponse
    | StatesRequest
    | StatesResponse
    | Heartbeat
)


class MessageBatch(msgspec.Struct, array_like=True, frozen=True):
    """Messages that go to one at one time. `store_id`: the sender's number."""

    store_id: U63
    messages: Annotated[list[Message], Meta(max_length=64)]


_encoder = msgspec.msgpack.Encoder()
_bundles = msgspec.msgpack.Decoder(MessageBatch)
_records = msgspec.msgpack.Decoder(LogRecord)
_configs = msgspec.msgpack.Decoder(GroupConfig)


def pack(value: MessageBatch | LogRecord | GroupConfig | Message) -> bytes:
    return _encoder.encode(value)


def unpack(body: bytes) -> MessageBatch:
    """MessageError where it is none."""
    try:
        return _bundles.decode(body)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise MessageError(str(problem)[:200]) from None


def decode_record(body: bytes) -> LogRecord:
    """MessageError where it is none: of a version that we do not know."""
    try:
        return _records.decode(body)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise MessageError(str(problem)[:200]) from None


def decode_config(body: bytes) -> GroupConfig:
    try:
        return _configs.decode(body)
    except (msgspec.DecodeError, RecursionError) as problem:
        raise MessageError(str(problem)[:200]) from None
