"""The status of an attempt from what its transport observed, and what that status proves about whether the request has
run. Pure functions, shared by all node protocols; no transport decides this on its own."""

from __future__ import annotations

from paddlestep.interface import Status


def status_for_response(status: int, not_processed: bool) -> Status:
    """Returns the status for a complete response with this HTTP status; `not_processed` is whether it says that nothing
    was processed. With any other response the request may have run."""
    if status == 200:
        return Status.OK
    return Status.FULL if status in (503, 504) and not_processed else Status.ERROR


def status_for_broken_connection(written: bool, invalid_response: bool = False) -> Status:
    """Returns the status after a connection has failed or ended, or after a response that cannot be parsed
    (`invalid_response`). `written` is whether the last byte of the request had been written; before that it cannot have
    run. A node that sends an invalid response is running: with RESET the balancer would treat it as one that is
    restarting cold, and hold back requests for seconds."""
    if invalid_response:
        return Status.ERROR
    return Status.RESET if written else Status.CONNECT_FAILED


def execution_evidence(status: Status) -> str:
    """Returns what the status proves about whether the request has run, for requests that must not run twice: "ran",
    "never" or "perhaps"."""
    return "ran" if status is Status.OK else "never" if status.never_ran else "perhaps"


def status_for_timeout(written: bool) -> Status:
    """Returns the status for an attempt whose deadline passed without a response. A request that was not written whole
    cannot have run; reporting that leaves the balancer free to refuse it."""
    return Status.TIMEOUT if written else Status.CONNECT_FAILED
