"""Quantities with units as written in scenario files: "250 ms", "41/s", "35 %". Converts times, rates and shares to
numbers. Times and rates without a unit are rejected."""

from __future__ import annotations

import re
from functools import cache
from typing import Annotated, Any

from pydantic import BeforeValidator, Field

QUANTITY = re.compile(r"[-+]?([0-9]+\.?[0-9]*|\.[0-9]+)([eE][-+]?[0-9]+)? *[A-Za-zµμ%/ ]*")
MAX_TIME_US = 24 * 3600 * 1_000_000


@cache
def _registry() -> Any:
    import pint  # imported late: loading it takes 0.2 s

    return pint.UnitRegistry(cache_folder=None)


def _convert(value: Any, unit: str, example: str) -> float:
    if not isinstance(value, str):
        raise ValueError(f"needs a unit, as in {example!r}; got {value!r}")
    if len(value) > 60:
        raise ValueError(f"too long for a quantity such as {example!r}")
    # pint evaluates arithmetic: an expression with nested powers would keep it busy for hours.
    if not QUANTITY.fullmatch(value.strip()):
        raise ValueError(f"cannot be read: {value!r}; write it as in {example!r}")
    import pint

    try:
        return float(_registry().Quantity(value.strip()).to(unit).magnitude)
    except pint.DimensionalityError:
        raise ValueError(f"has the wrong unit: {value!r} is not like {example!r}") from None
    except Exception:  # pint raises many types on malformed input, even those of Python's tokenizer
        raise ValueError(f"cannot be read: {value!r}; write it as in {example!r}") from None


def _time(value: Any) -> int:
    us = _convert(value, "microsecond", "250 ms")
    if not 0 <= us <= MAX_TIME_US:
        raise ValueError(f"must be between 0 and 24 hours, got {value!r}")
    return round(us)


def _rate(value: Any) -> float:
    per_s = _convert(value, "1/second", "41/s")
    if not 0 <= per_s <= 1e6:
        raise ValueError(f"must be between 0/s and 1000000/s, got {value!r}")
    return per_s


def _share(value: Any) -> float:
    """A fraction; "35 %" and 0.35 are the same."""
    share = _convert(value, "dimensionless", "35 %") if isinstance(value, str) else value
    if isinstance(share, bool) or not isinstance(share, int | float) or not 0 <= share <= 1:
        raise ValueError(f"must be a share between 0 and 1 (or '0 %' and '100 %'), got {value!r}")
    return float(share)


Time = Annotated[int, BeforeValidator(_time)]  # microseconds
LongTime = Annotated[int, BeforeValidator(_time), Field(gt=0)]  # the same, not 0
Rate = Annotated[float, BeforeValidator(_rate)]  # per second
Share = Annotated[float, BeforeValidator(_share)]  # 0 to 1
