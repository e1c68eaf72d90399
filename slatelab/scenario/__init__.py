"""Scenario files: their types, units and reader."""

from .reader import ScenarioError, load, parse
from .types import Arrivals, Class, Clients, Fault, Kind, Scenario, Tenant, Tier

__all__ = [
    "Arrivals", "Class", "Clients", "Fault", "Kind", "Scenario", "ScenarioError", "Tenant", "Tier", "load", "parse",
]  # fmt: skip
