"""Durable storage of the replicated registers: a write-ahead log of framed records. Loaded only where `[copies]` is
on."""
