"""The command line: builds the components, connects them and handles signals. It defines the order in which the
components start and stop. It makes no decision about a job, and the process ends only when no job is open."""

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
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from .. import __version__
from ..core.dispatcher import Dispatcher
from ..core.memory import MemoryBudget
from ..core.recovery import RecoveryConfig
from ..decisions.maintenance import Maintenance
from ..decisions.resource_budget import (
    MANAGEMENT_DESCRIPTORS,
    RESERVED_DESCRIPTORS,
    process_memory_mb,
    split_budget,
)
from ..discovery.node_list import NodeList
from ..drivers.dispatcher import DispatcherDriver
from ..drivers.memory_monitor import MemoryMonitor
from ..fronts.http1.server import HttpServer
from ..fronts.listener import listen
from ..nodes.http1 import NodePool
from ..observe.log import configure, error_location, log_event
from ..settings.reader import Address, ConfigError, ProxyConfig, load_config, merge_reloaded
from .management import Management
from .peers import FleetLifecycle
from .promises import CopiesLifecycle
from .recorder_lifecycle import RecorderLifecycle

BYTES_PER_MB = 1 << 20


def _load_or_exit(own: str | None) -> ProxyConfig:
    try:
        return load_config(os.environ, own)
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)


def raise_descriptor_limit(config: ProxyConfig) -> int:
    """The number of file descriptors that this process may hold. Raises the soft limit where it is lower than that."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = config.sockets if hard == resource.RLIM_INFINITY else min(config.sockets, hard)
    if limit > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    return limit


def resource_shares(config: ProxyConfig, shared_with_process: bool = False) -> tuple[int, int, int]:
    """Descriptors for callers, descriptors for nodes, and bytes for requests in progress. The memory of the flight
    recorder, the fleet and the copies is subtracted first. `shared_with_process`: a second process of this proxy uses
    half of the limits during a hot restart, and needs the memory of the program itself a second time."""
    processes = 2 if shared_with_process else 1
    own = RESERVED_DESCRIPTORS + (MANAGEMENT_DESCRIPTORS if config.mgmt else 0)
    reserved_mb = (
        config.operator.recorder.memory_mb
        + config.operator.fleet.memory_mb
        + config.operator.copies.memory_mb
    )
    return split_budget(
        raise_descriptor_limit(config) // processes, config.memory_mb // processes - reserved_mb, own
    )


def process_memory_limit(config: ProxyConfig, shared_with_process: bool) -> int:
    """The bytes that this process may take in all. `shared_with_process`: another one of this proxy is connected."""
    return process_memory_mb(config.memory_mb, config.mgmt is not None, shared_with_process) * BYTES_PER_MB


def recovery(config: ProxyConfig) -> RecoveryConfig:
    """The storm detection and retry advice that the operator's file enables."""
    storms = config.operator.storms
    return RecoveryConfig(storms.watch, storms.advice)  # type: ignore[arg-type]  # checked by the reader


def configure_log(config: ProxyConfig) -> None:
    """Applies the log settings; each line names the proxy and its tier."""
    configure(**asdict(config.operator.log), proxy=config.name, tier=config.settings.tier)


def log_uncaught(context: Any, kind: type[BaseException], problem: BaseException | None, trace: Any) -> None:
    """Logs an uncaught exception. gevent's own handler would print it to standard error, which can block."""
    problem = (problem or kind()).with_traceback(trace)
    log_event(
        "fault",
        f"uncaught {kind.__name__}: {problem}",
        "error",
        by=context,
        where=error_location(problem),
    )


def run_on_event(event: Event, act: Callable[[], None]) -> None:
    """Calls `act` each time the event is set. Runs forever, in its own greenlet."""
    while True:
        event.wait()
        event.clear()
        act()


class SettingsReloader:
    """Reads and checks all settings again, and only then replaces them, all at once. If any of them is wrong, the old
    settings stay in force and a log line names the key."""

    def __init__(
        self, own: str | None, recorder: RecorderLifecycle, node_list: NodeList, node_pool: NodePool,
        http_server: HttpServer, management: Management, peers: FleetLifecycle, copies: CopiesLifecycle,
    ) -> None:  # fmt: skip
        self.peers, self.copies = peers, copies
        self.own, self.recorder, self.node_list, self.node_pool, self.http_server = (
            own,
            recorder,
            node_list,
            node_pool,
            http_server,
        )
        self.management = management
        self.reload_lock = BoundedSemaphore()

    def close(self) -> None:
        """Waits for a reload in progress and prevents further ones. Stopping halfway through a reload would leave a
        listener that nothing closes."""
        self.reload_lock.acquire()

    def __call__(self) -> None:
        with self.reload_lock:
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
        config = load_config(os.environ, self.own)
        self.node_list.validate_known(config)
        old = self.http_server.config
        # Port 0 was resolved to a free port at the start; an unchanged 0 does not request another port.
        listener = (
            bind_or_reject("listen", self.http_server.bind, config.listen)
            if config.listen != old.listen
            else None
        )
        mgmt = None
        try:
            mgmt = (
                bind_or_reject("mgmt", listen, config.mgmt)
                if config.mgmt and config.mgmt != old.mgmt
                else None
            )
            config = merge_reloaded(old, config)
            callers, nodes, bytes_held = resource_shares(config, self.management.shared_with_process)
            self.copies.check(config)
            self.recorder.apply_settings(config)
            self.peers.apply_settings(config)  # the last step that can still reject the settings
        except Exception:
            for sock in filter(None, (listener, mgmt)):
                sock.close()
            raise
        if config.mgmt != old.mgmt:
            self.management.open(mgmt)
        configure_log(config)
        self.http_server.dispatcher.apply_settings(config.settings, config.max_open, recovery(config))
        self.node_pool.apply_settings(config, nodes)
        self.copies.apply_settings(config)
        self.node_list.apply_settings(config)
        self.http_server.apply_settings(config, callers, bytes_held, listener)
        log_event("settings", "read again and in force")


