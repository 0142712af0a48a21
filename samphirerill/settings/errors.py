"""Validation errors of settings and configuration documents."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Finding:
    """One validation error in a document.

    `pointer` is the JSON pointer of the faulty value; `line` counts from 1
    and is 0 if unknown.
    """

    pointer: str
    line: int
    message: str

    def format_line(self, source: str) -> str:
        """Format the finding as ``file:line: pointer: message``."""
        location = self.pointer or 'the document'
        return f'{source}:{self.line or 1}: {location}: {self.message}'


class InvalidDocumentError(Exception):
    """A document is invalid; `findings` lists all of its errors."""

    def __init__(self, source: str, findings: list[Finding]) -> None:
        self.source = source
        self.findings = findings
        super().__init__(
            '\n'.join(finding.format_line(source) for finding in findings),
        )
