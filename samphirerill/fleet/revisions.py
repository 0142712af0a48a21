"""Revisions of the store, ordered across its eras.

The store's own counter goes back when it is restored from a copy, and then
gives out numbers again. Everywhere but in calls to the store, a revision is one
integer with the era in its high bits, so that comparing two revisions compares
their eras first.
"""

from __future__ import annotations

_NUMBER_BITS = 40
# Keeps revisions exact where numbers are read as 64-bit floats.
_REVISION_BITS = 53
MAX_ERA = 2 ** (_REVISION_BITS - _NUMBER_BITS) - 1
MAX_NUMBER = 2**_NUMBER_BITS - 1


def build_revision(era: int, number: int) -> int:
    """Return the revision for the store's `number` in an era."""
    return era << _NUMBER_BITS | number


def get_era(revision: int) -> int:
    """Return the era in which a revision was given out."""
    return revision >> _NUMBER_BITS


def get_number(revision: int) -> int:
    """Return the number that the store itself gave to a revision."""
    return revision & MAX_NUMBER


def describe_revision(revision: int) -> str:
    """Return ``ERA/NUMBER``, for logs."""
    return f'{get_era(revision)}/{get_number(revision)}'
