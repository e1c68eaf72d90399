"""How what one process may hold is shared out between callers, nodes and bodies. Pure; its figures are measured."""

RESERVED_DESCRIPTORS = (
    32  # descriptors for the log, the event loop, the listener, discovery and what is just closing
)
OWN_MB = 18  # the program itself with its nodes and its list, 14 MB as measured
MANAGEMENT_DESCRIPTORS = 20  # the operators' listener, its connections, and those to a second process
LINE_KB = 24  # a connection with its greenlets, its parser and nothing in hand, 20 KB as measured


def split_budget(sockets: int, memory_mb: int, own: int = RESERVED_DESCRIPTORS) -> tuple[int, int, int]:
    """How many descriptors callers and nodes may have each, and how many bytes of requests may be in hand. Callers get
    more, as the connections to nodes are used in turn; a third of all is what their requests may need at once, the rest
    is for those who only keep one open. Three quarters of the memory that is left are for requests,
    the rest for their answers, of which a large one is never held. `own`: descriptors of the program itself."""
    spare = sockets - own
    callers = spare * 3 // 5
    free_kb = (memory_mb - OWN_MB) * 1024 - spare * LINE_KB
    return callers, spare - callers, max(1024, free_kb * 3 // 4) * 1024
