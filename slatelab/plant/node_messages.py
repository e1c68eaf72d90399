"""Inputs and outputs of the node state machine.

They are msgspec structs like the records: creating a frozen dataclass takes seven times as long, and each
request creates three of them."""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class NodeRequest(msgspec.Struct, frozen=True, gc=False):
    """A complete attempt that has arrived at a node. `key` is chosen by the engine and unique; `path` identifies
    the call within its order ("": the client's own request); `until` is when its caller gives up, in microseconds
    since the run's epoch."""

    key: int
    request: str
    proxy: str
    cls: int
    order_seed: int
    order_work_us: int
    path: str
    until: int


class Reply(msgspec.Struct, frozen=True, gc=False):
    """The answer to an attempt. `not_processed`: it was rejected and has not run. `token` names the node, its
    life, the attempt and its request, so it is unique; empty unless the status is 200."""

    key: int
    status: int
    not_processed: bool = False
    token: str = ""


class DownstreamCall(msgspec.Struct, frozen=True, gc=False):
    """A call to the next tier on behalf of the attempt `key`. `index` counts its calls from 0; `request` is the
    call's own id."""

    key: int
    index: int
    request: str
    path: str
    until: int


class WorkStarted(msgspec.Struct, frozen=True, gc=False):
    """Work on an attempt has begun."""

    key: int


class NodeCrashed(msgspec.Struct, frozen=True, gc=False):
    """The node was overloaded while cold and has crashed: its attempts are lost without an answer."""


NodeOutput: TypeAlias = Reply | DownstreamCall | WorkStarted | NodeCrashed
