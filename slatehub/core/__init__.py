"""The core: jobs, attempts, the stages of a job and the dispatcher that runs them. It takes timestamped
events and returns commands. Code in this package must not read a clock, use a socket or import gevent, so
that the same core runs in the daemon, on virtual time in the simulator and inside an application's own event
loop."""
