"""slatehub: the proxy of the Catania plant, built around the decision module paddlestep."""

__version__ = "0.1.0"
