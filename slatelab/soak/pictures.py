"""What happens in a run beside its usual traffic: crowds, floods, clients that leave, slow transfers, processes that
are replaced. Each picture is a coroutine that takes the run; `PICTURES` lists them by name."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .clients import Client, Connection, RequestSpec, request_bytes
from .peers import Node
from .records import ClientRequest, now

if TYPE_CHECKING:
    from .run import Run

Picture = Callable[["Run"], Awaitable[None]]

CROWD_SIZES = {
    "slow_heads": (4_000, 15_500, 30_000),
    "whole_heads": (4_000, 15_500),
    "stopped_bodies": (30_000, 120_000, 2_000_000),
    "slow_bodies": (30_000, 120_000),
    "small_chunks": (60_000, 390_000),
    "slow_readers": (60_000, 300_000, 2_000_000),
    "stopped_readers": (60_000, 300_000, 2_000_000),
    "pipelined": (20_000, 1_000_000),
    "idle": (0,),
}
# The kinds of `waves`: all that take memory, each with sizes on both sides of what counts as a large body.
WAVE_SIZES = {
    **CROWD_SIZES,
    "slow_bodies": (30_000, 64_000, 120_000),
    "unfinished_bodies": (64_000, 261_120, 4_194_304),
}
WAVES_PER_RUN = 4
FLOODS = ("flood_unknown_class", "flood_new_names", "flood_no_time", "flood_unsound")


@dataclass(frozen=True, slots=True)
class CrowdChoice:
    """A behaviour of `crowd.BEHAVIOURS`, the number of its connections, and the size that it takes, in bytes."""

    behaviour: str
    count: int
    size: int


async def crowd(run: Run) -> None:
    """(a) Hundreds of clients at once that are slow or stop: one or two kinds of them, up to three fifths of the
    descriptors."""
    count = int(run.limits.sockets * run.random.uniform(0.25, 0.6))
    kinds = run.random.sample(sorted(CROWD_SIZES), run.random.choice((1, 1, 2)))
    drawn = (CrowdChoice(kind, count // len(kinds), run.random.choice(CROWD_SIZES[kind])) for kind in kinds)
    for choice in run.plan.crowds or drawn:
        run.start_crowd(choice)
    await run.wait_until_end()


async def waves(run: Run) -> None:
    """Crowds of different kinds one after the other at one process: what each leaves behind must not add up."""
    count = int(run.limits.sockets * run.random.uniform(0.25, 0.6))
    kinds = run.random.sample(sorted(WAVE_SIZES), WAVES_PER_RUN)
    drawn = tuple(CrowdChoice(kind, count, run.random.choice(WAVE_SIZES[kind])) for kind in kinds)
    choices = run.plan.crowds or drawn
    wave_s = (run.until - now()) / len(choices)
    for choice in choices:
        run.start_crowd(choice, wave_s)
        await asyncio.sleep(wave_s)


async def floods(run: Run) -> None:
    """(b) One client, or a few, that send small or unsound requests at full speed, also under ever new names."""
    run.start_crowd(CrowdChoice(run.random.choice(FLOODS), run.random.choice((1, 1, 4)), 0))
    await run.wait_until_end()


async def leaving(run: Run) -> None:
    """(c) Clients that pipeline much and close their connection with most of it unread."""
    while not run.is_over:
        await asyncio.gather(*(_pipeline_and_leave(run, i) for i in range(run.random.randint(1, 6))))
        await asyncio.sleep(0.2)


async def _pipeline_and_leave(run: Run, number: int) -> None:
    client = Client(f"leaver{number}-{run.random.getrandbits(32):x}", run.record, run.address)
    count, work_ms = run.random.randint(2, 400), run.random.choice((20, 200, 1000))
    spec = RequestSpec(
        safe=run.random.random() < 0.5,
        options=(("work", work_ms),),
        timeout_s=run.random.choice((1.0, 4.0)),
    )
    if not spec.safe:
        spec = RequestSpec(False, spec.timeout_s, spec.options, run.random.choice((0, 200, 40_000, 300_000)))
        count = min(count, 20_000_000 // (spec.body_bytes + 200))
    requests = [ClientRequest(client.next_id(), spec.safe, spec.timeout_s) for _ in range(count)]
    try:
        connection = await Connection.open(run.address())
        data = b"".join(request_bytes(request.request_id, spec) for request in requests)
        with suppress(TimeoutError):
            await asyncio.wait_for(connection.write(data), run.random.choice((0.3, 1.0)))
        await asyncio.sleep(run.random.choice((0.0, 0.05, 0.4)))
        closed_at = await connection.drop(resets=run.random.random() < 0.5)
    except OSError:
        closed_at = now()
    for request in requests:
        request.closed_at = closed_at
    run.record.requests.extend(requests)


async def repeated_ids(run: Run) -> None:
    """(c) An id of an order comes again after its client has left; where the program was replaced meanwhile, it comes
    to the other process."""
    client = Client(f"again{run.random.getrandbits(32):x}", run.record, run.address)
    while not run.is_over:
        work_ms = run.random.choice((100, 400, 1500))
        spec = RequestSpec(
            False, 4.0, (("work", work_ms),), 200, leave_after_s=run.random.choice((0.02, 0.1))
        )
        request_id = (await client.call(spec)).request_id
        await asyncio.sleep(run.random.choice((0.0, 0.05, 0.5)))
        await client.call(RequestSpec(False, 4.0, (("work", work_ms),), 200), request_id)
    client.disconnect()


async def slow_answers(run: Run) -> None:
    """(d) Long answers that a node writes slowly, and long orders that a node reads slowly."""
    clients = [Client(f"slow{i}", run.record, run.address) for i in range(6)]

    async def call(client: Client) -> None:
        while not run.is_over:
            if run.random.random() < 0.6:
                size = run.random.choice((20_000, 60_000, 100_000, 300_000))
                rate = run.random.choice((8_000, 16_000, 64_000, 200_000))
                options: tuple[tuple[str, int], ...] = (("answer", size), ("rate", rate), ("work", 50))
                if run.random.random() < 0.3:
                    options += (("chunked", 1),)
                await client.call(RequestSpec(True, 4.0, options, must_be_served=size > 64 * 1024))
            else:
                size = run.random.choice((100_000, 1_000_000, 3_000_000, 8_000_000))
                read = run.random.choice((64_000, 400_000))
                await client.call(RequestSpec(False, run.random.choice((1.0, 3.0)), (("read", read),), size))
        client.disconnect()

    await asyncio.gather(*(call(client) for client in clients))


async def reused_addresses(run: Run) -> None:
    """(e) A node's process dies and another one, with another id, comes up at its address; the list tells it late."""
    count = 0
    while not run.is_over:
        await asyncio.sleep(run.random.uniform(0.3, 1.5))
        old = run.nodes.pop(0)
        count += 1
        new = Node(f"new-{count}", run.record)
        run.nodes.append(new)
        old.kill()
        await asyncio.sleep(run.random.choice((0.0, 0.3)))
        await new.start(old.address)
        await asyncio.sleep(run.random.choice((0.0, 0.2, 0.8)))
        run.discovery.set_node(new)
        if run.random.random() < 0.5:
            await asyncio.sleep(run.random.choice((0.1, 1.0)))
        run.discovery.set_node(old, "DELETED")


