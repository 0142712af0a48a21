"""A node's settings as immutable typed objects."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from samphirerill.settings.checks import check_document
from samphirerill.settings.jsonc import ParsedDocument, read_jsonc


@dataclass(slots=True, frozen=True)
class CallerSettings:
    """Address and limits of the client API."""

    host: str = '127.0.0.1'
    port: int = 0
    threads: int = 16
    max_body_bytes: int = 1_048_576
    read_timeout_s: float = 5.0
    max_connections: int = 0


@dataclass(slots=True, frozen=True)
class OperatorSettings:
    """Address of the operator API and digests of its accepted keys."""

    host: str = '127.0.0.1'
    port: int = 0
    key_digests: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerSettings:
    """Address for connections from other nodes.

    `seeds` are the peers to contact while no other node is known, as when the
    key-value store is unavailable at start.
    """

    host: str = '127.0.0.1'
    port: int = 0
    seeds: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class StoreSettings:
    """Connection to the platform's key-value store."""

    addresses: tuple[str, ...] = ()
    prefix: str = '/samphirerill/'
    call_timeout_s: float = 1.0
    lease_s: int = 15


@dataclass(slots=True, frozen=True)
class VmListSettings:
    """Address of the platform's list of VMs and its polling interval."""

    address: str = ''
    every_s: float = 1.0


@dataclass(slots=True, frozen=True)
class LogSettings:
    """Log level and output format."""

    level: str = 'info'
    form: str = 'text'


@dataclass(slots=True, frozen=True)
class ShutdownSettings:
    """Phases of a graceful shutdown.

    For `notice_s`, health checks fail while requests are still accepted, so
    that the load balancer stops sending them. Running requests then have
    `finish_s` to complete.
    """

    notice_s: float = 2.0
    finish_s: float = 120.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The contents of a node's settings file."""

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
    """Load and validate a node's settings file.

    Raises
    ------
    InvalidDocumentError
        The file cannot be read or has errors; all of them are listed.
    """
    parsed = read_jsonc(path)
    check_document(parsed)
    return _build_settings(parsed)


def _build_settings(parsed: ParsedDocument) -> Settings:
    document = parsed.document
    operators = _convert_to_tuple(document['operators'], 'key_digests')
    return Settings(
        name=document['node']['name'],
        data_centre=document['node']['data_centre'],
        callers=CallerSettings(**document['callers']),
        operators=OperatorSettings(**operators),
        peers=PeerSettings(
            **_convert_to_tuple(document.get('peers', {}), 'seeds')
        ),
        store=StoreSettings(
            **_convert_to_tuple(document['store'], 'addresses')
        ),
        vm_list=VmListSettings(**document.get('vm_list', {})),
        log=LogSettings(**document.get('log', {})),
        shutdown=ShutdownSettings(**document.get('shutdown', {})),
    )


def _convert_to_tuple(section: dict[str, Any], key: str) -> dict[str, Any]:
    return {**section, key: tuple(section.get(key, ()))}
