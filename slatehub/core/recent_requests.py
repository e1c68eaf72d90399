"""The ids of requests that must not run twice and may have run. An id that comes again, perhaps after its caller has
left, must not be sent to a node a second time. Pure; bounded by the number of ids."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

MAX_RECENT_REQUESTS = 4096  # the oldest are forgotten


class RecentRequests:
    """`on_added` is told each id that this process adds, but not those of another process."""

    def __init__(self, limit: int = MAX_RECENT_REQUESTS) -> None:
        self.limit = limit
        self.on_added: Callable[[str], None] | None = None
        self._ids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def ids(self) -> list[str]:
        """All ids, oldest first."""
        return list(self._ids)

    def add(self, request_id: str) -> None:
        """Remembers the id of a request that is about to be sent to a node."""
        if request_id in self._ids:
            return
        self.merge([request_id])
        if self.on_added:
            self.on_added(request_id)

    def merge(self, request_ids: Iterable[str]) -> None:
        """Remembers ids that another process of this proxy has sent."""
        for request_id in request_ids:
            self._ids[request_id] = None
        while len(self._ids) > self.limit:
            self._ids.popitem(last=False)

    def discard(self, request_id: str) -> None:
        """Forgets the id of a request that has certainly not run."""
        self._ids.pop(request_id, None)
