"""Ask a running node's operators' interface."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

if TYPE_CHECKING:
    import argparse

KEY_VARIABLE = 'SAMPHIRERILL_OPERATOR_KEY'
ADDRESS_VARIABLE = 'SAMPHIRERILL_OPERATORS'
_TIMEOUT_S = 15.0
_BAD = 400


class RemoteError(Exception):
    """A node gave no answer or refused."""


def add_remote_options(parser: argparse.ArgumentParser) -> None:
    """Let a command name the node it asks."""
    parser.add_argument(
        '--node',
        metavar='HOST:PORT',
        default=os.environ.get(ADDRESS_VARIABLE, '127.0.0.1:8081'),
        help=f"the node's operators' address (default: {ADDRESS_VARIABLE})",
    )


def ask_operator(
    options: argparse.Namespace, target: str, document: Any = None
) -> Any:
    """Call a node's operators' interface and return its JSON answer.

    Raises
    ------
    RemoteError
        The node gave no answer or refused.
    """
    key = os.environ.get(KEY_VARIABLE, '')
    if not key:
        raise RemoteError(f'got no key, expected one in {KEY_VARIABLE}')
    body = None if document is None else json.dumps(document)
    try:
        response = PoolManager(retries=False).request(
            'GET' if body is None else 'POST',
            f'http://{options.node}{target}',
            body=body,
            headers={'Authorization': f'Bearer {key}'},
            timeout=Timeout(total=_TIMEOUT_S),
        )
        answer = json.loads(response.data)
    except (HTTPError, ValueError) as exc:
        raise RemoteError(f'no answer from {options.node}: {exc}') from exc
    if response.status >= _BAD:
        raise RemoteError(f'{answer["title"]}: {answer["detail"]}')
    return answer
