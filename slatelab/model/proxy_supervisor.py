"""Where a proxy stands: its name and its papers, whichever process runs there. It owns the lives of the
proxy, from its start to its end, and the facts of both. It must never look at a request."""

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

START_US = 400_000  # from its start until it answers ready, as the program takes on a machine of its own


class ProxySupervisor:
    """`proxy` is the process that has answered ready and not ended."""

    def __init__(self, world: SimulationContext, spec: ProxySpec, entries: Entries) -> None:
        self.context, self.clock, self.spec, self.entries = world, world.clock, spec, entries
        self.config = proxy_configuration(world, spec)
        self.methods = ["GET" if cls.effect == "safe" else "POST" for cls in world.scenario.classes]
        self.proxy: Proxy | None = None
        self.lives = 0
        self._coming: ScheduledCall | None = None
        self._wanted = False  # to be started when the one that stops has ended

    # ------------------------------------------------------------ lives

    def ready(self) -> None:
        """A process answers ready; it knows the nodes as discovery showed them when it was started."""
        self._not_coming()
        self.lives += 1
        seed = self.context.random_streams.stream("proxy", self.spec.name, self.lives).getrandbits(64)
        self.proxy = Proxy(self.context, self, seed)
        self.context.say(ProxyUp(self.clock.now, self.spec.name, self.spec.tier))
        self.proxy.join(self.context.random_streams.stream("peer", self.spec.name, self.lives))
        self.proxy.discovery_client.start(self.context.discovery.asides[self.spec.tier].rows)
        self.context.front_changes(self)

    def start(self) -> None:
        """Nothing if it runs; if it is stopping, as soon as it has ended."""
        if self.proxy:
            self._wanted = self.proxy.client_listener.stopping
        elif self._coming is None:
            self.context.discovery.asides[self.spec.tier].ask()
            self._coming = self.clock.call_at(self.clock.now + START_US, self.ready)

    def kill(self) -> None:
        self._not_coming()
        if self.proxy:
            self.proxy.end()
            self.ended("killed")

    def freeze(self, begins: bool) -> None:
        """SIGSTOP or SIGCONT; nothing if it does not run."""
        if self.proxy:
            self.proxy.freeze(begins)

    def _not_coming(self) -> None:
        if self._coming:
            self._coming.cancel()
            self._coming = None

    def ended(self, why: str) -> None:
        """The process has ended."""
        assert self.proxy
        self.proxy = None
        self.context.say(ProxyDown(self.clock.now, self.spec.name, why))
        self.context.front_changes(self)
        if self._wanted:
            self._wanted = False
            self.start()

    def stop(self) -> None:
        """SIGTERM."""
        self._not_coming()
        if self.proxy and not self.proxy.client_listener.stopping:
            self.context.say(ProxyDown(self.clock.now, self.spec.name, "planned"))
            self.proxy.stop()
            self.context.front_changes(self)

    def cut_short(self) -> None:
        """SIGKILL to one that has been told to stop and still runs."""
        if self.proxy and self.proxy.client_listener.stopping:
            self.kill()

    def reload(self) -> None:
        """SIGHUP with a configuration written anew, which is as the old one but for the nodes known at its
        start."""
        if self.proxy:
            self.proxy.apply_settings()


def proxy_configuration(world: SimulationContext, spec: ProxySpec) -> ProxyConfig:
    """The configuration as the program's reader would have read it from its file."""
    tree = build_config(world.scenario, spec, "", "", [], "0")
    raw = tree["settings"]
    classes = {name: i for i, name in enumerate(world.classes)}
    accounts = {tenant.name: i for i, tenant in enumerate(world.scenario.tenants)}
    here = ("127.0.0.1", 1)  # no address is ever used
    return ProxyConfig(
        name=spec.name, listen=here, discovery=here, seed=0, sockets=tree["limits"]["sockets"],
        memory_mb=tree["limits"]["memory_mb"], known={}, settings=parse_settings("\n".join(flatten(raw))),
        classes=classes, accounts=accounts, kinds={}, zones={}, max_open=raw["allowed"]["max_open"],
        conn_idle_us=raw["allowed"]["conn_idle_us"], all_classes=classes, all_accounts=accounts,
    )  # fmt: skip
