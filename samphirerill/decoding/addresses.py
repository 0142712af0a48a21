"""Check addresses that others wrote."""

from __future__ import annotations

from socket import AF_INET, inet_pton

# Connecting raises `OverflowError` for a port out of range, and `ValueError` for
# a host that can't be a name.
CONNECT_ERRORS = (OSError, OverflowError, ValueError)
_MAX_PORT_DIGITS = 5
MAX_PORT = 65_535


def is_address(text: str, min_port: int = 1) -> bool:
    """Return whether a text is ``IP:PORT``, with an IPv4 address.

    Parameters
    ----------
    text : str
        The text.
    min_port : int
        The lowest port to accept. A process that lets the system choose its
        port names port 0.
    """
    host, _, port = text.rpartition(':')
    if not (port.isascii() and port.isdigit()) or len(port) > _MAX_PORT_DIGITS:
        return False
    if not min_port <= int(port) <= MAX_PORT:
        return False
    try:
        inet_pton(AF_INET, host)
    except (OSError, ValueError):
        return False
    return True
