"""Bounds of the numbers and names that others write.

An integer of any size is valid JSON, but fails later: as a float, as a port, in
an encoded message, or as the length of a loop. The bounds are far above what is
in use and only exclude what the code can't compute with.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

# Integers of so many bits are exact as 64-bit floats, too.
_EXACT_BITS = 53
MAX_EXACT = 2**_EXACT_BITS - 1
_MAX_COUNT = 65_535
_MAX_AMOUNT = 1e15
_MAX_NAME_CHARS = 256
# Python refuses to convert thousands of digits; these fit into 64 bits.
_MAX_DIGITS = 18

ExactInt = Annotated[int, Meta(ge=-MAX_EXACT, le=MAX_EXACT)]
# Times in milliseconds, versions, revisions and sequence numbers.
Ordinal = Annotated[int, Meta(ge=0, le=MAX_EXACT)]
# What is counted one by one: slots, layers, attempts.
Count = Annotated[int, Meta(ge=0, le=_MAX_COUNT)]
# Durations, sizes and rates.
Amount = Annotated[float, Meta(ge=0, le=_MAX_AMOUNT)]
# Names appear in log lines, datagrams and headers.
Name = Annotated[str, Meta(max_length=_MAX_NAME_CHARS)]


def parse_ordinal(text: bytes) -> int | None:
    """Return a number that consists of digits; none for any other text."""
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return None
    return int(text)
