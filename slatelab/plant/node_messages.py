"""What a node is asked and what it does, as values. This file owns their forms. It must never do any of it.

They are msgspec structs, as the records are: a frozen dataclass takes seven times as long to make, and each
request makes three of them."""

from __future__ import annotations

from typing import TypeAlias

import msgspec


class NodeRequest(msgspec.Struct, frozen=True, gc=False):
    """A whole attempt that has reached a node. `key` is the engine's own and never comes twice; `path` says
    which call of its order it is ("" the client's own request); `until` is when its caller gives it up."""

    key: int
    request: str
    proxy: str
    cls: int
    order_seed: int
    order_work_us: int
    path: str
    until: int


class Reply(msgspec.Struct, frozen=True, gc=False):
    """The answer to an attempt. `turned`: nothing of it has run. `token` names the node, its life, the
    attempt and its request, so that no two are the same; empty unless the status is 200."""

    key: int
    status: int
    turned: bool = False
    token: str = ""


class DownstreamCall(msgspec.Struct, frozen=True, gc=False):
    """A call to the next tier for the attempt `key`, its `index`-th from 0, under an id of its own."""

    key: int
    index: int
    request: str
    path: str
    until: int


class WorkStarted(msgspec.Struct, frozen=True, gc=False):
    """Work on an attempt has begun."""

    key: int


class NodeCrashed(msgspec.Struct, frozen=True, gc=False):
    """The node has been sent too much while cold: it is dead, and what it held is lost without an answer."""


NodeOutput: TypeAlias = Reply | DownstreamCall | WorkStarted | NodeCrashed
