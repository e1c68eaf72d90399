"""Splits the descriptors and the memory of one process between callers, nodes and request bodies. Pure."""

# Descriptors for the log, the event loop, the listener, discovery and connections being closed.
RESERVED_DESCRIPTORS = 32
PROGRAM_MB = 18  # the program itself with its nodes and its node list
MIN_REPLACEABLE_PROGRAMS = 3  # a proxy is replaced by a process beside it only with so many times PROGRAM_MB
# Descriptors for the operators' listener, its connections, and those to a second process.
MANAGEMENT_DESCRIPTORS = 20
CONNECTION_KB = 24  # a connection with its greenlets and its parser, without a job
CONNECTIONS_SHARE = (
    3 / 4
)  # of the memory beside the program, at most, for connections; the rest is for what they carry
MIN_CONNECTIONS = 64  # in all, however little memory there is
MIN_REQUESTS_KB = 1024


def process_memory_mb(memory_mb: int, replaceable: bool, shared: bool) -> int:
    """The megabytes that one process may take of the limit of its proxy. `shared`: a second process of the proxy takes
    the other half. `replaceable`: such a process may start at any time; where the limit has room for that, the program
    alone is set aside for it, as it is in memory before the two know of each other."""
    if shared:
        return memory_mb // 2
    has_room = memory_mb >= MIN_REPLACEABLE_PROGRAMS * PROGRAM_MB
    return memory_mb - PROGRAM_MB if replaceable and has_room else memory_mb


def split_budget(sockets: int, memory_mb: int, own: int = RESERVED_DESCRIPTORS) -> tuple[int, int, int]:
    """Returns the number of connections of callers, the number of those to nodes, and the bytes of requests and answers
    that may be held. Callers get more connections, as those to nodes are shared by several jobs in turn. A third of all
    descriptors is what the callers' requests may need at once; the rest is for callers that only keep a connection
    open. Where memory allows fewer connections than there are descriptors, it decides. Three quarters of the remaining
    memory may be held, the rest is for what the allocator cannot use. `own`: descriptors of the program itself."""
    free_kb = max(0, (memory_mb - PROGRAM_MB) * 1024)
    affordable = max(MIN_CONNECTIONS, int(free_kb * CONNECTIONS_SHARE) // CONNECTION_KB)
    connections = min(sockets - own, affordable)
    callers = connections * 3 // 5
    held_kb = max(MIN_REQUESTS_KB, (free_kb - connections * CONNECTION_KB) * 3 // 4)
    return callers, connections - callers, held_kb * 1024
