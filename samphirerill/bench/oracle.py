"""Test oracle: check the results of requests against the guarantees.

The tokens of the simulated engines depend on prompt and index alone, and every
request has a unique prompt. So the correct answer is known, tokens of other
requests are recognised, and engines can report which prompts they executed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.testing.engine import make_token

if TYPE_CHECKING:
    from samphirerill.bench.http_client import RequestResult


@dataclass(slots=True)
class Verdict:
    """Number of violated guarantees by kind.

    `wrong_tokens` counts answers with wrong tokens or those of other requests,
    `incomplete` answers that wrongly claim to be complete, `false_refusals`
    requests that were executed although the client was told otherwise, and
    `missing_outcomes` responses without an outcome. Duplicate executions and
    lost updates count as `incomplete` too.
    """

    wrong_tokens: int = 0
    incomplete: int = 0
    false_refusals: int = 0
    missing_outcomes: int = 0
    notes: list[str] = field(default_factory=list)

    @property
    def violations(self) -> int:
        """Total number of violations."""
        return (
            self.wrong_tokens
            + self.incomplete
            + self.false_refusals
            + self.missing_outcomes
        )


def check_results(
    results: list[RequestResult], executed_prompts: set[str]
) -> Verdict:
    """Return the violations in the results of a load.

    Parameters
    ----------
    results : list of RequestResult
        Results of all requests.
    executed_prompts : set of str
        Prompts whose execution was started by any engine.
    """
    verdict = Verdict()
    for result in results:
        _check_result(result, executed_prompts, verdict)
    return verdict


def _check_result(
    result: RequestResult, executed_prompts: set[str], verdict: Verdict
) -> None:
    request = result.request
    expected = [
        make_token(request.prompt, index)
        for index in range(request.token_count)
    ]
    if result.texts != expected[: len(result.texts)]:
        verdict.wrong_tokens += 1
        verdict.notes.append(f'wrong tokens for {request.prompt!r}')
    elif result.is_answered and len(result.texts) != request.token_count:
        verdict.incomplete += 1
        verdict.notes.append(
            f'{request.prompt!r} answered with {len(result.texts)} tokens'
        )
    elif result.outcome == 'not-run' and request.prompt in executed_prompts:
        verdict.false_refusals += 1
        verdict.notes.append(
            f'{request.prompt!r} was executed, but reported as not run'
        )
    elif not result.outcome:
        verdict.missing_outcomes += 1
        verdict.notes.append(
            f'{request.prompt!r} has no outcome: {result.code}'
        )
