"""Errors of the settings layer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Finding:
    """One thing wrong with a document.

    `line` counts from 1; 0 means that the place has no line of its own.
    """

    place: str
    line: int
    message: str

    def describe(self, source: str) -> str:
        """Return the finding as one line that editors can jump to."""
        place = self.place or 'the document'
        return f'{source}:{self.line or 1}: {place}: {self.message}'


class InvalidDocumentError(Exception):
    """A document has errors; `findings` lists every one of them."""

    def __init__(self, source: str, findings: list[Finding]) -> None:
        self.source = source
        self.findings = findings
        super().__init__(
            '\n'.join(finding.describe(source) for finding in findings),
        )
