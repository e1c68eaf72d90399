"""Reads all of a proxy's settings: the platform's environment and JSON file, and the operator's file."""
