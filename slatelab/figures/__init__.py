"""The figures of a run, computed from its records alone: offered orders, goodput, latency and the load of the nodes.
The package applies no rules and does not import an engine, slatehub or paddlestep."""

from .measure import measure
from .types import Figures, Group, Latency, NodeLoad, Return, Series, Window, Worst

__all__ = ["Figures", "Group", "Latency", "NodeLoad", "Return", "Series", "Window", "Worst", "measure"]
