"""Stored names of the decision module's attributes.

A flight recording holds the state of a Balancer as a pickle, so the attribute names of Balancer, Server, Request and
Attempt are part of the file format. The format keeps the names of the first recordings. This module maps between them
and the attributes of the classes in paddlestep/balance.py. An attribute that is not listed is stored under its own
name; a renamed attribute needs a line here.
"""

from __future__ import annotations

from typing import Any

# Class name to attribute to stored name.
STORED_NAMES: dict[str, dict[str, str]] = {
    "Balancer": {
        "settings": "set",
        "preferred": "near",
        "recent_responders": "recent",
        "free_slots": "free",
        "service_rate": "flow",
        "error_score_sum": "badness",
        "ejected_count": "out_count",
        "refresh_turn": "turn",
        "in_flight": "inflight",
        "occupied_slots": "taken",
        "mean_occupied_slots": "used",
        "owners_per_server": "owners",
        "sidecars_per_server": "users",
        "rejection_rate": "turned",
        "connect_failure_rate": "unlinked",
        "timers": "heap",
        "timer_sequence": "order",
        "next_dispatch_at": "next_look",
        "armed_timer_at": "armed",
        "class_service_us": "means",
        "class_baseline_us": "bases",
        "class_samples": "counts",
        "service_us": "mean",
        "samples": "count",
        "send_interval_us": "gap",
        "last_send_at": "sent_at",
        "error_memory_us": "memory",
        "server_concurrency": "wide",
        "latency_inflation": "stretch",
        "retry_budget": "budget",
        "class_retry_budgets": "purses",
        "class_admission_rates": "let_in",
        "worth_per_us": "value",
        "tenant_buckets": "tenants",
        "discovery_failures": "failures",
    },
    "Server": {
        "in_flight": "flights",
        "slowness_estimate": "slow",
        "slowness_at": "seen",
        "error_score": "bad",
        "class_error_scores": "ill",
        "error_score_at": "blamed",
        "ejected_until": "ejected",
        "ejection_count": "strikes",
        "paused_until": "paused",
        "consecutive_rejections": "fulls",
        "abandoned_calls": "ghosts",
        "started_at": "since",
        "slow_start_credit": "credit",
        "slow_start_credit_at": "credit_at",
        "retry_budget": "purse",
        "assigned": "home",
        "preferred": "near",
        "idle_connections": "warm",
        "last_reset_at": "broke",
        "presumed_dead_at": "down",
        "free_slots": "free",
        "service_rate": "flow",
        "counted_error_score": "counted",
        "counted_ejected": "out",
        "ejected_by_peers": "told",
    },
    "Request": {
        "service_class": "kind",
        "target": "aim",
        "queued": "held",
        "cancelled_attempts": "cancels",
        "queue_deadline": "drop",
        "overdue_at": "late",
        "timer_at": "due",
    },
    "Attempt": {},
}


def stored_names(cls: Any) -> dict[str, str]:
    """Attribute to stored name for a class of a decision module. Empty where the class itself has the stored names, as
    in a tree from before the attributes were renamed, or has no names to map."""
    names = STORED_NAMES.get(cls.__name__, {})
    return names if names and names.keys() <= set(cls.__init__.__code__.co_names) else {}
