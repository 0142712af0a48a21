"""Apply patches (RFC 6902) with structural sharing.

Copying the whole document for each change would block the event loop and delay
tokens. Only the containers on the path to a change are copied; the rest is
shared, so code that builds objects from the document can recognise unchanged
parts by identity.
"""

from __future__ import annotations

from copy import copy
from typing import Any

from jsonpatch import JsonPatch, JsonPatchException
from jsonpointer import JsonPointer, JsonPointerException

from samphirerill.control.errors import InvalidPatchError


def apply_patch(document: Any, patch: list[Any]) -> Any:
    """Return a document with a patch applied; the original is unchanged.

    Parameters
    ----------
    document : object
        JSON values; never changed.
    patch : list
        RFC 6902 operations; never changed.

    Raises
    ------
    InvalidPatchError
        An operation is malformed or does not fit the document.
    """
    try:
        for operation in patch:
            document = _apply_operation(document, operation)
    except (
        JsonPatchException,
        JsonPointerException,
        TypeError,
        AttributeError,
    ) as exc:
        raise InvalidPatchError(
            [], f'got a patch that can not be applied: {exc}'
        ) from exc
    return document


def _apply_operation(document: Any, operation: Any) -> Any:
    """Apply one operation to copies of the containers it changes.

    Each operation makes its own copies: an earlier one may have moved a
    container here that is still part of the original.
    """
    changed = document
    for pointer in (operation.get('path'), operation.get('from')):
        if pointer is not None:
            changed = _copy_path(changed, JsonPointer(pointer).parts)
    return JsonPatch([operation]).apply(changed, in_place=True)


def _copy_path(node: Any, parts: list[str]) -> Any:
    """Return the node with each container on the path to a place copied."""
    copied = copy(node)
    if parts and isinstance(copied, dict) and parts[0] in copied:
        copied[parts[0]] = _copy_path(copied[parts[0]], parts[1:])
    elif parts and isinstance(copied, list) and parts[0].isdigit():
        index = int(parts[0])
        if index < len(copied):
            copied[index] = _copy_path(copied[index], parts[1:])
    return copied
