"""What a change of the fault schedule means for the net between proxies; the same in both engines."""

from __future__ import annotations

from collections.abc import Iterable

from slatelab.plant.faults import FaultEvent

from .network import PeerNetwork


def apply_change(net: PeerNetwork, change: FaultEvent, everybody: Iterable[str], usual_lost: float) -> None:
    """`everybody`: the proxies that are on the net. Those of another tier hear nothing of each other anyway."""
    if change.kind == "peer-lossy":
        net.faults.loss = change.spec.part if change.is_start else usual_lost
    elif change.is_start:
        others = [name for name in everybody if name not in change.targets]
        net.partition(change.fault, change.targets, others, change.kind == "peer-cut")
    else:
        net.heal(change.fault)
