"""Run stand-ins in one process until its standard input closes.

The specification is a JSON object::

    {"kv": true, "vm_list": true, "services": ["s1"],
     "engines": {"e1": {"slots": 8, "step_ms": 26, "layer_ms": 0.1}}}

When all listen, one line of JSON names their addresses.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from samphirerill.testing.engine import EngineStandIn
from samphirerill.testing.kv import KeyValueStandIn
from samphirerill.testing.services import ServiceStandIn, VmListStandIn

_HOST = '127.0.0.1'


async def start_stand_ins(spec: dict[str, Any]) -> dict[str, Any]:
    """Start what the specification names; return the addresses."""
    found: dict[str, Any] = {}
    if spec.get('kv'):
        found['kv'] = _name(await KeyValueStandIn().start(_HOST, 0))
    if spec.get('vm_list'):
        lag_s = spec.get('vm_list_lag_s', 0)
        found['vm_list'] = _name(await VmListStandIn(lag_s).start(_HOST, 0))
    services = spec.get('services', ())
    servers = await asyncio.gather(
        *(ServiceStandIn().start(_HOST, 0) for _ in services)
    )
    found['services'] = dict(zip(services, map(_name, servers), strict=True))
    engines = spec.get('engines', {})
    addresses = await asyncio.gather(
        *(EngineStandIn(**shape).start(_HOST, 0) for shape in engines.values())
    )
    found['engines'] = dict(zip(engines, addresses, strict=True))
    return found


async def run_host(spec: dict[str, Any]) -> None:
    """Start the stand-ins, print their addresses, serve until told to end."""
    found = await start_stand_ins(spec)
    sys.stdout.write(f'{json.dumps(found)}\n')
    sys.stdout.flush()
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Read the specification from the first argument and run."""
    asyncio.run(run_host(json.loads(sys.argv[1])))


def _name(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f'{host}:{port}'


if __name__ == '__main__':
    main()
