"""Client of the platform's VM list, which lags behind the actual state.

The list has the format of Prometheus HTTP service discovery: a JSON array of
objects with ``targets`` (names of endpoints) and ``labels``, among them
``state``, which is ``live`` or ``leaving``.
"""

from __future__ import annotations

from result import Err, Ok, Result
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from samphirerill.core.events import VmListRead
from samphirerill.decoding.decoders import parse_json

_READ_TIMEOUT_S = 1.0


class VmListError(Exception):
    """The VM list could not be fetched or is invalid."""


class VmList:
    """Blocking client of the VM list."""

    def __init__(self, address: str) -> None:
        self._url = f'http://{address}/vms'
        self._http = PoolManager(retries=False)

    def read(self) -> Result[VmListRead, VmListError]:
        """Fetch the live and the leaving endpoints."""
        try:
            response = self._http.request(
                'GET', self._url, timeout=Timeout(total=_READ_TIMEOUT_S)
            )
            groups = parse_json(response.data)
            states = {
                target: group['labels']['state']
                for group in groups
                for target in group['targets']
            }
        except (HTTPError, LookupError, TypeError, ValueError) as exc:
            return Err(VmListError(f'cannot read the VM list: {exc}'))
        leaving = {name for name in states if states[name] == 'leaving'}
        return Ok(
            VmListRead(
                live=frozenset(states) - leaving, leaving=frozenset(leaving)
            ),
        )
