"""Applies changes of the fault schedule to the network between proxies; the same in both engines."""

from __future__ import annotations

from collections.abc import Iterable

from slatelab.plant.faults import FaultEvent

from .network import PeerNetwork


def apply_change(net: PeerNetwork, change: FaultEvent, proxy_names: Iterable[str], usual_loss: float) -> None:
    """Applies one change. `proxy_names`: all proxies on the network; those of different tiers exchange no
    datagrams in any case. `usual_loss`: the loss without a fault."""
    if change.kind == "peer-lossy":
        net.faults.loss = change.spec.part if change.is_start else usual_loss
    elif change.is_start:
        others = [name for name in proxy_names if name not in change.targets]
        net.partition(change.fault, change.targets, others, change.kind == "peer-cut")
    else:
        net.heal(change.fault)
