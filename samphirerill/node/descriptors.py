"""How many descriptors of a process its clients may take."""

from __future__ import annotations

import resource

# The least that a VM allows to a process, and what it reserves for files.
_ASSUMED_DESCRIPTORS = 4100
_RESERVED_DESCRIPTORS = 200
# Endpoints, the store and other nodes need the others.
_CLIENT_SHARE = 0.5


def derive_max_connections() -> int:
    """Return how many connections clients may keep open."""
    soft_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = _ASSUMED_DESCRIPTORS
    descriptors = min(soft_limit, _ASSUMED_DESCRIPTORS)
    shared = max(descriptors - _RESERVED_DESCRIPTORS, 2)
    return int(shared * _CLIENT_SHARE)
