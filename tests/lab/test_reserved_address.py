"""Addresses that are chosen before their listener has started."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from slatelab.reserved_address import ReservedAddress
from slatelab.soak.proxy_process import ProcessEndedError, ProxyProcess, settings
from slatelab.soak.run import Run, draw_plan


def test_a_reserved_address_is_only_for_a_listener_that_names_it() -> None:
    with ReservedAddress() as reserved:
        address = ("127.0.0.1", reserved.port)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)
        with socket.create_server(address) as listener:  # sets SO_REUSEADDR
            with socket.create_connection(address) as client:
                assert listener.accept()[1] == client.getsockname()
    with socket.create_server(address):
        pass


def test_nobody_takes_the_address_of_a_run_before_its_proxy_has_started(tmp_path: Path) -> None:
    run = Run(draw_plan(1, 1.0), tmp_path)
    try:
        for address in (run.address(), run.management_address()):
            host, _, port = address.rpartition(":")
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind((host, int(port)))
    finally:
        run.close_addresses()


def test_a_proxy_that_has_ended_is_not_ready_though_another_process_answers_at_its_address(
    tmp_path: Path,
) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()

    async def start_beside_another_listener() -> None:
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        taken = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        config = {
            "name": "n0", "listen": taken, "discovery": "127.0.0.1:1", "mgmt": "127.0.0.1:0", "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"revision": 1, "complete": True, "members": []}, "settings": settings({}, 3.0),
        }  # fmt: skip
        process = ProxyProcess(config, tmp_path, "n0")
        try:
            process.process.wait(20)
            with pytest.raises(ProcessEndedError, match="ended with 1"):
                await process.wait_ready()
        finally:
            process.end()
            server.close()

    asyncio.run(start_beside_another_listener())
