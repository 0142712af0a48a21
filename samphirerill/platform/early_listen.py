"""Listen for clients before the rest of the program is imported.

The imports take most of a node's start. Clients that come back meanwhile wait for
their response instead of being refused a connection, which would use up their
retries. Only what the interpreter has loaded anyway is imported here.
"""

from __future__ import annotations

import json
import os
import socket

SETTINGS_VARIABLE = 'SAMPHIRERILL_SETTINGS'
_COMMENT = '//'
_UNREADABLE = (
    AttributeError,
    LookupError,
    OSError,
    RecursionError,
    ValueError,
)
# As many clients may come back at once.
_BACKLOG = 1024


def open_client_socket() -> socket.socket | None:
    """Return a socket that listens at the address for clients.

    Return none if the settings can't be read so early; they are checked, and
    errors are reported, when the node loads them.
    """
    try:
        host, port = _read_address(os.environ[SETTINGS_VARIABLE])
    except _UNREADABLE:
        return None
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind((host, port))
    except (OSError, OverflowError):
        sock.close()
        return None
    sock.listen(_BACKLOG)
    return sock


def format_address(sock: socket.socket) -> str:
    """Return the address of a socket as ``IP:PORT``."""
    host, port = sock.getsockname()
    return f'{host}:{port}'


def _read_address(path: str) -> tuple[str, int]:
    """Return the address for clients in a settings file.

    Comments that share a line with a value are left to the complete reader, as
    is what can be read only once.
    """
    if not os.path.isfile(path):
        raise ValueError(f'{path}: not a regular file')
    with open(path, encoding='utf-8') as lines:
        text = ''.join(
            line for line in lines if not line.lstrip().startswith(_COMMENT)
        )
    host, _, port = str(json.loads(text).get('callers', '')).rpartition(':')
    if not host:
        raise ValueError(f'{path}: no address for clients')
    return host, int(port)
