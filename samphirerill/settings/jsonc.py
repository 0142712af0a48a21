"""Read JSON with comments and remember which line each value is on."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any

from json_source_map import calculate

from samphirerill.settings.errors import Finding, InvalidDocumentError

_TOKEN = re.compile(
    r'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/',
    re.DOTALL,
)
_TRAILING_COMMA = re.compile(r'"(?:\\.|[^"\\])*"|,(?=\s*[}\]])')


@dataclass(slots=True)
class Parsed:
    """A document and, for each JSON pointer in it, its line from 1."""

    source: str
    document: Any
    lines: dict[str, int]

    def find_line(self, pointer: str) -> int:
        """Return the line of a value or of the nearest thing around it."""
        while pointer and pointer not in self.lines:
            pointer = pointer.rpartition('/')[0]
        return self.lines.get(pointer, 1)


def parse_commented(text: str, source: str) -> Parsed:
    """Parse JSON that may hold ``//`` and ``/* */`` comments.

    Parameters
    ----------
    text : str
        The document.
    source : str
        The file's name, for messages.

    Raises
    ------
    InvalidDocumentError
        The text is not JSON, or an object names a key twice.
    """
    plain = _TRAILING_COMMA.sub(_blank, _TOKEN.sub(_blank, text))
    try:
        document = json.loads(plain, object_pairs_hook=_refuse_repeats)
    except json.JSONDecodeError as exc:
        message = f'got {exc.msg.lower()}, expected JSON with comments'
        finding = Finding('', exc.lineno, message)
        raise InvalidDocumentError(source, [finding]) from exc
    except RepeatedKeyError as exc:
        finding = Finding(exc.key, _find_repeat(plain, exc.key), str(exc))
        raise InvalidDocumentError(source, [finding]) from exc
    lines = {
        pointer: entry.value_start.line + 1
        for pointer, entry in calculate(plain).items()
    }
    return Parsed(source, document, lines)


def read_commented(path: str) -> Parsed:
    """Read and parse a file; see :func:`parse_commented`."""
    try:
        with open(path, encoding='utf-8') as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as exc:
        message = f'got {exc}, expected a readable UTF-8 file'
        raise InvalidDocumentError(path, [Finding('', 0, message)]) from exc
    return parse_commented(text, path)


class RepeatedKeyError(ValueError):
    """An object names a key twice; JSON parsers would keep the last."""

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(
            f'got the key {key!r} twice in one object, expected it once',
        )


def _blank(match: re.Match[str]) -> str:
    """Replace a comment by blanks of equal shape, so that lines stay."""
    text = match.group()
    if text.startswith('"'):
        return text
    return re.sub(r'[^\n]', ' ', text)


def _refuse_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, member in pairs:
        if key in found:
            raise RepeatedKeyError(key)
        found[key] = member
    return found


def _find_repeat(text: str, key: str) -> int:
    """Return the line of a key's last mention."""
    position = text.rfind(json.dumps(key))
    return text.count('\n', 0, position) + 1
