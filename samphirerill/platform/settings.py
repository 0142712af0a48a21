"""Settings of a node on the platform.

The platform fills in ``deploy/settings.template``; what comes of it is the
project's own format, JSON with comments.
"""

from __future__ import annotations

from msgspec import Struct, ValidationError, convert

from samphirerill.fleet.policy import Policy
from samphirerill.settings.errors import Finding, InvalidDocumentError
from samphirerill.settings.jsonc import read_commented

SETTINGS_VARIABLE = 'SAMPHIRERILL_SETTINGS'


class EdgeSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Everything a node on the platform learns from its settings file.

    Addresses are ``IP:PORT``. `host` is where the ports without an address
    of their own are opened. `exchange_port` takes the other nodes' datagrams,
    `peers` their calls; `seeds` are such addresses of some nodes, perhaps
    outdated. The figures after them are the platform's bounds: `finish_s`
    between SIGTERM and SIGKILL, `leaving_ms` until a leaving endpoint may get
    no more work, and the share of repeats, with its window, that all nodes
    together may make. `policy` switches single mechanisms off.
    """

    name: str
    data_centre: str
    host: str
    callers: str
    readiness: str
    peers: str
    store: str
    exchange_port: int
    metrics_port: int
    seeds: list[str] = []
    finish_s: float = 8
    leaving_ms: float = 2000
    retry_ratio: float = 0.2
    retry_slack: float = 0
    retry_window_s: float = 10
    policy: Policy = Policy()


def load_edge_settings(path: str) -> EdgeSettings:
    """Read and check a settings file.

    Raises
    ------
    InvalidDocumentError
        The file can't be read or a value is not what it should be.
    """
    parsed = read_commented(path)
    try:
        return convert(parsed.document, EdgeSettings)
    except ValidationError as exc:
        raise InvalidDocumentError(path, [Finding('', 1, str(exc))]) from exc