async def signals(run: Run) -> None:
    """The program is told to end, again and again, and is killed at the earliest time that the protocol allows; clients
    go on using their connections until then. It starts again at the same address."""
    while not run.is_over:
        await asyncio.sleep(run.random.uniform(1.0, 3.0))
        kill_at = now() + min(run.deadline_s, 3.0) + 0.7
        for _ in range(run.random.choice((1, 3))):
            run.proxy.signal(signal.SIGTERM)
            await asyncio.sleep(0.05)
        while now() < kill_at and run.proxy.process.poll() is None:
            await asyncio.sleep(0.02)
        await run.restart_proxy()


async def upgrades(run: Run) -> None:
    """The program is replaced by a second process beside it, again and again."""
    while not run.is_over:
        await asyncio.sleep(run.random.uniform(0.5, 2.0))
        await run.upgrade_proxy()


async def reloads(run: Run) -> None:
    """SIGHUP comes in series."""
    while not run.is_over:
        await asyncio.sleep(run.random.uniform(0.1, 1.5))
        for _ in range(run.random.choice((1, 5))):
            run.proxy.signal(signal.SIGHUP)


# Those that a seed chooses from. A later picture is played where it is named, so that the plans of seeds stay the same.
DRAWN_PICTURES: dict[str, Picture] = {
    f.__name__: f
    for f in (
        crowd, floods, leaving, repeated_ids, slow_answers, reused_addresses, signals, upgrades, reloads,
    )
}  # fmt: skip
PICTURES: dict[str, Picture] = {**DRAWN_PICTURES, waves.__name__: waves}
