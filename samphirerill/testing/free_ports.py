"""Find ports that nodes can listen on at several loopback addresses."""

from __future__ import annotations

import socket
from random import Random

# Below those that the kernel gives to connections and to listeners without a
# port, which may take a port at one address while it is free at another.
_PORTS = range(12_000, 20_000)
_ALL_ADDRESSES = '0.0.0.0'  # noqa: S104


def find_ports() -> tuple[int, int]:
    """Return a port for datagrams and one for calls, free at all addresses."""
    random = Random()  # noqa: S311
    candidates = random.sample(_PORTS, len(_PORTS))
    free = filter(is_free, candidates)
    return next(free), next(free)


def is_free(port: int) -> bool:
    """Return whether nothing uses a port for connections or datagrams."""
    return all(
        _can_bind(port, kind)
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    )


def _can_bind(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(type=kind) as sock:
        if kind is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((_ALL_ADDRESSES, port))
        except OSError:
            return False
    return True
