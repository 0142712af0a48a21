"""Settings of sharing capacity between ranks and client accounts."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

# With half of the capacity, the guarantee would outweigh the ranks.
_MAX_GUARANTEED_SHARE = 0.5


class SharingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Which capacity is shared across nodes.

    Attributes
    ----------
    ranks : bool
        Requests of a less urgent rank leave capacity to more urgent ones that
        wait at other nodes.
    accounts : bool
        Within a rank, accounts above their share leave capacity to others.
    guaranteed_share : float
        The share of the capacity in use that each less urgent rank gets while
        more urgent requests are waiting, from 0 to 0.5.
    slots : bool
        Nodes take the last free slots of engines in turns, so that they do not
        overfill one together. Requests wait longer for that, and after a burst
        timely ones at one node wait behind late ones at another.
    """

    ranks: bool = False
    accounts: bool = False
    guaranteed_share: Annotated[float, Meta(ge=0, le=_MAX_GUARANTEED_SHARE)] = (
        0.05
    )
    slots: bool = False

    def restrict(self, rank_count: int, account_count: int) -> SharingSettings:
        """Return the settings for a service with so many ranks and accounts.

        With a single one there is nothing to share, and decisions are those
        of a node without sharing.
        """
        return SharingSettings(
            ranks=self.ranks and rank_count > 1,
            accounts=self.accounts and account_count > 1,
            guaranteed_share=self.guaranteed_share,
            slots=self.slots,
        )
