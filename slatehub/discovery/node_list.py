"""The node list: fetches the nodes of this proxy's tier from discovery and watches for changes. It holds the only
connection to discovery, the revision of the list and the number of each node id. It does not drop a node because
discovery does not respond, and does not start a watch before the balancer requests one."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import Any, Protocol

import gevent
from gevent.event import Event as GeventEvent

from paddlestep.interface import Entry, ListKind, State

from ..core.jobs import NodeRequest
from ..decisions.maintenance import MAX_NODE_ID_LENGTH, Maintenance
from ..drivers.clock import Timer, clock
from ..drivers.dispatcher import DispatcherDriver
from ..drivers.upstream import UpstreamConnection, UpstreamError, host_header, serialize_request
from ..observe.log import error_location, log_event
from ..settings.reader import Address, ConfigError, ProxyConfig, parse_address
from .address_owners import AddressOwners
from .endpoint_numbers import EndpointNumbers
from .timing import CONNECT_TIMEOUT_US, WATCH_DEADLINE_US, WATCH_TIMEOUT_MS

MAX_LIST_BYTES = 4 * 1024 * 1024
# Between the starts of two calls: limits the calls to a discovery that answers every watch at once.
MIN_CALL_INTERVAL_US = 20_000
MAX_NODES = 65_536
MAX_REMOVED_NODES = 1_024  # kept after they have gone, as attempts on them may still be under way
NUMBER_LIMIT = 2**52  # every number in a response is smaller
STATE_BY_PHASE = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}


class NodeAddresses(Protocol):
    """Holds the addresses of the nodes, by their endpoint numbers. `set_node` sets the address of a node, its last
    start and its zone; `close_node` ends its use but keeps its address, as attempts on it may still be under way;
    `forget_node` removes it."""

    def set_node(self, endpoint: int, address: Address, since: int, zone: int) -> None: ...

    def close_node(self, endpoint: int) -> None: ...

    def forget_node(self, endpoint: int) -> None: ...


class NodeList:
    """The nodes that discovery reports, with the operators' maintenance applied to them."""

    def __init__(
        self,
        config: ProxyConfig,
        dispatcher: DispatcherDriver,
        addresses: NodeAddresses,
        maintenance: Maintenance | None = None,
    ) -> None:
        self.config = config
        self.dispatcher = dispatcher
        self.addresses = addresses
        self.revision: int | None = None
        self.numbers = EndpointNumbers(dispatcher.node_ids)
        self.maintenance = maintenance or Maintenance()
        # node id -> what discovery reports of each node that is not gone
        self.reported: dict[str, tuple[Entry, Address]] = {}
        self.address_owners = AddressOwners()
        self.connection: UpstreamConnection | None = None
        self.updated = GeventEvent()  # set when discovery has answered
        self.watcher: gevent.Greenlet[[], None] | None = None

    def load_known(self) -> None:
        """Applies the list in the settings, perhaps an old one, until discovery answers. Raises ConfigError."""
        self.validate_known(self.config)
        if self.config.known:
            self._apply(self.config.known, ListKind.CACHED)
        if self.config.settings.pushed_discovery:
            # The balancer requests no watch if updates are pushed to it, but here they come from a watch.
            self.watch(True)

    def validate_known(self, config: ProxyConfig) -> None:
        """Checks the list in the settings. Raises ConfigError if it is invalid."""
        try:
            for member in _members(config.known) if config.known else ():
                self._parse_member(member)
        except (ValueError, KeyError, TypeError, AttributeError, ConfigError) as error:
            text = f"{type(error).__name__}: {error}"[:200]
            raise ConfigError(f"EDGE_CONFIG: known: cannot be read: {text}") from None

    def apply_settings(self, config: ProxyConfig) -> None:
        """Applies new settings. If discovery has moved, the old one is abandoned immediately, without waiting for a
        call under way, and the new one is asked for its whole list, as it may count revisions differently. The numbers
        of the nodes stay. One watch from revision 0 fetches the list: a list call and a watch from every proxy at the
        same time would be more calls than discovery can take."""
        old, self.config = self.config, config
        if (old.discovery, old.kinds, old.zones) == (config.discovery, config.kinds, config.zones):
            return
        if self.watcher:
            self.watcher.kill(block=False)  # it can run once more, and must not be the watcher then
            self.watcher = None
        self._disconnect()
        self.revision = 0
        self.watch(True)

    def watch(self, on: bool) -> None:
        """Starts or stops the watch; does nothing if it is already in that state."""
        if self.watcher and not on:
            self.watcher.kill(block=False)
            self.watcher = None
            self._disconnect()
        elif on and not self.watcher:
            self.watcher = gevent.spawn(self._watch)

    # ------------------------------------------------------------ the watch

    def _watch(self) -> None:
        """Runs one call after another until one fails, which makes them one continuous watch."""
        watcher = self.watcher
        assert watcher is not None
        try:
            while True:
                started_at = clock()
                tree = self._fetch(watcher)
                if self.watcher is not watcher:  # replaced while the answer was on its way
                    return
                self._apply(tree, self._list_kind(tree))
                self.updated.set()
                gevent.sleep(max(0, started_at + MIN_CALL_INTERVAL_US - clock()) / 1e6)
        except (OSError, UpstreamError, gevent.Timeout) as error:
            log_event("discovery", f"call failed: {type(error).__name__}: {error}", "warning")
        except Exception as error:
            text = f"invalid answer: {type(error).__name__}: {error}"
            log_event("discovery", text, "error", where=error_location(error))
            self.revision = None  # the next call fetches the whole list
        finally:
            if self.watcher is watcher:  # else the connection belongs to another watcher
                self._disconnect()
                self.watcher = None
                self.dispatcher.update_nodes(ListKind.FAILED)

    def _fetch(self, watcher: gevent.Greenlet[[], None]) -> Any:
        target = "/v1/endpoints"
        if self.revision is not None:
            target += f"?since={self.revision}&timeout_ms={WATCH_TIMEOUT_MS}"

        def give_up() -> None:
            watcher.kill(UpstreamError("no answer"), block=False)

        timer = Timer(clock() + CONNECT_TIMEOUT_US, give_up)
        try:
            if self.connection and not self.connection.is_usable():
                self._disconnect()
            if not self.connection:
                self.connection = UpstreamConnection(self.config.discovery, lambda: None)
                self.connection.connect()
            timer.cancel()
            timer = Timer(clock() + WATCH_DEADLINE_US, give_up)
            self.connection.write(
                serialize_request(NodeRequest("GET", target, ()), host_header(self.config.discovery))
            )
            response = self.connection.read(MAX_LIST_BYTES)
            if response.reusable:
                self.connection.mark_idle(clock() + self.config.conn_idle_us, self._disconnect)
            else:
                self._disconnect()
            if response.status != 200:
                raise UpstreamError(f"status {response.status}")
            return json.loads(response.body)
        finally:
            timer.cancel()

    def _disconnect(self) -> None:
        if self.connection:
            self.connection.close()
            self.connection = None

    # ------------------------------------------------------------ reading

    def _list_kind(self, tree: Any) -> ListKind:
        """Returns whether an answer is the whole list or changes to it. Raises ValueError if the answer does not say so
        unambiguously: part of a list taken for the whole would drop every other node, and changes older than what is
        known would bring back removed nodes."""
        complete, revision = tree["complete"], tree["revision"]
        if not isinstance(complete, bool) or type(revision) is not int or not 0 <= revision < NUMBER_LIMIT:
            raise ValueError("complete must be true or false, and revision a number")
        if not complete and revision < (self.revision or 0):
            raise ValueError(f"revision {revision} is older than {self.revision}")
        return ListKind.FULL if complete else ListKind.DELTA

    def _apply(self, tree: Any, kind: ListKind) -> None:
        # If a node is listed twice, the last entry counts.
        parsed = {member["id"]: self._parse_member(member) for member in _members(tree)}
        if len(parsed) + (len(self.reported) if kind is ListKind.DELTA else 0) > MAX_NODES:
            raise ValueError(f"more than {MAX_NODES} nodes")
        # Nothing is changed before the whole answer has been parsed.
        rows = [
            (node_id, replace(entry, endpoint=self.numbers.number_of(node_id)), address)
            for node_id, (entry, address) in parsed.items()
        ]
        if kind is not ListKind.DELTA:
            self.reported.clear()
        for node_id, entry, address in rows:
            if address:
                self.reported[node_id] = (entry, address)
            else:
                self.reported.pop(node_id, None)
        revision = tree.get("revision")
        self.revision = revision if isinstance(revision, int) else None
        changed = self.address_owners.update(self.reported) - parsed.keys()
        rows += [(node_id, *self.reported[node_id]) for node_id in changed if node_id in self.reported]
        self._publish(kind, rows)

    def _publish(self, kind: ListKind, rows: list[tuple[str, Entry, Address | None]]) -> None:
        """Passes on what discovery reports, with the operators' maintenance applied to it. A node at whose address
        another one has come up is gone, though it is still listed."""
        superseded = self.address_owners.superseded
        rows = [
            (node_id, replace(entry, state=State.GONE), None)
            if node_id in superseded
            else (node_id, entry, address)
            for node_id, entry, address in rows
        ]
        updates = [(self.maintenance.apply_to(node_id, entry), address) for node_id, entry, address in rows]
        for entry, address in updates:
            if address:
                self.addresses.set_node(entry.endpoint, address, entry.since_us, entry.zone)
        self.dispatcher.update_nodes(kind, self.revision or 0, tuple(entry for entry, _ in updates))
        for endpoint in self.dispatcher.unavailable_since:
            self.addresses.close_node(endpoint)
        for endpoint in self.dispatcher.forget_removed_nodes(MAX_REMOVED_NODES):
            self.addresses.forget_node(endpoint)
            self.numbers.forget(endpoint)

    # ------------------------------------------------------------ maintenance by operators

    def start_maintenance(self, node_id: str) -> bool:
        """Puts a node into maintenance: once this returns, no attempt is started on it. Returns False if the node is
        not known. Raises TooManyInMaintenance."""
        found = self.maintenance.start_maintenance(node_id, node_id in self.reported, clock())
        self._republish(node_id)
        return found

    def is_known(self, node_id: str) -> bool:
        """Whether discovery reports the node or it is in maintenance."""
        return node_id in self.reported or node_id in self.maintenance.started_at

    def start_maintenance_unlisted(self, node_id: str) -> None:
        """Puts a node into maintenance that only another process of this proxy has in its list yet."""
        self.maintenance.start_maintenance(node_id, True, clock())

    def end_maintenance(self, node_id: str) -> bool:
        """Ends the maintenance of a node: it is used again as discovery reports it, but counts as just started. Returns
        False if the node is not known."""
        reported = self.reported.get(node_id)
        found = self.maintenance.end_maintenance(node_id, reported[0] if reported else None, clock())
        self._republish(node_id)
        return found

    def _republish(self, node_id: str) -> None:
        """Passes on a node again after a change of its maintenance."""
        if node_id in self.reported:
            self._publish(ListKind.DELTA, [(node_id, *self.reported[node_id])])

    def _parse_member(self, member: Any) -> tuple[Entry, Address | None]:
        """Parses one member of an answer; its endpoint number is filled in later. Raises ValueError, KeyError,
        TypeError and ConfigError."""
        node_id, state = member["id"], STATE_BY_PHASE[member["phase"]]
        if (
            not isinstance(node_id, str)
            or not 0 < len(node_id) <= MAX_NODE_ID_LENGTH
            or not node_id.isprintable()
        ):
            raise ValueError("an id must be printable text")
        address = None if state is State.GONE else parse_address(member["host_port"], "host_port")
        # All hosts have synchronized clocks, and `clock` counts from the same epoch. 0 means long ago and stays 0.
        since = max(0, int(_number(member, "up_since_ms", 0))) * 1000
        entry = Entry(
            endpoint=0,
            state=state,
            since_us=since,
            weight=float(_number(member, "size", 1.0)),
            cell=int(_number(member, "cell", 0)),
            kind=self.config.kinds.get(str(member.get("flavor")), 0),
            zone=self.config.zones.get(str(member.get("locality")), 0),
        )
        return entry, address


def _members(tree: Any) -> list[Any]:
    members = tree["members"]
    if not isinstance(members, list):
        raise ValueError("members must be a list")
    return members


def _number(member: Any, key: str, default: float) -> float:
    value = member.get(key)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < NUMBER_LIMIT:
        raise ValueError(f"{key} must be a number")
    return value
