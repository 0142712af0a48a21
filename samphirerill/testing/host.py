"""Run fakes in one process until its standard input closes.

The specification is a JSON object::

    {"kv": true, "vm_list": true, "services": ["s1"],
     "engines": {"e1": {"slots": 8, "step_ms": 26, "layer_ms": 0.1}}}

Once all of them listen, their addresses are printed as one line of JSON.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from samphirerill.testing.engine import FakeEngine
from samphirerill.testing.key_value_service import FakeKeyValueService
from samphirerill.testing.services import FakeService, FakeVmList

_HOST = '127.0.0.1'


async def start_fakes(spec: dict[str, Any]) -> dict[str, Any]:
    """Start the specified fakes; return their addresses."""
    addresses: dict[str, Any] = {}
    if spec.get('kv'):
        addresses['kv'] = _get_address(
            await FakeKeyValueService().start(_HOST, 0)
        )
    if spec.get('vm_list'):
        lag_s = spec.get('vm_list_lag_s', 0)
        addresses['vm_list'] = _get_address(
            await FakeVmList(lag_s).start(_HOST, 0)
        )
    services = spec.get('services', ())
    servers = await asyncio.gather(
        *(FakeService().start(_HOST, 0) for _ in services)
    )
    addresses['services'] = dict(
        zip(services, map(_get_address, servers), strict=True)
    )
    engines = spec.get('engines', {})
    engine_addresses = await asyncio.gather(
        *(FakeEngine(**options).start(_HOST, 0) for options in engines.values())
    )
    addresses['engines'] = dict(zip(engines, engine_addresses, strict=True))
    return addresses


async def run_host(spec: dict[str, Any]) -> None:
    """Start the fakes, print their addresses, serve until stdin closes."""
    addresses = await start_fakes(spec)
    sys.stdout.write(f'{json.dumps(addresses)}\n')
    sys.stdout.flush()
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Read the specification from the first argument and run."""
    asyncio.run(run_host(json.loads(sys.argv[1])))


def _get_address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


if __name__ == '__main__':
    main()
