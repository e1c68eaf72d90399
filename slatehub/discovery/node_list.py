"""The node list: asks discovery for the nodes of this proxy's tier and keeps a watch on changes. It owns the one
connection to discovery, the version held, and the number of each node id. It must never drop a node because
discovery is silent, and never ask more often than the module wants."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any, Protocol

import gevent
from gevent.event import Event as Bell

from paddlestep.interface import Entry, ListKind, State

from ..core.jobs import NodeRequest
from ..decisions.maintenance import MAX_NODE_ID_LENGTH, Maintenance
from ..drivers.clock import Timer, clock
from ..drivers.dispatcher import DispatcherDriver
from ..drivers.upstream import UpstreamConnection, UpstreamError, host_header, serialize_request
from ..observe.log import error_location, log_event
from ..settings.reader import Address, ConfigError, ProxyConfig, parse_address
from .endpoint_numbers import EndpointNumbers
from .timing import CONNECT_TIMEOUT_US, WATCH_DEADLINE_US, WATCH_TIMEOUT_MS

LIST_LIMIT = 4 * 1024 * 1024
LEAST_GAP_US = (
    20_000  # between two calls: a discovery that answers every watch at once must not be asked without end
)
MAX_NODES = 65_536
MAX_REMOVED_NODES = 1_024  # nodes that are remembered after they have gone: calls to them may still be out
FARTHEST = 2**52  # of any figure
PHASES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class NodeAddresses(Protocol):
    """Where it is kept at which address a node stands."""

    def set_node(self, endpoint: int, peer: Address, since: int) -> None: ...

    def close_node(self, endpoint: int) -> None: ...

    def forget_node(self, endpoint: int) -> None: ...


class NodeList:
    def __init__(
        self,
        plant: ProxyConfig,
        desk: DispatcherDriver,
        room: NodeAddresses,
        by_hand: Maintenance | None = None,
    ) -> None:
        self.config = plant
        self.dispatcher = desk
        self.addresses = room
        self.revision: int | None = None
        self.numbers = EndpointNumbers(desk.node_ids)
        self.maintenance = by_hand or Maintenance()
        self.reported: dict[
            str, tuple[Entry, Address]
        ] = {}  # what discovery says of each node that is not gone
        self.connection: UpstreamConnection | None = None
        self.updated = Bell()  # discovery has answered
        self.watcher: gevent.Greenlet[[], None] | None = None

    def load_known(self) -> None:
        """The list as this proxy last had it, perhaps old: better than none until discovery answers."""
        self.validate_known(self.config)
        if self.config.known:
            self._apply(self.config.known, ListKind.CACHED)
        if self.config.settings.pushed_discovery:
            self.watch(True)  # the module asks for no watch where it is told unasked; here that takes one

    def validate_known(self, plant: ProxyConfig) -> None:
        """Whether the list in the settings can be read."""
        try:
            for member in _members(plant.known) if plant.known else ():
                self._row(member)
        except (ValueError, KeyError, TypeError, AttributeError, ConfigError) as problem:
            text = f"{type(problem).__name__}: {problem}"[:200]
            raise ConfigError(f"EDGE_CONFIG: known: cannot be read: {text}") from None

    def apply_settings(self, plant: ProxyConfig) -> None:
        """New settings. Where discovery has moved, the old one is left at once, without waiting for its end, and the
        new one asked for all that it has, as its revisions need not be those of the old one. Numbers stay. One watch
        from revision 0 does that: a list and a watch, from every proxy at once, are more calls than it can take."""
        old, self.config = self.config, plant
        if (old.discovery, old.kinds, old.zones) == (plant.discovery, plant.kinds, plant.zones):
            return
        if self.watcher:
            self.watcher.kill(block=False)  # before it runs again it must no longer be the watcher
            self.watcher = None
        self._hang_up()
        self.revision = 0
        self.watch(True)

    def watch(self, on: bool) -> None:
        if self.watcher and not on:
            self.watcher.kill(block=False)
            self.watcher = None
            self._hang_up()
        elif on and not self.watcher:
            self.watcher = gevent.spawn(self._watch)

    # ------------------------------------------------------------ the watch

    def _watch(self) -> None:
        """Asks again as soon as an answer has come, which keeps it one watch, until a call fails."""
        watcher = self.watcher
        assert watcher is not None
        try:
            while True:
                asked = clock()
                tree = self._fetch(watcher)
                if self.watcher is not watcher:  # another took its place while the answer was on its way
                    return
                self._apply(tree, self._kind(tree))
                self.updated.set()
                gevent.sleep(max(0, asked + LEAST_GAP_US - clock()) / 1e6)
        except (OSError, UpstreamError, gevent.Timeout) as problem:
            log_event("discovery", f"call failed: {type(problem).__name__}: {problem}", "warning")
        except Exception as problem:
            text = f"answer cannot be read: {type(problem).__name__}: {problem}"
            log_event("discovery", text, "error", where=error_location(problem))
            self.revision = None  # whatever it meant, the whole list says it anew
        finally:
            if self.watcher is watcher:  # else another is at work, and the connection is its own
                self._hang_up()
                self.watcher = None
                self.dispatcher.update_nodes(ListKind.FAILED)

    def _fetch(self, watcher: gevent.Greenlet[[], None]) -> Any:
        target = "/v1/endpoints"
        if self.revision is not None:
            target += f"?since={self.revision}&timeout_ms={WATCH_TIMEOUT_MS}"

        def give_up() -> None:
            watcher.kill(UpstreamError("no answer"), block=False)

        late = Timer(clock() + CONNECT_TIMEOUT_US, give_up)
        try:
            if self.connection and not self.connection.is_usable():
                self._hang_up()
            if not self.connection:
                self.connection = UpstreamConnection(self.config.discovery, lambda: None)
                self.connection.connect()
            late.cancel()
            late = Timer(clock() + WATCH_DEADLINE_US, give_up)
            self.connection.write(
                serialize_request(NodeRequest("GET", target, ()), host_header(self.config.discovery))
            )
            reply = self.connection.read(LIST_LIMIT)
            if reply.reusable:
                self.connection.mark_idle(clock() + self.config.conn_idle_us, self._hang_up)
            else:
                self._hang_up()
            if reply.status != 200:
                raise UpstreamError(f"status {reply.status}")
            return json.loads(reply.body)
        finally:
            late.cancel()

    def _hang_up(self) -> None:
        if self.connection:
            self.connection.close()
            self.connection = None

    # ------------------------------------------------------------ reading

    def _kind(self, tree: Any) -> ListKind:
        """What an answer of discovery's is. ValueError where it does not say so beyond doubt: half a list taken for a
        whole one would drop every node that it does not name, and changes older than what is known bring back who has
        gone."""
        whole, revision = tree["complete"], tree["revision"]
        if not isinstance(whole, bool) or type(revision) is not int or not 0 <= revision < FARTHEST:
            raise ValueError("complete must be true or false, and revision a number")
        if not whole and revision < (self.revision or 0):
            raise ValueError(f"revision {revision} goes back from {self.revision}")
        return ListKind.FULL if whole else ListKind.DELTA

    def _apply(self, tree: Any, kind: ListKind) -> None:
        # Of a node that stands there twice the last word counts.
        read = {member["id"]: self._row(member) for member in _members(tree)}
        if len(read) + (len(self.reported) if kind is ListKind.DELTA else 0) > MAX_NODES:
            raise ValueError(f"more than {MAX_NODES} nodes")
        # Only now, when all of it could be read, does any of it count.
        rows = [
            (ident, replace(entry, endpoint=self.numbers.number_of(ident)), peer)
            for ident, (entry, peer) in read.items()
        ]
        if kind is not ListKind.DELTA:
            self.reported.clear()
        for ident, entry, peer in rows:
            if peer:
                self.reported[ident] = (entry, peer)
            else:
                self.reported.pop(ident, None)
        revision = tree.get("revision")
        self.revision = revision if isinstance(revision, int) else None
        self._show(kind, rows)

    def _show(self, kind: ListKind, rows: list[tuple[str, Entry, Address | None]]) -> None:
        """What discovery told, as the operators want it to be seen."""
        laid = [(self.maintenance.apply_to(ident, entry), peer) for ident, entry, peer in rows]
        for entry, peer in laid:
            if peer:
                self.addresses.set_node(entry.endpoint, peer, entry.since_us)
        self.dispatcher.update_nodes(kind, self.revision or 0, tuple(entry for entry, _ in laid))
        for endpoint in self.dispatcher.unavailable_since:
            self.addresses.close_node(endpoint)
        for endpoint in self.dispatcher.forget_removed_nodes(MAX_REMOVED_NODES):
            self.addresses.forget_node(endpoint)
            self.numbers.forget(endpoint)

    # ------------------------------------------------------------ by hand

    def start_maintenance(self, ident: str) -> bool:
        """From the return on no attempt is begun at this node. False: nobody has it. TooManyInMaintenance."""
        done = self.maintenance.start_maintenance(ident, ident in self.reported, clock())
        self._show_again(ident)
        return done

    def is_known(self, ident: str) -> bool:
        return ident in self.reported or ident in self.maintenance.started_at

    def start_maintenance_unlisted(self, ident: str) -> None:
        """Another process of this proxy knows that there is such a node, and takes it out now."""
        self.maintenance.start_maintenance(ident, True, clock())

    def end_maintenance(self, ident: str) -> bool:
        """Discovery's word on it holds again, but it counts as just started. False: nobody has it."""
        told = self.reported.get(ident)
        done = self.maintenance.end_maintenance(ident, told[0] if told else None, clock())
        self._show_again(ident)
        return done

    def _show_again(self, ident: str) -> None:
        """What is held by hand has changed for this node."""
        if ident in self.reported:
            self._show(ListKind.DELTA, [(ident, *self.reported[ident])])

    def _row(self, member: Any) -> tuple[Entry, Address | None]:
        """A node as it is told of, without its number yet."""
        ident, state = member["id"], PHASES[member["phase"]]
        if not isinstance(ident, str) or not 0 < len(ident) <= MAX_NODE_ID_LENGTH or not ident.isprintable():
            raise ValueError("an id must be a text that prints")
        peer = None if state is State.GONE else parse_address(member["host_port"], "host_port")
        # One clock is read by all machines; ours counts from the same epoch. 0 means long ago and stays 0.
        since = max(0, int(_figure(member, "up_since_ms", 0))) * 1000
        entry = Entry(
            endpoint=0,
            state=state,
            since_us=since,
            weight=float(_figure(member, "size", 1.0)),
            cell=int(_figure(member, "cell", 0)),
            kind=self.config.kinds.get(str(member.get("flavor")), 0),
            zone=self.config.zones.get(str(member.get("locality")), 0),
        )
        return entry, peer


def _members(tree: Any) -> list[Any]:
    members = tree["members"]
    if not isinstance(members, list):
        raise ValueError("members is no list")
    return members


def _figure(member: Any, key: str, usual: float) -> float:
    value = member.get(key)
    if value is None:
        return usual
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < FARTHEST:
        raise ValueError(f"{key} is no number")
    return value
