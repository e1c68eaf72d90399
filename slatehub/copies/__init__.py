"""Registers that a group of proxies replicates with CASPaxos, for the idempotency ledger and fleet-wide maintenance.
Loaded only where `[copies]` is on."""
