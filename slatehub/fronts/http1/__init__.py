"""The HTTP/1.1 front for callers."""
