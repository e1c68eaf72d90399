"""Decisions of the subsystems other than the decision module (the Balancer). These modules are pure: they do no
I/O, read no clock and do not sleep. Time and events are arguments, decisions are return values."""
