"""Soak runs: the real program on loopback sockets, under limits and hostile peers that a seed chooses, judged by what
its clients, its nodes and the system saw. `python -m slatelab.soak --help` tells how to start one."""
