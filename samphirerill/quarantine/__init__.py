"""Detection and quarantine of requests that crash the endpoints running them."""

from samphirerill.quarantine.decision import HoldChange, Quarantine
from samphirerill.quarantine.identity import (
    RequestParts,
    digest_parts,
    digest_request,
)
from samphirerill.quarantine.parts import PartQuarantine
from samphirerill.quarantine.records import Crash, EvidenceRecord

__all__ = (
    'Crash',
    'HoldChange',
    'PartQuarantine',
    'Quarantine',
    'EvidenceRecord',
    'RequestParts',
    'digest_parts',
    'digest_request',
)
