"""Quarantine of requests that crash the replicas that run them."""

from samphirerill.relay.quarantine.crash_detector import CrashDetector
from samphirerill.relay.quarantine.evidence_exchange import EvidenceExchange
from samphirerill.relay.quarantine.manager import QuarantineManager
from samphirerill.relay.quarantine.stored_holds import StoredHolds

__all__ = (
    'QuarantineManager',
    'EvidenceExchange',
    'StoredHolds',
    'CrashDetector',
)
