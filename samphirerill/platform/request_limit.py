"""Parse the ``Server-Limit`` header of responses."""

from __future__ import annotations

import re

from samphirerill.relay.platform_adapter import NamedLimit

_MAX_TEXT_BYTES = 40
_RATE = re.compile(r'\d{1,10}(\.\d{1,20})?', re.ASCII)


def parse_request_limit(text: bytes) -> NamedLimit:
    """Return the parsed header.

    Parameters
    ----------
    text : bytes
        The value: requests per second as a decimal number.
    """
    shown = text[:_MAX_TEXT_BYTES].decode('latin-1')
    stripped = shown.strip()
    is_valid = len(text) <= _MAX_TEXT_BYTES and _RATE.fullmatch(stripped)
    return NamedLimit(shown, float(stripped) if is_valid else None)
