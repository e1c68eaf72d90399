"""Splits the descriptors and the memory of one process between callers, nodes and request bodies. Pure."""

# Descriptors for the log, the event loop, the listener, discovery and connections being closed.
RESERVED_DESCRIPTORS = 32
PROGRAM_MB = 18  # the program itself with its nodes and its node list; it uses 14 MB
# Descriptors for the operators' listener, its connections, and those to a second process.
MANAGEMENT_DESCRIPTORS = 20
CONNECTION_KB = 24  # a connection with its greenlets and its parser, without a job; it uses 20 KB


def split_budget(sockets: int, memory_mb: int, own: int = RESERVED_DESCRIPTORS) -> tuple[int, int, int]:
    """Returns the number of descriptors for callers, the number for nodes, and the bytes of requests that may be held.
    Callers get more descriptors, as connections to nodes are shared by several jobs in turn. A third of all descriptors
    is what the callers' requests may need at once; the rest is for callers that only keep a connection open. Three
    quarters of the remaining memory are for requests, the rest is for their answers; large answers are never buffered.
    `own`: descriptors of the program itself."""
    spare = sockets - own
    callers = spare * 3 // 5
    free_kb = (memory_mb - PROGRAM_MB) * 1024 - spare * CONNECTION_KB
    return callers, spare - callers, max(1024, free_kb * 3 // 4) * 1024
