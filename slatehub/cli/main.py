"""The command line: wiring and signals. It owns the order in which the parts start and stop. It must never decide
about a job, and never end with a job in hand."""

from __future__ import annotations

import gc
import os
import resource
import signal
import sys
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import click
import gevent
from gevent.event import Event as Bell
from gevent.lock import BoundedSemaphore

from .. import __version__
from ..core.dispatcher import Dispatcher
from ..core.recovery import RecoveryConfig
from ..decisions.maintenance import Maintenance
from ..decisions.resource_budget import MANAGEMENT_DESCRIPTORS, RESERVED_DESCRIPTORS, split_budget
from ..discovery.node_list import NodeList
from ..drivers.dispatcher import DispatcherDriver
from ..fronts.http1.server import HttpServer
from ..fronts.listener import listen
from ..nodes.http1 import NodePool
from ..observe.log import configure, error_location, log_event
from ..settings.reader import Address, ConfigError, ProxyConfig, load_config, merge_reloaded
from .management import Management
from .peers import Peers
from .promises import Promises
from .recorder_lifecycle import Flights


def _plant(own: str | None) -> ProxyConfig:
    try:
        return load_config(os.environ, own)
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)


def descriptors(plant: ProxyConfig) -> int:
    """How many this process may hold; the soft limit is raised where it stands in the way."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = plant.sockets if hard == resource.RLIM_INFINITY else min(plant.sockets, hard)
    if limit > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    return limit


def resource_shares(plant: ProxyConfig, linked: bool = False) -> tuple[int, int, int]:
    """Descriptors of callers and of nodes, and bytes of requests in hand. What is recorded takes room from these.
    `linked`: half of it, as another process of this proxy has the rest."""
    own = RESERVED_DESCRIPTORS + (MANAGEMENT_DESCRIPTORS if plant.mgmt else 0)
    own_mb = (
        plant.operator.recorder.memory_mb + plant.operator.fleet.memory_mb + plant.operator.copies.memory_mb
    )
    callers, nodes, held = split_budget(descriptors(plant), plant.memory_mb - own_mb, own)
    return (callers // 2, nodes // 2, held // 2) if linked else (callers, nodes, held)


def recovery(plant: ProxyConfig) -> RecoveryConfig:
    storms = plant.operator.storms
    return RecoveryConfig(storms.watch, storms.advice)  # type: ignore[arg-type]  # checked by the reader


def settle_log(plant: ProxyConfig) -> None:
    configure(**asdict(plant.operator.log), proxy=plant.name, tier=plant.settings.tier)


def unforeseen(context: Any, kind: type[BaseException], problem: BaseException | None, trace: Any) -> None:
    """What nobody caught, as a line of the log. gevent would print it to standard error, and wait there if need be."""
    problem = (problem or kind()).with_traceback(trace)
    log_event(
        "fault",
        f"nobody caught {kind.__name__}: {problem}",
        "error",
        by=context,
        where=error_location(problem),
    )


def each(bell: Bell, act: Callable[[], None]) -> None:
    """Each time the bell rings. For a greenlet of its own."""
    while True:
        bell.wait()
        bell.clear()
        act()


class SettingsReloader:
    """Reads the settings again, whole, and checks them, and only then swaps them, all at once. If anything is wrong,
    the old ones stay in force and a line names the key."""

    def __init__(
        self, own: str | None, flights: Flights, listing: NodeList, room: NodePool, hall: HttpServer,
        management: Management, peers: Peers, promises: Promises,
    ) -> None:  # fmt: skip
        self.peers, self.promises = peers, promises
        self.own, self.flights, self.node_list, self.node_pool, self.http_server = (
            own,
            flights,
            listing,
            room,
            hall,
        )
        self.management = management
        self.at_work = BoundedSemaphore()

    def close(self) -> None:
        """None begins any more, and one that has begun is through: half a swap would leave a listener that nobody
        looks after."""
        self.at_work.acquire()

    def __call__(self) -> None:
        with self.at_work:
            self._try()

    def _try(self) -> None:
        try:
            self._reload()
        except ConfigError as problem:
            log_event("settings", f"not taken, the old ones stay in force: {problem}", "error")
        except Exception as problem:
            log_event(
                "fault",
                f"new settings: {type(problem).__name__}: {problem}",
                "error",
                where=error_location(problem),
            )

    def _reload(self) -> None:
        plant = load_config(os.environ, self.own)
        self.node_list.validate_known(plant)
        old = self.http_server.config
        # Port 0 asked for any port once; it does not ask for another one now.
        listener = (
            bound("listen", self.http_server.bind, plant.listen) if plant.listen != old.listen else None
        )
        mgmt = None
        try:
            mgmt = bound("mgmt", listen, plant.mgmt) if plant.mgmt and plant.mgmt != old.mgmt else None
            plant = merge_reloaded(old, plant)
            callers, nodes, bytes_held = resource_shares(plant, self.management.linked)
            self.promises.check(plant)
            self.flights.settle(plant)
            self.peers.settle(plant)  # the last that may still find something wrong
        except Exception:
            for sock in filter(None, (listener, mgmt)):
                sock.close()
            raise
        if plant.mgmt != old.mgmt:
            self.management.open(mgmt)
        settle_log(plant)
        self.http_server.dispatcher.apply_settings(plant.settings, plant.max_open, recovery(plant))
        self.node_pool.apply_settings(plant, nodes)
        self.promises.settle(plant)
        self.node_list.apply_settings(plant)
        self.http_server.apply_settings(plant, callers, bytes_held, listener)
        log_event("settings", "read again and in force")


def bound(key: str, bind: Callable[[Address], Any], place: Address) -> Any:
    """A listener at the address that this key names. ConfigError where it cannot be had."""
    try:
        return bind(place)
    except OSError as problem:
        raise ConfigError(f"{key}: {problem}") from None


LIST_S = 1.5  # for discovery to answer a process that takes over, or whose lists are pushed: what discovery has then
# counts as told from the first moment, and an old list may name nodes that drain
own_file = click.option(
    "--operator", "own", metavar="FILE", help="The operator's own file [SLATEHUB_OPERATOR]."
)


LATE = ("copies", "fleet", "store")


class Commands(click.Group):
    """Loads what operators ask with only where it is asked for: serving needs none of it."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LATE])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LATE:
            return super().get_command(ctx, cmd_name)
        from importlib import import_module

        found: click.Command = getattr(import_module(f".{cmd_name}", __package__), cmd_name)
        return found


