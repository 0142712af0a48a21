"""Whether a stream that has begun may leave its path, and how."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.stream_path import StreamPath


def may_leave(path: StreamPath) -> bool:
    """Return whether it is worth while to look for a path beside this one.

    For a part that is lost a stream waits in the queue; a part that works is
    left only if another path has room at once.
    """
    if not path.stages:
        return False
    return bool(path.list_lost()) or _has_beside(path)


def must_begin_here(path: StreamPath) -> bool:
    """Return whether a lost later part can only be left from the same head.

    The head did not move the stream; over other parts the stream could be sent
    there again, and it begins nowhere else.
    """
    lost = path.list_lost()
    if not lost or path.head_id in lost or _has_beside(path):
        return False
    return bool(path.finder.find_other(lost))


def _has_beside(path: StreamPath) -> bool:
    wanted = path.finder.build_beside(path.head_id, path.list_lost())
    return bool(path.finder.find(wanted))
