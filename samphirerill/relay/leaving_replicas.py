"""Decide whether a stream in progress should be rerouted, and how."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.stream_path import StreamPath


def should_seek_path(path: StreamPath) -> bool:
    """Return whether to look for an alternative path.

    A stream with a lost stage waits in the queue for one; a stream whose path
    works is rerouted only if another path has capacity right now.
    """
    if not path.stages:
        return False
    return bool(path.list_failed()) or _has_path_with_other_head(path)


def must_resend_to_head(path: StreamPath) -> bool:
    """Return whether the stream must be resent to the same first replica.

    This is the case if a later stage was lost and every path with capacity
    starts at the same first replica, which did not reroute the stream itself.
    """
    if not path.has_lost_later_stage() or _has_path_with_other_head(path):
        return False
    return bool(path.find_resend())


def _has_path_with_other_head(path: StreamPath) -> bool:
    return bool(path.find_parallel(path.list_failed()))
