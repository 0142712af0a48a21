"""Parse the header with the load that an endpoint reports."""

from __future__ import annotations

import re

from samphirerill.fleet.reported_load import ReportedLoad
from samphirerill.relay.platform_adapter import NamedLoad

_MAX_TEXT_BYTES = 40
_COUNTS = re.compile(
    r'\s*(\d{1,7})\s*,\s*(\d{1,7})\s*,\s*(\d{1,7})\s*', re.ASCII
)


def parse_server_load(text: bytes) -> NamedLoad:
    """Return the parsed header.

    Parameters
    ----------
    text : bytes
        The value: ``RUNNING,WAITING,SLOTS``.
    """
    shown = text[:_MAX_TEXT_BYTES].decode('latin-1')
    match = _COUNTS.fullmatch(shown)
    if len(text) > _MAX_TEXT_BYTES or match is None:
        return NamedLoad(shown, None)
    load = ReportedLoad(*map(int, match.groups()))
    return NamedLoad(shown, load if load.is_possible() else None)