def bind_or_reject(key: str, bind: Callable[[Address], Any], place: Address) -> Any:
    """A listener at the address of this settings key. Raises ConfigError where the address cannot be bound."""
    try:
        return bind(place)
    except OSError as problem:
        raise ConfigError(f"{key}: {problem}") from None


# How long a process that takes over, or whose lists are pushed, waits for discovery before it serves: the stored list
# may be old and name nodes that are draining.
DISCOVERY_WAIT_S = 1.5
operator_file_option = click.option(
    "--operator", "own", metavar="FILE", help="The operator's own file [SLATEHUB_OPERATOR]."
)


LAZY_COMMANDS = ("copies", "fleet", "store")


class Commands(click.Group):
    """Imports the modules of the operators' commands only when they are called: `serve` needs none of them."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LAZY_COMMANDS:
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
@operator_file_option
def check_config(own: str | None) -> None:
    """Reads the settings as serve would, and says what is wrong; exit 2 if anything is."""
    config = _load_or_exit(own)
    s = config.settings
    try:
        CopiesLifecycle.check(config)
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)
    click.echo(
        f"{config.name}: tier {s.tier} of {s.tiers}, {len(s.classes)} classes, {len(s.tenants)} accounts"
    )
    click.echo(f"at most {config.sockets} descriptors, {config.memory_mb} MB: good")


@main.command()
@operator_file_option
def serve(own: str | None) -> None:
    """Serves until SIGTERM or SIGINT, then finishes the open jobs. SIGHUP reloads the settings, SIGUSR2 writes the
    flight recording."""
    reload_requested, recording_requested = Event(), Event()
    # Installed before anything else: unhandled, these two signals would end the program.
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    gevent.signal_handler(signal.SIGUSR2, recording_requested.set)
    config = _load_or_exit(own)
    configure_log(config)
    # gevent documents this method as replaceable.
    setattr(gevent.get_hub(), "print_exception", log_uncaught)  # noqa: B010
    sys.unraisablehook = lambda args: log_uncaught(
        args.object, args.exc_type, args.exc_value, args.exc_traceback
    )
    callers, nodes, bytes_held = resource_shares(config)
    memory = MemoryBudget(bytes_held)
    dispatcher = Dispatcher(config.settings, config.seed, config.max_open, recovery(config))
    driver = DispatcherDriver(dispatcher)
    node_pool = NodePool(config, driver, nodes, memory)
    maintenance = Maintenance()
    node_list = NodeList(config, driver, node_pool, maintenance)
    http_server = HttpServer(config, driver, callers, memory)
    recorder = RecorderLifecycle(dispatcher, driver.node_ids)
    peers = FleetLifecycle(config, driver)
    copies = CopiesLifecycle(config, driver, peers)
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    driver.start(node_pool, node_list)
    management = Management(
        lambda shared_with_process: resource_shares(http_server.config, shared_with_process),
        maintenance,
        node_list,
        http_server,
        node_pool,
        peers,
        copies,
    )
    memory_monitor = MemoryMonitor(
        memory,
        lambda: process_memory_limit(http_server.config, management.shared_with_process),
        http_server.unreceived_bytes,
        lambda: len(http_server.connections) + node_pool.open_connections,
    )
    try:
        copies.check(config)
        recorder.apply_settings(config)
        peers.apply_settings(config)
        copies.apply_settings(config)
        inherited = management.inherit() if config.mgmt else None
        node_list.load_known()
        if inherited or config.settings.pushed_discovery:
            node_list.updated.wait(DISCOVERY_WAIT_S)
        http_server.start(inherited and inherited.listener)
        if config.mgmt:
            management.take_over(inherited)
            management.open(bind_or_reject("mgmt", listen, config.mgmt))
        peers.serve()
        copies.serve()
    except ConfigError as problem:
        click.echo(f"slatehub: {problem}", err=True)
        sys.exit(2)
    except OSError as problem:
        click.echo(f"slatehub: listen: {problem}", err=True)
        sys.exit(1)
    gc.collect()
    gc.freeze()  # the objects loaded so far live to the end; scanning them at each collection would only add pauses
    memory_monitor.start()
    host, port = http_server.listener.getsockname()[:2]
    log_event("start", f"{config.name} listens on {host}:{port}, tier {config.settings.tier}")
    reload_settings = SettingsReloader(
        own, recorder, node_list, node_pool, http_server, management, peers, copies
    )
    gevent.spawn(run_on_event, reload_requested, reload_settings)
    gevent.spawn(run_on_event, recording_requested, recorder.write_requested)
    stop_requested.wait()
    reload_settings.close()
    log_event("stop", f"finishing {len(driver.job_table.by_request_id)} jobs in hand")
    http_server.stop()
    copies.stop()
    peers.stop()
    recorder.finish()
    log_event(
        "stop",
        f"done after {driver.job_table.last_number} jobs, {node_pool.attempts_sent} attempts, "
        f"{node_pool.connections_opened} connections to nodes",
        highest_private_bytes=memory_monitor.highest,
    )
