"""The platform's lagging list of VMs.

Source: the published form of HTTP service discovery: a JSON list of objects
with ``targets`` (here endpoints' names) and ``labels``, of which ``state`` is
``live`` or ``leaving``.
"""

from __future__ import annotations

import json

from result import Err, Ok, Result
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from samphirerill.core.events import VmListRead

_TIMEOUT_S = 1.0


class VmListError(Exception):
    """The list could not be read or is no list."""


class VmList:
    """Reads the list; every read blocks."""

    def __init__(self, address: str) -> None:
        self._url = f'http://{address}/vms'
        self._http = PoolManager(retries=False)

    def read(self) -> Result[VmListRead, VmListError]:
        """Return which endpoints are live and leaving, or why not."""
        try:
            response = self._http.request(
                'GET', self._url, timeout=Timeout(total=_TIMEOUT_S)
            )
            groups = json.loads(response.data)
            states = {
                target: group['labels']['state']
                for group in groups
                for target in group['targets']
            }
        except (HTTPError, LookupError, TypeError, ValueError) as exc:
            return Err(VmListError(f'got no list of VMs: {exc}'))
        leaving = {name for name in states if states[name] == 'leaving'}
        return Ok(
            VmListRead(
                live=frozenset(states) - leaving, leaving=frozenset(leaving)
            ),
        )
