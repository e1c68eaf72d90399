"""Observation of a running proxy: its log and its flight recorder. Neither blocks or changes the proxy's work."""
