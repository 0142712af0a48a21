"""Detection and quarantine of requests that crash the endpoints running them."""

from samphirerill.quarantine.decision import HoldChange, Quarantine
from samphirerill.quarantine.identity import digest_request
from samphirerill.quarantine.records import Crash, EvidenceRecord

__all__ = (
    'Crash',
    'HoldChange',
    'Quarantine',
    'EvidenceRecord',
    'digest_request',
)
