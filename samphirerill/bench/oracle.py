"""Hold what callers got against what was promised.

The stand-ins' tokens depend on the prompt and the index alone, and each
request has a prompt of its own, so the right answer is known, a foreign token
is recognised, and the engines can be asked which prompts they ran.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.testing.engine import make_token

if TYPE_CHECKING:
    from samphirerill.bench.calls import Got


@dataclass(slots=True)
class Verdict:
    """Broken promises by kind; `leaked` counts foreign or wrong tokens."""

    leaked: int = 0
    not_whole: int = 0
    untrue_refusals: int = 0
    without_end: int = 0
    notes: list[str] = field(default_factory=list)

    @property
    def violations(self) -> int:
        """All broken promises."""
        return (
            self.leaked
            + self.not_whole
            + self.untrue_refusals
            + self.without_end
        )


def judge(found: list[Got], ran: set[str]) -> Verdict:
    """Return the promises that a load saw broken.

    Parameters
    ----------
    found : list of Got
        What callers got.
    ran : set of str
        The prompts that any engine started on.
    """
    verdict = Verdict()
    for got in found:
        _judge_one(got, ran, verdict)
    return verdict


def _judge_one(got: Got, ran: set[str], verdict: Verdict) -> None:
    ask = got.ask
    expected = [make_token(ask.prompt, at) for at in range(ask.tokens)]
    if got.texts != expected[: len(got.texts)]:
        verdict.leaked += 1
        verdict.notes.append(f'wrong tokens for {ask.prompt!r}')
    elif got.is_answered and len(got.texts) != ask.tokens:
        verdict.not_whole += 1
        verdict.notes.append(
            f'{ask.prompt!r} answered with {len(got.texts)} tokens'
        )
    elif got.outcome == 'not-run' and ask.prompt in ran:
        verdict.untrue_refusals += 1
        verdict.notes.append(f'{ask.prompt!r} ran, but was told not run')
    elif not got.outcome:
        verdict.without_end += 1
        verdict.notes.append(f'{ask.prompt!r} has no outcome: {got.code}')
