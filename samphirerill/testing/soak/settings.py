"""Settings of a soak run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class SoakSettings:
    """What is run for each seed.

    Parameters
    ----------
    length_s : float
        Duration of fault injection.
    nodes : int
        The number of router nodes.
    injects_faults : bool
        Whether faults are injected; otherwise only planned maintenance runs,
        several actions at once.
    names_limits : bool
        Whether replicas name request limits.
    restores_store : bool
        Whether the store is restored from copies.
    cuts_nodes : bool
        Whether nodes are cut off from all replicas.
    stops_watchers : bool
        Whether the nodes that watch the store are cut off from it or frozen.
    floods : bool
        Whether one account sends more than the engines can run.
    crowds : bool
        Whether crowds of clients send parts of requests.
    stutters : bool
        Whether replicas send copies of responses.
    """

    length_s: float = 14.0
    nodes: int = 5
    injects_faults: bool = True
    names_limits: bool = False
    restores_store: bool = False
    cuts_nodes: bool = False
    stops_watchers: bool = False
    floods: bool = False
    crowds: bool = False
    stutters: bool = False
