"""Claims on idempotency keys, so that a request runs at most once fleet-wide.

A claim is written to the platform's key-value store before the first byte of
the request is sent. All claims and outcomes of a batch share one transaction.
Only the store decides which request holds a key; nodes do not cache claims.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from samphirerill.backends.store import (
    KeyAbsent,
    Put,
    Transaction,
    ValueEquals,
)

if TYPE_CHECKING:
    from samphirerill.backends.store import StoredEntry, TransactionResult
    from samphirerill.core.commands import Outcome, WriteClaim

CLAIMS_PREFIX = 'claims/'
MAX_STORED_RESPONSE_SIZE = 65_536
RUNNING = 'running'
MISMATCH = 'mismatch'


@dataclass(slots=True)
class Claim:
    """The claim on one key as this node wrote it.

    `answer` is the stored answer of a settled claim, or empty.
    """

    key: str
    holder: str
    request_id: str
    fingerprint: str
    state: str = RUNNING
    answer: dict[str, Any] = field(default_factory=dict)

    def to_text(self) -> str:
        """Return the stored form; equal claims give equal text."""
        return json.dumps(
            {
                'holder': self.holder,
                'request': self.request_id,
                'fingerprint': self.fingerprint,
                'state': self.state,
                'answer': self.answer,
            },
            sort_keys=True,
        )


@dataclass(slots=True)
class Settlement:
    """The outcome of a claim; `claim` is the claim as it was written.

    The outcome is never "not run": such a claim is removed by
    ``build_release``, which leaves the key alone if a retry has claimed it in
    the meantime.
    """

    claim: Claim
    outcome: Outcome
    answer: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class ClaimResult:
    """The result of one claim, as decided by the store.

    `state` is ``won``, ``running``, ``answered``, ``may-have-run`` or
    ``mismatch``.
    """

    claim: Claim
    state: str
    holder: str = ''
    answer: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class ClaimBatch:
    """Claims and outcomes that are written in one transaction."""

    claims: list[Claim] = field(default_factory=list)
    settlements: list[Settlement] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.claims or self.settlements)


def build_claim(command: WriteClaim, holder: str, prefix: str) -> Claim:
    """Return the claim for a command.

    The stored key is a digest that includes the account, so that equal keys of
    two accounts neither collide nor reveal each other.
    """
    parts = json.dumps([command.account, command.route, command.key])
    digest = hashlib.sha256(parts.encode()).hexdigest()
    return Claim(
        f'{prefix}{CLAIMS_PREFIX}{digest}',
        holder,
        command.request_id,
        command.fingerprint,
    )


def build_transaction(batch: ClaimBatch, lease: str) -> Transaction:
    """Return one transaction for a batch.

    Claims are written only if none of their keys exists; outcomes are written
    either way. If a key exists, all claims of the batch are read back and
    those that lost are removed before the next attempt.
    """
    transaction = Transaction()
    for settlement in batch.settlements:
        _add_settlement(settlement, lease, transaction)
    for claim in batch.claims:
        transaction.conditions.append(KeyAbsent(claim.key))
        transaction.puts.append(Put(claim.key, claim.to_text(), lease))
        transaction.else_reads.append(claim.key)
    return transaction


def build_release(claim: Claim) -> Transaction:
    """Return a transaction that removes a claim if it is unchanged."""
    return Transaction(
        conditions=[ValueEquals(claim.key, claim.to_text())],
        deletes=[claim.key],
    )


def read_results(
    claims: list[Claim], committed: TransactionResult
) -> tuple[list[ClaimResult], list[Claim]]:
    """Return the decided claims and those to write again."""
    if committed.succeeded:
        return [ClaimResult(claim, 'won') for claim in claims], []
    decided = []
    unresolved = []
    for claim in claims:
        stored = committed.entries.get(claim.key)
        if stored is None:
            unresolved.append(claim)
        else:
            decided.append(_compare_claim(claim, stored))
    return decided, unresolved


def _compare_claim(claim: Claim, stored: StoredEntry) -> ClaimResult:
    """Compare a claim with what is stored under its key.

    The stored claim is this one if the reply to an earlier write was lost and
    the write was repeated.
    """
    document = json.loads(stored.stored_value)
    holder = document['holder']
    if document['request'] == claim.request_id and holder == claim.holder:
        return ClaimResult(claim, 'won')
    if document['fingerprint'] != claim.fingerprint:
        return ClaimResult(claim, MISMATCH, holder)
    return ClaimResult(claim, document['state'], holder, document['answer'])


def _add_settlement(
    settlement: Settlement, lease: str, transaction: Transaction
) -> None:
    claim = settlement.claim
    settled = Claim(
        claim.key,
        claim.holder,
        claim.request_id,
        claim.fingerprint,
        settlement.outcome.value,
        settlement.answer,
    )
    put = Put(claim.key, settled.to_text(), lease)
    transaction.puts.append(put)
    transaction.else_puts.append(put)
