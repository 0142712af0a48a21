"""Claims on idempotency keys, so that work runs at most once fleet-wide.

A claim is written to the platform's service before the first byte of the
request goes out. All claims and outcomes of a flush share one transaction.
Only the service decides who holds a key; no node's memory is believed.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from samphirerill.backends.store import (
    Absent,
    Holds,
    Put,
    Transaction,
)

if TYPE_CHECKING:
    from samphirerill.backends.store import Committed, Stored
    from samphirerill.core.commands import Outcome, WriteClaim

CLAIMS_PREFIX = 'claims/'
MAX_KEPT_ANSWER = 65_536
RUNNING = 'running'
MISMATCH = 'mismatch'


@dataclass(slots=True)
class Claim:
    """One key's claim as this node wrote it.

    `answer` is the kept answer of a settled claim, or nothing.
    """

    key: str
    holder: str
    request_id: str
    fingerprint: str
    state: str = RUNNING
    answer: dict[str, Any] = field(default_factory=dict)

    def to_text(self) -> str:
        """Return the claim as it is stored; equal claims, equal text."""
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
    """A claim's outcome; `claim` is as it was written, to find it again.

    Never "not run": such a claim is removed by ``build_release`` instead. A
    removal that is sent twice must not remove the claim that a retry has
    won in between, or the work would run twice.
    """

    claim: Claim
    outcome: Outcome
    answer: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Verdict:
    """What the service says of one claim.

    `state` is ``won``, ``running``, ``answered``, ``may-have-run`` or
    ``mismatch``.
    """

    claim: Claim
    state: str
    holder: str = ''
    answer: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Batch:
    """Claims and outcomes that go out in one transaction."""

    claims: list[Claim] = field(default_factory=list)
    settlements: list[Settlement] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.claims or self.settlements)


def build_claim(command: WriteClaim, holder: str, prefix: str) -> Claim:
    """Return the claim of a command.

    The key is a digest over the account first, so that two accounts that
    choose the same key never meet, nor learn of each other.
    """
    parts = json.dumps([command.account, command.route, command.key])
    digest = hashlib.sha256(parts.encode()).hexdigest()
    return Claim(
        f'{prefix}{CLAIMS_PREFIX}{digest}',
        holder,
        command.request_id,
        command.fingerprint,
    )


def build_transaction(batch: Batch, lease: str) -> Transaction:
    """Return one transaction for a batch.

    Claims are written only if none of their keys is taken; outcomes are
    written either way. If a key is taken, all claims of the batch are read
    and whoever lost is taken out before the next try.
    """
    transaction = Transaction()
    for settlement in batch.settlements:
        _add_settlement(settlement, lease, transaction)
    for claim in batch.claims:
        transaction.conditions.append(Absent(claim.key))
        transaction.puts.append(Put(claim.key, claim.to_text(), lease))
        transaction.read.append(claim.key)
    return transaction


def build_release(claim: Claim) -> Transaction:
    """Return a transaction that removes a claim if it is still this one."""
    return Transaction(
        conditions=[Holds(claim.key, claim.to_text())], deletes=[claim.key]
    )


def read_verdicts(
    claims: list[Claim], committed: Committed
) -> tuple[list[Verdict], list[Claim]]:
    """Return what is decided after a transaction, and what to try again."""
    if committed.succeeded:
        return [Verdict(claim, 'won') for claim in claims], []
    verdicts = []
    unresolved = []
    for claim in claims:
        stored = committed.found.get(claim.key)
        if stored is None:
            unresolved.append(claim)
        else:
            verdicts.append(_compare_claim(claim, stored))
    return verdicts, unresolved


def _compare_claim(claim: Claim, stored: Stored) -> Verdict:
    """Compare a claim with what stands under its key.

    One's own claim is there when the answer to the write was lost and the
    write was sent again.
    """
    document = json.loads(stored.text)
    holder = document['holder']
    if document['request'] == claim.request_id and holder == claim.holder:
        return Verdict(claim, 'won')
    if document['fingerprint'] != claim.fingerprint:
        return Verdict(claim, MISMATCH, holder)
    return Verdict(claim, document['state'], holder, document['answer'])


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
    transaction.otherwise.append(put)
