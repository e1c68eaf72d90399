"""What the end of an attempt proves: the one table of "has it run?" for every node protocol. Pure; whoever carries an
attempt tells what it saw and gets the outcome. It must never be guessed elsewhere."""

from __future__ import annotations

from paddlestep.interface import Status


def status_for_response(status: int, not_processed: bool) -> Status:
    """A whole answer has come: its HTTP status, and whether it says that nothing was processed. Whatever else a node
    may say, the request may have run."""
    if status == 200:
        return Status.OK
    return Status.FULL if status in (503, 504) and not_processed else Status.ERROR


def status_for_broken_connection(written: bool, spoilt: bool = False) -> Status:
    """The connection has failed or ended, or brought what cannot be read (`spoilt`). `written`: the request's last byte
    had gone out before; until then it cannot have run. A node that answers nonsense is there: a reset would let the
    module take it for one that comes back cold, and hold calls back for seconds."""
    if spoilt:
        return Status.ERROR
    return Status.RESET if written else Status.CONNECT_FAILED


def execution_evidence(status: Status) -> str:
    """What the end of an attempt proves to whoever must not have it run twice: "ran", "never" or "perhaps"."""
    return "ran" if status is Status.OK else "never" if status.never_ran else "perhaps"


def status_for_timeout(written: bool) -> Status:
    """Its time is up without a word. What was never wholly written cannot have run, and saying so leaves the module
    free to refuse."""
    return Status.TIMEOUT if written else Status.CONNECT_FAILED
