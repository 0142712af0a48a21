"""Settings of a node on the platform.

The platform renders ``deploy/settings.template`` into a settings file, which
is JSON with comments.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct, ValidationError, convert

from samphirerill.decoding.addresses import MAX_PORT, is_address
from samphirerill.decoding.bounds import Amount
from samphirerill.fleet.policy import Policy
from samphirerill.settings.errors import Finding, InvalidDocumentError
from samphirerill.settings.jsonc import read_jsonc
from samphirerill.sharing.settings import SharingSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

_ADDRESSES = ('callers', 'readiness', 'peers', 'store')
_Count = Annotated[int, Meta(ge=0)]
_Port = Annotated[int, Meta(ge=0, le=MAX_PORT)]


class EdgeSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a node.

    Addresses are ``IP:PORT``.

    Attributes
    ----------
    name : str
        The node's name, unique in the fleet.
    data_centre : str
        The data centre that the node runs in.
    host : str
        The IP address on which `exchange_port` and `metrics_port` are opened.
    callers : str
        Listening address for clients.
    readiness : str
        Listening address for the load balancer's readiness check.
    peers : str
        Listening address for calls from other nodes.
    store : str
        Address of the key-value store.
    exchange_port : int
        UDP port for datagrams from other nodes.
    metrics_port : int
        Port of the metrics and the state dump.
    seeds : list of str
        `peers` addresses of some nodes, which may be outdated.
    finish_s : float
        The time between SIGTERM and SIGKILL.
    leaving_ms : float
        The time after which a leaving endpoint must get no more work.
    retry_ratio : float
        The retries allowed to all nodes together, as a share of requests.
    retry_slack : float
        Retries allowed to all nodes together in addition to that share.
    retry_window_s : float
        The window in which requests and retries are counted.
    reported_load : bool
        Whether plain services are balanced by the load that their endpoints
        report.
    max_response_mb : float
        The largest response of a plain service, in MiB.
    response_memory_mb : float
        What incomplete responses of endpoints may take up together, in MiB.
    request_memory_mb : float
        What requests of clients may take up together until they are answered,
        in MiB. One request that keeps to the limits of the configuration always
        fits.
    max_connections : int
        How many connections clients may keep open; 0 for half of the
        descriptors of the process that are not reserved for files.
    policy : Policy
        Switches to turn single mechanisms off.
    sharing : SharingSettings
        Which capacity ranks and client accounts share across nodes.
    """

    name: str
    data_centre: str
    host: str
    callers: str
    readiness: str
    peers: str
    store: str
    exchange_port: _Port
    metrics_port: _Port
    seeds: list[str] = []
    finish_s: Amount = 8
    leaving_ms: Amount = 2000
    retry_ratio: Amount = 0.2
    retry_slack: Amount = 0
    retry_window_s: Amount = 10
    reported_load: bool = False
    max_response_mb: Amount = 16
    response_memory_mb: Amount = 48
    request_memory_mb: Amount = 32
    max_connections: _Count = 0
    policy: Policy = Policy()
    sharing: SharingSettings = SharingSettings()


def load_edge_settings(path: str) -> EdgeSettings:
    """Read and check a settings file.

    Raises
    ------
    InvalidDocumentError
        The file can't be read or a value is invalid.
    """
    parsed = read_jsonc(path)
    try:
        settings = convert(parsed.document, EdgeSettings)
    except ValidationError as exc:
        raise InvalidDocumentError(path, [Finding('', 1, str(exc))]) from exc
    findings = list(_check_addresses(settings))
    if findings:
        raise InvalidDocumentError(path, findings)
    return settings


def _check_addresses(settings: EdgeSettings) -> Iterator[Finding]:
    for name in _ADDRESSES:
        address = getattr(settings, name)
        if not is_address(address, min_port=0):
            yield Finding(f'/{name}', 1, f'got {address!r}, expected IP:PORT')
