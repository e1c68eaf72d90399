"""The command line: wiring and signals. It owns the order in which the parts start and stop. It must never decide
about a job, and never end with a job in hand."""

from __future__ import annotations

import gc
import os
import resource
import signal
import sys

import click
import gevent
from gevent.event import Event as Bell

from . import __version__
from .config import ConfigError, Plant, load, renew
from .machine_room import MachineRoom
from .node_list import NodeList
from .order_screens import OrderHall
from .sales_desk import SalesDesk, say

OWN_FILES = 32  # descriptors for the log, the event loop, the listener, discovery and what is just closing


def _plant() -> Plant:
    try:
        return load(os.environ)
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)


OWN_MB = 18  # the program itself with its nodes and its list, 14 MB as measured
LINE_KB = 24  # a connection with its greenlets, its parser and nothing in hand, 20 KB as measured


def budget(sockets: int, memory_mb: int) -> tuple[int, int, int]:
    """How many descriptors callers and nodes may have each, and how many bytes of requests may be in hand. Callers get
    more, as the connections to nodes are used in turn; a third of all is what their requests may need at once, the rest
    is for those who only keep one open. Half of the memory that is left is for requests, half for their answers."""
    spare = sockets - OWN_FILES
    callers = spare * 3 // 5
    free_kb = (memory_mb - OWN_MB) * 1024 - spare * LINE_KB
    return callers, spare - callers, max(1024, free_kb // 2) * 1024


def descriptors(plant: Plant) -> int:
    """How many this process may hold; the soft limit is raised where it stands in the way."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = plant.sockets if hard == resource.RLIM_INFINITY else min(plant.sockets, hard)
    if limit > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    return limit


def renew_on(bell: Bell, desk: SalesDesk, room: MachineRoom, listing: NodeList, hall: OrderHall) -> None:
    """Each time the bell rings, reads the settings whole and checks them, and only then swaps them, all at once. If
    anything is wrong with them, the old ones stay in force and a line names the key."""
    while True:
        bell.wait()
        bell.clear()
        try:
            plant = load(os.environ)
            listing.check(plant)
            try:
                # Port 0 asked for any port once; it does not ask for another one now.
                listener = hall.bind(plant.listen) if plant.listen != hall.plant.listen else None
            except OSError as problem:
                raise ConfigError(f"listen: {problem}") from None
            plant = renew(hall.plant, plant)
            callers, nodes, bytes_held = budget(descriptors(plant), plant.memory_mb)
            desk.resettle(plant.settings, plant.max_open)
            room.resettle(plant, nodes)
            listing.resettle(plant)
            hall.resettle(plant, callers, bytes_held, listener)
            say("settings", "read again and in force")
        except ConfigError as problem:
            say("settings", f"not taken, the old ones stay in force: {problem}")
        except Exception as problem:
            say("fault", f"new settings: {type(problem).__name__}: {problem}")


@click.group()
def main() -> None:
    """The proxy of the Catania plant; EDGE_CONFIG names its settings."""


@main.command()
def version() -> None:
    """Prints the version."""
    click.echo(f"slatehub {__version__}")


@main.command("check-config")
def check_config() -> None:
    """Reads the settings as serve would, and says what is wrong; exit 2 if anything is."""
    plant = _plant()
    s = plant.settings
    click.echo(f"{plant.name}: tier {s.tier} of {s.tiers}, {len(s.classes)} classes, {len(s.tenants)} accounts")
    click.echo(f"at most {plant.sockets} descriptors, {plant.memory_mb} MB: good")


@main.command()
def serve() -> None:
    """Serves until SIGTERM or SIGINT, then finishes what is in hand. SIGHUP has the settings read again."""
    renewal = Bell()
    gevent.signal_handler(signal.SIGHUP, renewal.set)  # first of all: unhandled, it would end the program
    plant = _plant()
    callers, nodes, bytes_held = budget(descriptors(plant), plant.memory_mb)
    desk = SalesDesk(plant.settings, plant.seed, plant.max_open)
    room = MachineRoom(plant, desk, nodes)
    listing = NodeList(plant, desk, room)
    hall = OrderHall(plant, desk, callers, bytes_held)
    stop = Bell()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    desk.open(room, listing)
    try:
        listing.start()
        hall.open()
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)
    except OSError as problem:
        click.echo(f"slatehub: listen: {problem}", err=True)
        sys.exit(1)
    gc.collect()
    gc.freeze()  # what is loaded now stays; collecting it again and again would only cost pauses
    host, port = hall.listener.getsockname()[:2]
    say("start", f"{plant.name} listens on {host}:{port}, tier {plant.settings.tier}")
    renewer = gevent.spawn(renew_on, renewal, desk, room, listing, hall)
    stop.wait()
    renewer.kill()
    say("stop", f"finishing {len(desk.ledger.names)} jobs in hand")
    hall.stop()
    say("stop", f"done after {desk.ledger.last} jobs, {room.attempts} attempts, {room.opened} connections to nodes")
