"""A node's settings as typed objects, handed about whole."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from samphirerill.settings.checks import check_parsed
from samphirerill.settings.jsonc import Parsed, read_commented


@dataclass(slots=True, frozen=True)
class CallerSettings:
    """Where callers connect, and what they may send."""

    host: str = '127.0.0.1'
    port: int = 0
    threads: int = 16
    max_body_bytes: int = 1_048_576
    read_timeout_s: float = 5.0


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """Where operators connect; `key_digests` are of their bearer keys."""

    host: str = '127.0.0.1'
    port: int = 0
    key_digests: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Where the other nodes connect.

    `seeds` are peers to ask if a node starts while the service is away.
    """

    host: str = '127.0.0.1'
    port: int = 0
    seeds: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class StoreSettings:
    """How to reach the platform's key-value service."""

    addresses: tuple[str, ...] = ()
    prefix: str = '/samphirerill/'
    call_timeout_s: float = 1.0
    lease_s: int = 15


@dataclass(slots=True, frozen=True)
class VmListSettings:
    """Where the platform's list of VMs is, and how often to read it."""

    address: str = ''
    every_s: float = 1.0


@dataclass(slots=True, frozen=True)
class LogSettings:
    """How much is logged, and in which form."""

    level: str = 'info'
    form: str = 'text'


@dataclass(slots=True, frozen=True)
class ShutdownSettings:
    """`notice_s`: time for the balancer to see a failing health check.

    `finish_s`: how long running requests may take to end.
    """

    notice_s: float = 2.0
    finish_s: float = 120.0


@dataclass(slots=True, frozen=True)
class Settings:
    """Everything a node learns from its settings file."""

    name: str
    data_centre: str
    callers: CallerSettings = field(default_factory=CallerSettings)
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    store: StoreSettings = field(default_factory=StoreSettings)
    vm_list: VmListSettings = field(default_factory=VmListSettings)
    log: LogSettings = field(default_factory=LogSettings)
    shutdown: ShutdownSettings = field(default_factory=ShutdownSettings)


def load_settings(path: str) -> Settings:
    """Read, check and build a node's settings.

    Raises
    ------
    InvalidDocumentError
        The file can't be read or has errors; every one is listed.
    """
    parsed = read_commented(path)
    check_parsed(parsed)
    return _build_settings(parsed)


def _build_settings(parsed: Parsed) -> Settings:
    document = parsed.document
    operators = _tupled(document['operators'], 'key_digests')
    return Settings(
        name=document['node']['name'],
        data_centre=document['node']['data_centre'],
        callers=CallerSettings(**document['callers']),
        operators=OperatorSettings(**operators),
        peers=PeerSettings(**_tupled(document.get('peers', {}), 'seeds')),
        store=StoreSettings(**_tupled(document['store'], 'addresses')),
        vm_list=VmListSettings(**document.get('vm_list', {})),
        log=LogSettings(**document.get('log', {})),
        shutdown=ShutdownSettings(**document.get('shutdown', {})),
    )


def _tupled(spec: dict[str, Any], name: str) -> dict[str, Any]:
    return {**spec, name: tuple(spec.get(name, ()))}
