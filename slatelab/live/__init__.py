"""The engine `live`: runs a scenario with real proxy processes on 127.0.0.0/8 and emulated nodes, discovery
and clients."""

from .run import run

__all__ = ["run"]
