"""Starts and stops the process of one proxy, and keeps its name and configuration across restarts. It records the
start and end of each process. It doesn't handle requests."""

from __future__ import annotations

from paddlestep.wire import parse_settings
from slatehub.settings.reader import ProxyConfig, flatten
from slatelab.plant.fleet import ProxySpec
from slatelab.plant.settings import build_config
from slatelab.records import ProxyDown, ProxyUp

from .discovery_client import Entries
from .proxy import Proxy
from .virtual_clock import ScheduledCall
from .world import SimulationContext

STARTUP_US = 400_000  # from start to ready, as long as the real proxy takes on a machine of its own


class ProxySupervisor:
    """`proxy` is the process that is ready and has not ended, None if there is none."""

    def __init__(self, context: SimulationContext, spec: ProxySpec, entries: Entries) -> None:
        self.context, self.clock, self.spec, self.entries = context, context.clock, spec, entries
        self.config = proxy_configuration(context, spec)
        self.methods = ["GET" if cls.effect == "safe" else "POST" for cls in context.scenario.classes]
        self.proxy: Proxy | None = None
        self.lives = 0
        self._pending_start: ScheduledCall | None = None
        self._restart_when_ended = False  # to be started once the stopping process has ended

    # ------------------------------------------------------------ starts and stops

    def ready(self) -> None:
        """A process becomes ready. It has the node list that discovery gave when the process was started."""
        self._cancel_pending_start()
        self.lives += 1
        seed = self.context.random_streams.stream("proxy", self.spec.name, self.lives).getrandbits(64)
        self.proxy = Proxy(self.context, self, seed)
        self.context.add_record(ProxyUp(self.clock.now, self.spec.name, self.spec.tier))
        self.proxy.join_peers(self.context.random_streams.stream("peer", self.spec.name, self.lives))
        self.proxy.discovery_client.start(self.context.discovery.pollers[self.spec.tier].rows)
        self.context.on_proxy_change(self)

    def start(self) -> None:
        """Starts a process unless one runs; if one is stopping, as soon as that has ended."""
        if self.proxy:
            self._restart_when_ended = self.proxy.client_listener.stopping
        elif self._pending_start is None:
            self.context.discovery.pollers[self.spec.tier].poll()
            self._pending_start = self.clock.call_at(self.clock.now + STARTUP_US, self.ready)

    def kill(self) -> None:
        self._cancel_pending_start()
        if self.proxy:
            self.proxy.end()
            self.process_ended("killed")

    def freeze(self, frozen: bool) -> None:
        """SIGSTOP or SIGCONT; no effect if no process runs."""
        if self.proxy:
            self.proxy.freeze(frozen)

    def _cancel_pending_start(self) -> None:
        if self._pending_start:
            self._pending_start.cancel()
            self._pending_start = None

    def process_ended(self, reason: str) -> None:
        """The process has ended."""
        assert self.proxy
        self.proxy = None
        self.context.add_record(ProxyDown(self.clock.now, self.spec.name, reason))
        self.context.on_proxy_change(self)
        if self._restart_when_ended:
            self._restart_when_ended = False
            self.start()

    def stop(self) -> None:
        """SIGTERM."""
        self._cancel_pending_start()
        if self.proxy and not self.proxy.client_listener.stopping:
            self.context.add_record(ProxyDown(self.clock.now, self.spec.name, "planned"))
            self.proxy.stop()
            self.context.on_proxy_change(self)

    def kill_if_stopping(self) -> None:
        """SIGKILL to a process that is stopping and has not ended."""
        if self.proxy and self.proxy.client_listener.stopping:
            self.kill()

    def reload(self) -> None:
        """SIGHUP with a newly written configuration, which differs from the old one only in the nodes known at the
        start."""
        if self.proxy:
            self.proxy.apply_settings()


def proxy_configuration(context: SimulationContext, spec: ProxySpec) -> ProxyConfig:
    """The configuration as the proxy's settings reader would load it from its file."""
    tree = build_config(context.scenario, spec, "", "", [], "0")
    raw = tree["settings"]
    classes = {name: i for i, name in enumerate(context.classes)}
    accounts = {tenant.name: i for i, tenant in enumerate(context.scenario.tenants)}
    unused_address = ("127.0.0.1", 1)  # no address is ever used
    return ProxyConfig(
        name=spec.name, listen=unused_address, discovery=unused_address, seed=0, sockets=tree["limits"]["sockets"],
        memory_mb=tree["limits"]["memory_mb"], known={}, settings=parse_settings("\n".join(flatten(raw))),
        classes=classes, accounts=accounts, kinds={}, zones={}, max_open=raw["allowed"]["max_open"],
        conn_idle_us=raw["allowed"]["conn_idle_us"], all_classes=classes, all_accounts=accounts,
    )  # fmt: skip
