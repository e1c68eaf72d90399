"""Messages between voters and records of a voter's log, as typed structs in MessagePack. All bounds of the values are
checked while decoding, so the code behind it can rely on them.

Format version 1. New fields are added only at the end and with a default; older versions ignore them."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

REPLICA_TOPIC = 1  # topic number on the fleet link
U32 = Annotated[int, Meta(ge=0, lt=2**32)]
U63 = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Key = Annotated[bytes, Meta(min_length=16, max_length=16)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
MAX_VALUE_BYTES = 800  # bytes; a value must fit into one datagram together with its message
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
MAX_VOTERS = 9
DIGEST_RANGES = 64  # key ranges in which two stores are compared
MAX_KEYS_PER_MESSAGE = 24  # in one message
CONFIG_KEY = bytes(16)  # key of the register that holds the group configuration


class MessageError(ValueError):
    """The bytes are not a valid message or record of this version."""


class Ballot(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Ordered by counter, then by proposer id, so no two proposers ever use the same ballot."""

    counter: U63 = 0
    proposer: U63 = 0


NO_BALLOT = Ballot()


class Voter(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A proxy's name and the id of its store. The same name with another store is a different voter."""

    name: Name
    store_id: U63


Voters = Annotated[tuple[Voter, ...], Meta(max_length=MAX_VOTERS)]


class GroupConfig(msgspec.Struct, array_like=True, frozen=True):
    """The voters. While `old_voters` is not empty a change is under way, and decisions need a majority of both sets
    (joint consensus: Ongaro, Consensus: Bridging Theory and Practice, 2014, section 4.3)."""

    epoch: U63 = 0
    voters: Voters = ()
    old_voters: Voters = ()


class RegisterState(msgspec.Struct, array_like=True, frozen=True):
    """A register as one voter has accepted it. `expires_at_s`: seconds from the Unix epoch, 0: never."""

    key: Key
    ballot: Ballot
    expires_at_s: U63
    value: Value


# ---------------------------------------------------------------- log records


class BallotCeiling(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """After a restart ballots up to this counter are rejected: any of them may have been promised."""

    counter: U63


class StateAccepted(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The acceptor has accepted this state, or learned it from another voter."""

    state: RegisterState


class ConfigAdopted(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The replica has adopted this group configuration."""

    config: GroupConfig


class CaughtUp(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The store holds all that had been decided when `epoch` began."""

    epoch: U63


LogRecord = BallotCeiling | StateAccepted | ConfigAdopted | CaughtUp

# ---------------------------------------------------------------- messages


class Prepare(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Phase 1: asks for a promise, and for the accepted state of a register."""

    operation: U32
    epoch: U63
    key: Key
    ballot: Ballot


class Promise(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """`accepted`: ballot of the state accepted here, NO_BALLOT if there is none."""

    operation: U32
    ballot: Ballot
    accepted: Ballot
    expires_at_s: U63
    value: Value


class Accept(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """`next_ballot`: the proposer's next ballot, promised together with the accept."""

    operation: U32
    epoch: U63
    state: RegisterState
    next_ballot: Ballot


class Accepted(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """The voter has accepted the state proposed with this ballot."""

    operation: U32
    ballot: Ballot


class Rejected(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """`counter`: a ballot above it may succeed. `reason`: one of the constants below."""

    operation: U32
    ballot: Ballot
    counter: U63
    reason: Annotated[int, Meta(ge=0, le=5)]
    epoch: U63


STALE_BALLOT, STALE_EPOCH, NOT_A_VOTER, REGISTERS_FULL, STORE_UNAVAILABLE, VOTER_BEHIND = range(6)


class ConfigRequest(msgspec.Struct, array_like=True, frozen=True, tag=15):
    """Asks for the group configuration. `founding`: the sender's store is new, so it may take part in founding."""

    epoch: U63
    founding: bool


class ConfigResponse(msgspec.Struct, array_like=True, frozen=True, tag=16):
    """The sender's group configuration."""

    config: GroupConfig


class RangeDigests(msgspec.Struct, array_like=True, frozen=True, tag=17):
    """Digests of the key ranges of the sender's store. `reply_wanted`: asks for the recipient's digests."""

    epoch: U63
    reply_wanted: bool
    digests: Annotated[list[U63], Meta(min_length=DIGEST_RANGES, max_length=DIGEST_RANGES)]


class KeysRequest(msgspec.Struct, array_like=True, frozen=True, tag=18):
    """Asks for the keys of one range behind the key `after`, in order."""

    epoch: U63
    bucket: Annotated[int, Meta(ge=0, lt=DIGEST_RANGES)]
    after: Annotated[bytes, Meta(max_length=16)]


class KeysResponse(msgspec.Struct, array_like=True, frozen=True, tag=19):
    """Keys of one range with their ballots. `last`: there are no further keys in the range."""

    epoch: U63
    bucket: Annotated[int, Meta(ge=0, lt=DIGEST_RANGES)]
    after: Annotated[bytes, Meta(max_length=16)]
    versions: Annotated[list[tuple[Key, Ballot]], Meta(max_length=MAX_KEYS_PER_MESSAGE)]
    last: bool


class StatesRequest(msgspec.Struct, array_like=True, frozen=True, tag=20):
    """Asks for the states of these registers."""

    keys: Annotated[list[Key], Meta(max_length=MAX_KEYS_PER_MESSAGE)]


class StatesResponse(msgspec.Struct, array_like=True, frozen=True, tag=21):
    """As many states as fit. `missing`: requested keys that are not held here."""

    states: Annotated[list[RegisterState], Meta(max_length=MAX_KEYS_PER_MESSAGE)]
    missing: Annotated[list[Key], Meta(max_length=MAX_KEYS_PER_MESSAGE)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=22):
    """Asks whether the recipient is reachable; answered by the same message with `is_reply`."""

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
    """Messages sent together to one recipient. `store_id`: id of the sender's store, 0: none."""

    store_id: U63
    messages: Annotated[list[Message], Meta(max_length=64)]


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(MessageBatch)
_record_decoder = msgspec.msgpack.Decoder(LogRecord)
_config_decoder = msgspec.msgpack.Decoder(GroupConfig)


def pack(value: MessageBatch | LogRecord | GroupConfig | Message) -> bytes:
    """Encodes a message, batch, record or configuration as MessagePack."""
    return _encoder.encode(value)


def unpack(body: bytes) -> MessageBatch:
    """Decodes a message batch. Raises MessageError."""
    try:
        return _batch_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(str(error)[:200]) from None


def decode_record(body: bytes) -> LogRecord:
    """Decodes a log record. Raises MessageError, also for a record of an unknown version."""
    try:
        return _record_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(str(error)[:200]) from None


def decode_config(body: bytes) -> GroupConfig:
    """Decodes a group configuration. Raises MessageError."""
    try:
        return _config_decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MessageError(str(error)[:200]) from None
