"""Prints a replay as text and tables on a terminal, and bounds how much is printed. This module neither replays nor
reads anything. It uses rich's tables if rich is installed."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import UTC, datetime

from slatehub.observe.flight import FlightRecording

from .decision_observer import Moment, NodeEstimate
from .explain import AttemptHistory, RequestHistory
from .replayer import Named, Step

DEFAULT_WIDTH = 160  # columns if the output is not a terminal
FIRST_MOMENTS, LAST_MOMENTS = 6, 3  # moments shown of one request
MAX_EVENTS = 12  # events of a batch that are listed
Row = Sequence[str]


def format_timestamp(us: int) -> str:
    try:
        return datetime.fromtimestamp(us / 1e6, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    except (ValueError, OverflowError, OSError):
        return f"{us} us"


def printable(text: str, longest: int = 200) -> str:
    """Makes text from a file safe for a terminal: at most `longest` characters, the unprintable ones replaced."""
    return "".join(c if c.isprintable() else "?" for c in text[:longest])


def describe_recording(recording: FlightRecording, here: str) -> list[str]:
    """Describes where the recording comes from. `here` is the SHA-256 of the module that replays it."""
    header = recording.header
    span = (
        f"{format_timestamp(header.first)} to {format_timestamp(header.last)}" if header.batches else "none"
    )
    program, problem = (
        f"slatehub {printable(header.program)}, Python {printable(header.python)}",
        printable(header.problem),
    )
    lines = [
        f"recorded by {printable(header.proxy)}, tier {header.tier}, {program}",
        f"written {printable(header.written)}, reason: {printable(header.reason)}"
        + (f": {problem}" if problem else ""),
        f"{header.batches} batches, {span}, {len(recording.nodes)} nodes known by name",
    ]
    if header.module != here:
        lines.append(
            f"the module's text differs: recorded with {printable(header.module)[:12]}, played with {here[:12]}"
        )
    return lines


def format_action(one: Named | None) -> str:
    if one is None:
        return "nothing"
    return printable(f"{one[0]}({', '.join(f'{key}={value!r}' for key, value in one[1].items())})")


def describe_difference(step: Step) -> list[str]:
    """Describes the first batch whose actions differ."""
    lines = [
        f"differs at batch {step.index}, {format_timestamp(step.batch.now)}, with {len(step.events)} events:"
    ]
    lines += [f"  {printable(repr(event))}" for event in step.events[:MAX_EVENTS]]
    lines += [f"  and {len(step.events) - MAX_EVENTS} more"] * (len(step.events) > MAX_EVENTS)
    if step.wanted is None or step.got is None:
        lines.append(
            f"  recorded: {'the module failed' if step.wanted is None else f'{len(step.wanted)} actions'}"
        )
        return [*lines, f"  played:   {printable(step.problem) or f'{len(step.got or [])} actions'}"]
    wanted, got = step.first_difference()
    return [*lines, f"  recorded: {format_action(wanted)}", f"  played:   {format_action(got)}"]


# ---------------------------------------------------------------- a request


def format_ms(us: float) -> str:
    return f"{us / 1000:,.1f}"


def print_request(recording: FlightRecording, name: str, history: RequestHistory, limit: int) -> None:
    """Prints the history of one request, with at most `limit` nodes at each of its moments."""
    repeat = ", a further try of its caller" if history.repeat else ""
    ended = "not ended in what is recorded"
    if history.end:
        ended = f"ended after {format_ms(history.ended_at - history.now)} ms: {history.end}"
    print_lines(
        f"request {printable(name)} (number {history.number}), class {printable(history.cls)} ({history.effect}),"
        f" tenant {printable(history.tenant)}{repeat}",
        f"came in batch {history.index} at {format_timestamp(history.now)} with {format_ms(history.left_us)} ms left",
        ended,
    )
    if history.attempts:
        print_table(
            "attempts",
            ATTEMPT_COLUMNS,
            [attempt_row(recording, i, one, history) for i, one in enumerate(history.attempts)],
        )
    moments = history.moments
    for i, moment in enumerate(moments):
        if FIRST_MOMENTS <= i < len(moments) - LAST_MOMENTS:
            print_lines(
                *[
                    "",
                    f"... {len(moments) - FIRST_MOMENTS - LAST_MOMENTS + history.dropped_moments} moments left out ...",
                ]
                * (i == FIRST_MOMENTS)
            )
            continue
        followed = i + 1 < len(moments) and moments[i + 1].index == moment.index
        print_moment(recording, history, moment, 0 if followed else limit)
    if history.times_passed_over:
        print_lines(
            "",
            f"passed over {history.times_passed_over} times in all while no node that it may go to had room",
        )


ATTEMPT_COLUMNS = ("no", "node", "sent at ms", "ended at ms", "outcome", "took ms", "note")


def attempt_row(recording: FlightRecording, number: int, one: AttemptHistory, history: RequestHistory) -> Row:
    end = format_ms(one.ended - history.now) if one.ended else "-"
    note = f"withdrawn at {format_ms(one.cancelled - history.now)}" if one.cancelled else ""
    took = format_ms(one.latency_us) if one.ended else "-"
    return (
        str(number),
        node_name(recording, one.endpoint),
        format_ms(one.sent - history.now),
        end,
        one.status or "-",
        took,
        note,
    )


def node_name(recording: FlightRecording, endpoint: int) -> str:
    return printable(recording.nodes.get(endpoint, f"{endpoint:012x}"), 60)


NODE_COLUMNS = (
    "node", "", "held", "limit", "slowness", "badness", "suspicion", "ejected ms", "paused ms", "capacity", "dealt",
)  # fmt: skip


def print_moment(recording: FlightRecording, history: RequestHistory, moment: Moment, limit: int) -> None:
    head = f"+{format_ms(moment.now - history.now)} ms, batch {moment.index}: {moment.what}"
    print_lines("", f"{head}: {moment.why}" if moment.why else head)
    if moment.totals and limit:
        print_lines("  " + ", ".join(f"{key} {format_figure(value)}" for key, value in moment.totals.items()))
    if (
        not moment.estimates or not limit
    ):  # limit 0: the next moment is of the same batch and lists the same nodes
        return
    ranked = sorted(moment.estimates, key=lambda b: sort_key(b, moment))
    print_table("", NODE_COLUMNS, [node_row(recording, estimate, moment) for estimate in ranked[:limit]])
    rest = ranked[limit:]
    if rest:
        free = sum(not estimate.unavailable_reason for estimate in rest)
        print_lines(f"  and {len(rest)} nodes more, of which {free} could take a call")


def format_figure(value: float) -> str:
    return str(value) if isinstance(value, int) else f"{value:.2f}"


def sort_key(estimate: NodeEstimate, moment: Moment) -> tuple[bool, bool, bool, bool, bool, int]:
    """Sort key: the chosen node first, then those tried, preferred, and excluded for faults; then the others."""
    out = bool(estimate.ejected_us or estimate.paused_us or estimate.class_error_score > 0.2)
    tried = estimate.endpoint in moment.tried
    return (
        estimate.endpoint != moment.chosen, not tried, not estimate.preferred, not out,
        bool(estimate.unavailable_reason), estimate.endpoint,
    )  # fmt: skip


def node_row(recording: FlightRecording, estimate: NodeEstimate, moment: Moment) -> Row:
    chosen, tried = estimate.endpoint == moment.chosen, estimate.endpoint in moment.tried
    what = "chosen" if chosen else "tried" if tried else estimate.unavailable_reason
    capacity = f"{estimate.capacity:.2f}" + (
        f", credit {estimate.slow_start_credit:.1f}" if estimate.capacity < 1 else ""
    )
    return (
        node_name(recording, estimate.endpoint), what, str(estimate.occupancy), str(estimate.limit),
        f"{estimate.slowness:.2f}", f"{estimate.error_score:.2f}", f"{estimate.class_error_score:.2f}",
        format_ms(estimate.ejected_us) if estimate.ejected_us else "-",
        format_ms(estimate.paused_us) if estimate.paused_us else "-", capacity,
        " ".join(["near"] * estimate.preferred + ["home"] * estimate.assigned),
    )  # fmt: skip


# ---------------------------------------------------------------- output


def print_lines(*lines: str) -> None:
    import click

    for line in lines:
        click.echo(line)


def print_table(title: str, headers: Sequence[str], rows: Sequence[Row]) -> None:
    try:
        from rich.console import Console
        from rich.table import Table
    except ImportError:
        return _print_plain_table(title, headers, rows)
    import sys

    grid = Table(title=title or None, title_justify="left", box=None, pad_edge=False)
    for i, header in enumerate(headers):
        grid.add_column(header, justify="left" if i == 0 or not header else "right", no_wrap=True)
    for one in rows:
        grid.add_row(*one)
    width = None if sys.stdout.isatty() else DEFAULT_WIDTH
    Console(file=sys.stdout, width=width, highlight=False, markup=False, emoji=False).print(grid)


def _print_plain_table(title: str, headers: Sequence[str], rows: Sequence[Row]) -> None:
    widths = [max(len(one[i]) for one in (headers, *rows)) for i in range(len(headers))]
    print_lines(*([title] if title else []))
    for one in (headers, *rows):
        print_lines("  ".join(cell.ljust(width) for cell, width in zip(one, widths, strict=True)).rstrip())
