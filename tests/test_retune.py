"""Reloading the settings of a running proxy: a file is applied completely or not at all, and requests in progress keep
their settings."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from proxy_rig import (
    SAFE_CLASS,
    UNSAFE_CLASS,
    build_request,
    read_response,
    running_proxy,
    settings,
    wait_until,
)

from paddlestep.interface import Effect
from slatehub.settings.reader import MAX_NUMBERED_NAMES, ConfigError, ProxyConfig, load_config, merge_reloaded

Change = Callable[[dict[str, Any]], Any]


def read(tmp: Path, change: Change = lambda tree: None) -> ProxyConfig:
    tree = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "settings": settings(),
    }
    change(tree)
    (tmp / "config.json").write_text(json.dumps(tree))
    return load_config({"EDGE_CONFIG": str(tmp / "config.json")})


def kind(name: str, effect: str = "fragile", limit: Any = 6_000_000) -> dict[str, Any]:
    return {"name": name, "idempotency": effect, "slo_us": 2_500_000, "hard_limit_us": limit}


WRONG: list[tuple[str, Change]] = [
    ("settings.allowed.retry_after", lambda t: t["settings"]["allowed"].pop("retry_after")),
    ("discovery", lambda t: t.pop("discovery")),
    ("settings.services.1.slo_us", lambda t: t["settings"]["services"][1].pop("slo_us")),
    ("settings.services.0.hard_limit_us", lambda t: t["settings"]["services"][0].pop("hard_limit_us")),
    *(
        ("settings.allowed.max_attempts", lambda t, x=x: t["settings"]["allowed"].update(max_attempts=x))
        for x in (0, -1, 0.5, True, "4", None, [])
    ),
    *(
        ("settings.services.1.hard_limit_us", lambda t, x=x: t["settings"]["services"][1].update(hard_limit_us=x))
        for x in (0, -6_000_000, True, "soon", None)
    ),
    ("NaN", lambda t: t["settings"]["services"][1].update(hard_limit_us=float("nan"))),
    ("Infinity", lambda t: t["settings"]["allowed"].update(max_attempts=float("inf"))),
    ("settings.services.0.slo_us", lambda t: t["settings"]["services"][0].update(slo_us=False)),
]  # fmt: skip


@pytest.mark.parametrize(("key", "change"), WRONG)
def test_a_file_with_a_fault_is_rejected_completely_and_the_key_named(
    tmp_path: Path, key: str, change: Change
) -> None:
    old = read(tmp_path)
    with pytest.raises(ConfigError) as told:
        merge_reloaded(old, read(tmp_path, change))
    assert key in str(told.value)


def test_lists_may_become_empty_and_new_keys_may_come(tmp_path: Path) -> None:
    def change(tree: dict[str, Any]) -> None:
        tree["settings"]["tenants"] = []
        tree["settings"]["allowed"]["later"] = {"more": 1}

    assert merge_reloaded(read(tmp_path), read(tmp_path, change)).accounts == {}


def test_classes_keep_their_numbers_and_the_table_is_bounded(tmp_path: Path) -> None:
    now = first = read(tmp_path)
    for i in range(2 * MAX_NUMBERED_NAMES):
        now = merge_reloaded(
            now, read(tmp_path, lambda t, i=i: t["settings"]["services"].append(kind(f"c{i}")))
        )
        assert now.settings.classes[now.classes[f"c{i}"]].name == f"c{i}" and len(now.classes) == 3
    assert len(now.settings.classes) == MAX_NUMBERED_NAMES and len(now.all_classes) == MAX_NUMBERED_NAMES
    assert {n: now.classes[n] for n in (SAFE_CLASS, UNSAFE_CLASS)} == first.classes


def test_a_class_may_go_and_come_back_with_other_terms(tmp_path: Path) -> None:
    def other(tree: dict[str, Any]) -> None:
        tree["settings"]["services"][1] = kind(UNSAFE_CLASS, "retryable", 3_000_000)

    first = read(tmp_path)
    without = merge_reloaded(first, read(tmp_path, lambda t: t["settings"]["services"].pop(1)))
    again = merge_reloaded(without, read(tmp_path, other))
    assert UNSAFE_CLASS not in without.classes and again.classes == first.classes
    assert again.settings.classes[again.classes[UNSAFE_CLASS]].effect is Effect.SAFE


def test_a_running_proxy_takes_new_classes_and_refuses_dropped_ones_and_bad_files(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    with running_proxy(tmp_path) as p:
        good = path.read_text()

        def told(body: str, word: str) -> None:
            before = sum(word in x for x in p.program.log)
            path.write_text(body)
            p.program.process.send_signal(signal.SIGHUP)
            wait_until(lambda: sum(word in x for x in p.program.log) > before)

        with p.program.connect() as held:
            held.sendall(build_request("wait"))
            assert p.nodes[0].held.acquire(timeout=20)
            tree = json.loads(good)
            tree["settings"]["services"][1] = kind("rush-print", "retryable")
            told(json.dumps(tree), "read again and in force")
            assert p.program.request(build_request("ok"))[0] == 400  # dropped
            p.nodes[0].release.set()
            assert read_response(held)[0] == 200  # the request in progress continues under its old class
        assert p.program.request(build_request("ok", "rush-print", method="GET"))[0] == 200
        for body in ("", good[: len(good) // 2], json.dumps(json.loads(good) | {"discovery": None})):
            told(body, "not taken, the old ones stay in force")
            assert p.program.request(build_request("ok", "rush-print", method="GET"))[0] == 200
        told(good, "read again and in force")
        assert p.program.request(build_request("ok"))[0] == 200
