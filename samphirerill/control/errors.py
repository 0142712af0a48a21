"""Errors of the configuration in the key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.settings.errors import Finding


class ConfigurationError(Exception):
    """Base of the errors of the configuration in the store."""


class InvalidPatchError(ConfigurationError):
    """The patch cannot be applied or its result is invalid."""

    def __init__(self, findings: list[Finding], detail: str = '') -> None:
        self.findings = findings
        lines = [finding.format_line('patched') for finding in findings]
        super().__init__('\n'.join(lines) or detail)
