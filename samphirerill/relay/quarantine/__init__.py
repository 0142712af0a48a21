"""Quarantine of requests that crash the replicas that run them."""

from samphirerill.relay.quarantine.keeper import Keeper
from samphirerill.relay.quarantine.sharing import Sharing
from samphirerill.relay.quarantine.stored_holds import StoredHolds
from samphirerill.relay.quarantine.witness import Witness

__all__ = ('Keeper', 'Sharing', 'StoredHolds', 'Witness')
