"""Quarantine of requests that crash the replicas that run them."""

from samphirerill.relay.quarantine.keeper import QuarantineManager
from samphirerill.relay.quarantine.sharing import EvidenceExchange
from samphirerill.relay.quarantine.stored_holds import StoredHolds
from samphirerill.relay.quarantine.witness import CrashDetector

__all__ = (
    'QuarantineManager',
    'EvidenceExchange',
    'StoredHolds',
    'CrashDetector',
)
