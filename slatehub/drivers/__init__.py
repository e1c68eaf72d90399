"""Runs the core in the daemon, on gevent: the clock and its timers, the event loop driver of the dispatcher, pipes and
upstream connections. Nothing here makes decisions about a job."""
