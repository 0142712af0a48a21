"""Parse JSON with comments and record the line of each value."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from json_source_map import calculate

from samphirerill.decoding.decoders import parse_json
from samphirerill.settings.errors import Finding, InvalidDocumentError

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/',
    re.DOTALL,
)
_STRING_OR_TRAILING_COMMA = re.compile(r'"(?:\\.|[^"\\])*"|,(?=\s*[}\]])')


@dataclass(slots=True)
class ParsedDocument:
    """A document and a map from its JSON pointers to lines, from 1."""

    source: str
    document: Any
    lines: dict[str, int]

    def find_line(self, pointer: str) -> int:
        """Return the line of a value, or of its nearest known ancestor."""
        while pointer and pointer not in self.lines:
            pointer = pointer.rpartition('/')[0]
        return self.lines.get(pointer, 1)


def parse_jsonc(text: str, source: str) -> ParsedDocument:
    """Parse JSON with ``//`` and ``/* */`` comments and trailing commas.

    Parameters
    ----------
    text : str
        The document.
    source : str
        The file name to report in errors.

    Raises
    ------
    InvalidDocumentError
        The text is not JSON, or an object has a duplicate key.
    """
    json_text = _STRING_OR_TRAILING_COMMA.sub(
        _blank_out, _STRING_OR_COMMENT.sub(_blank_out, text)
    )
    try:
        document = parse_json(json_text, _reject_duplicate_keys)
        entries = calculate(json_text)
    except json.JSONDecodeError as exc:
        message = f'got {exc.msg.lower()}, expected JSON with comments'
        finding = Finding('', exc.lineno, message)
        raise InvalidDocumentError(source, [finding]) from exc
    except DuplicateKeyError as exc:
        finding = Finding(
            exc.key, _find_duplicate_line(json_text, exc.key), str(exc)
        )
        raise InvalidDocumentError(source, [finding]) from exc
    except (ValueError, RecursionError) as exc:
        finding = Finding('', 1, f'{exc}; expected JSON with comments')
        raise InvalidDocumentError(source, [finding]) from exc
    lines = {
        pointer: entry.value_start.line + 1
        for pointer, entry in entries.items()
    }
    return ParsedDocument(source, document, lines)


def read_jsonc(path: str) -> ParsedDocument:
    """Read and parse a file; see :func:`parse_jsonc`."""
    try:
        with open(path, encoding='utf-8') as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as exc:
        message = f'got {exc}, expected a readable UTF-8 file'
        raise InvalidDocumentError(path, [Finding('', 0, message)]) from exc
    return parse_jsonc(text, path)


class DuplicateKeyError(ValueError):
    """An object has a duplicate key; ``json`` would keep the last value."""

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(
            f'got the key {key!r} twice in one object, expected it once',
        )


def _blank_out(match: re.Match[str]) -> str:
    """Overwrite a match with blanks, which keeps lines and columns."""
    text = match.group()
    if text.startswith('"'):
        return text
    return re.sub(r'[^\n]', ' ', text)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    members: dict[str, Any] = {}
    for key, json_value in pairs:
        if key in members:
            raise DuplicateKeyError(key)
        members[key] = json_value
    return members


def _find_duplicate_line(text: str, key: str) -> int:
    """Return the line where a key occurs last."""
    position = text.rfind(json.dumps(key))
    return text.count('\n', 0, position) + 1
