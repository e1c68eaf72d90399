"""The configuration of a proxy: the JSON that `slatehub` reads when it starts, and discovery's entries. They
contain only what a proxy in production has too, so no speeds, no faults and no state of other proxies."""

from __future__ import annotations

from typing import Any

from slatelab.scenario import Class, Scenario, Tier

from .fleet import NodeSpec, ProxySpec

ZONE = "machine-room"  # the only zone


def build_settings(scenario: Scenario, proxy: ProxySpec) -> dict[str, Any]:
    """The "settings" object. Times are microseconds, rates per second."""
    tier = scenario.tiers[proxy.tier]
    return {
        "allowed": _allowed(scenario),
        "services": [_service(cls) for cls in scenario.classes],
        "tenants": _tenants(scenario),
        "obligations": _obligations(scenario, tier),
        "over_share_worth": scenario.proxy.over_share_worth,
        "client_habits": {"marks_retry": scenario.clients.marks_retry},
        "report": {"columns": ["qps", "util"], "source": "answers"},
        "kinds": [kind.name for kind in tier.kind],
        "zones": [ZONE],
        "stages": [tier.name for tier in scenario.tiers],
        "tier": proxy.tier,
        "me": proxy.index,
        "siblings": proxy.sibling_count,
        "my_zone": 0,
        "tick_us": scenario.proxy.tick,
        "discovery": "on_request",
        "family_info": {"passes_deadline": scenario.proxy.passes_deadline},
    }


def build_config(
    scenario: Scenario,
    proxy: ProxySpec,
    listen: str,
    discovery: str,
    members: list[dict[str, Any]],
    seed: str,
) -> dict[str, Any]:
    """The content of the file that EDGE_CONFIG names. `listen` and `discovery` are host:port, `members` the last
    known nodes of the proxy's tier, `seed` is hexadecimal."""
    return {
        "name": proxy.name,
        "listen": listen,
        "discovery": discovery,
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": scenario.proxy.memory_mb, "sockets": scenario.proxy.sockets},
        "known": {"revision": 0, "complete": True, "members": members},
        "settings": build_settings(scenario, proxy),
    }


def member_entry(spec: NodeSpec, host_port: str, phase: str, up_since_ms: int) -> dict[str, Any]:
    """One node as discovery describes it. `phase` is SERVING, DRAINING or DELETED; `up_since_ms` is Unix time, 0:
    long ago."""
    return {
        "id": spec.id,
        "host_port": host_port,
        "locality": ZONE,
        "flavor": spec.kind.name,
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


def _allowed(scenario: Scenario) -> dict[str, Any]:
    proxy = scenario.proxy
    return {
        "max_attempts": proxy.attempts,
        "may_cancel": proxy.cancel,
        "may_duplicate": proxy.second_copies,
        "probing": proxy.probes,
        "peer_messages": False,
        "retry_after": proxy.retry_after,
        "max_retry_after_us": proxy.max_retry_after,
        "connect_timeout_us": proxy.connect_timeout,
        "conn_idle_us": proxy.idle_close,
        "max_open": proxy.max_open,
    }


def _service(cls: Class) -> dict[str, Any]:
    return {
        "name": cls.name,
        "idempotency": "retryable" if cls.effect == "safe" else "fragile",
        "slo_us": cls.aim,
        "hard_limit_us": cls.deadline,
        "points": cls.worth,
        "late_worth": 0.0,
        "streamed": False,
    }


def _tenants(scenario: Scenario) -> list[dict[str, Any]]:
    total_share = sum(tenant.share for tenant in scenario.tenants)
    return [
        {"name": tenant.name, "share": tenant.share / total_share, "allowance_per_s": tenant.allowance}
        for tenant in scenario.tenants
    ]


def _obligations(scenario: Scenario, tier: Tier) -> dict[str, Any]:
    rules = scenario.rules
    return {
        "answer_slack_us": rules.answer_slack,
        "ask_every_us": rules.ask_every,
        "drain_grace_us": rules.drain_grace,
        "fall_multiple": rules.fall_multiple,
        "tip_after_us": rules.fall_window,
        "cold_from": min(kind.cold.share for kind in tier.kind),
        "warm_after_us": max(kind.cold.span for kind in tier.kind),
    }
