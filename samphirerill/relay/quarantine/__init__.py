"""Find the requests that end replicas, and tell the other nodes of them."""

from samphirerill.relay.quarantine.keeper import Keeper
from samphirerill.relay.quarantine.sharing import Sharing
from samphirerill.relay.quarantine.stored_holds import StoredHolds
from samphirerill.relay.quarantine.witness import Witness

__all__ = ('Keeper', 'Sharing', 'StoredHolds', 'Witness')
