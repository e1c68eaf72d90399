"""The simulated plant as pure state machines, shared by all engines: the workload (orders) and the fault
schedule of a run, its nodes and proxies, the behaviour of clients and the settings given to a proxy. The
modules open no sockets, read no clock and do not sleep; the only file read is a recorded trace of arrivals."""