@click.group(cls=Commands)
def main() -> None:
    """The proxy of the Catania plant; EDGE_CONFIG names its settings."""


@main.command()
def version() -> None:
    """Prints the version."""
    click.echo(f"slatehub {__version__}")


@main.command("check-config")
@own_file
def check_config(own: str | None) -> None:
    """Reads the settings as serve would, and says what is wrong; exit 2 if anything is."""
    plant = _plant(own)
    s = plant.settings
    try:
        Promises.check(plant)
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)
    click.echo(
        f"{plant.name}: tier {s.tier} of {s.tiers}, {len(s.classes)} classes, {len(s.tenants)} accounts"
    )
    click.echo(f"at most {plant.sockets} descriptors, {plant.memory_mb} MB: good")


@main.command()
@own_file
def serve(own: str | None) -> None:
    """Serves until SIGTERM or SIGINT, then finishes what is in hand. SIGHUP has the settings read again, SIGUSR2 the
    flight recording written."""
    renewal, asked = Bell(), Bell()
    gevent.signal_handler(
        signal.SIGHUP, renewal.set
    )  # first of all: unhandled, these two would end the program
    gevent.signal_handler(signal.SIGUSR2, asked.set)
    plant = _plant(own)
    settle_log(plant)
    setattr(gevent.get_hub(), "print_exception", unforeseen)  # noqa: B010  # it is meant to be replaced
    sys.unraisablehook = lambda args: unforeseen(
        args.object, args.exc_type, args.exc_value, args.exc_traceback
    )
    callers, nodes, bytes_held = resource_shares(plant)
    core = Dispatcher(plant.settings, plant.seed, plant.max_open, recovery(plant))
    desk = DispatcherDriver(core)
    room = NodePool(plant, desk, nodes)
    by_hand = Maintenance()
    listing = NodeList(plant, desk, room, by_hand)
    hall = HttpServer(plant, desk, callers, bytes_held)
    flights = Flights(core, desk.node_ids)
    peers = Peers(plant, desk)
    promises = Promises(plant, desk, peers)
    stop = Bell()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    desk.start(room, listing)
    management = Management(
        lambda linked: resource_shares(hall.config, linked), by_hand, listing, hall, room, peers, promises
    )
    try:
        promises.check(plant)
        flights.settle(plant)
        peers.settle(plant)
        promises.settle(plant)
        estate = management.inherit() if plant.mgmt else None
        listing.load_known()
        if estate or plant.settings.pushed_discovery:
            listing.updated.wait(LIST_S)
        hall.start(estate and estate.listener)
        if plant.mgmt:
            management.take_over(estate)
            management.open(bound("mgmt", listen, plant.mgmt))
        peers.serve()
        promises.serve()
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)
    except OSError as problem:
        click.echo(f"slatehub: listen: {problem}", err=True)
        sys.exit(1)
    gc.collect()
    gc.freeze()  # what is loaded now stays; collecting it again and again would only cost pauses
    host, port = hall.listener.getsockname()[:2]
    log_event("start", f"{plant.name} listens on {host}:{port}, tier {plant.settings.tier}")
    renew_all = SettingsReloader(own, flights, listing, room, hall, management, peers, promises)
    gevent.spawn(each, renewal, renew_all)
    gevent.spawn(each, asked, flights.asked)
    stop.wait()
    renew_all.close()
    log_event("stop", f"finishing {len(desk.job_table.by_request_id)} jobs in hand")
    hall.stop()
    promises.leave()
    peers.leave()
    flights.finish()
    log_event(
        "stop",
        f"done after {desk.job_table.last_number} jobs, {room.attempts_sent} attempts, "
        f"{room.connections_opened} connections to nodes",
    )
