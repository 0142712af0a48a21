"""Client for the operator API of a running node."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

if TYPE_CHECKING:
    import argparse

KEY_ENV_VAR = 'SAMPHIRERILL_OPERATOR_KEY'
ADDRESS_ENV_VAR = 'SAMPHIRERILL_OPERATORS'
_TIMEOUT_S = 15.0
_MIN_ERROR_STATUS = 400


class RemoteError(Exception):
    """A node did not answer, or it answered with an error."""


def add_remote_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that select the node to call."""
    parser.add_argument(
        '--node',
        metavar='HOST:PORT',
        default=os.environ.get(ADDRESS_ENV_VAR, '127.0.0.1:8081'),
        help=f"address of the node's operator API (default: {ADDRESS_ENV_VAR})",
    )


def call_operator_api(
    options: argparse.Namespace, path: str, document: Any = None
) -> Any:
    """Call a node's operator API and return the decoded JSON response.

    Sends a POST request if there is a `document`, else a GET request.

    Raises
    ------
    RemoteError
        No operator key is set, or the node did not answer or rejected the
        request.
    """
    key = os.environ.get(KEY_ENV_VAR, '')
    if not key:
        raise RemoteError(f'no operator key: set {KEY_ENV_VAR}')
    body = None if document is None else json.dumps(document)
    try:
        response = PoolManager(retries=False).request(
            'GET' if body is None else 'POST',
            f'http://{options.node}{path}',
            body=body,
            headers={'Authorization': f'Bearer {key}'},
            timeout=Timeout(total=_TIMEOUT_S),
        )
        answer = json.loads(response.data)
    except (HTTPError, ValueError) as exc:
        raise RemoteError(f'no answer from {options.node}: {exc}') from exc
    if response.status >= _MIN_ERROR_STATUS:
        raise RemoteError(f'{answer["title"]}: {answer["detail"]}')
    return answer
