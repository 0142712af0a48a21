"""Find a request's route: by host, then by the longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from samphirerill.fleet.model import FleetConfiguration, FleetRoute


class RouteTable:
    """Routes of one configuration; lookup time is linear in path segments.

    Parameters
    ----------
    cfg : FleetConfiguration
        The active configuration.
    """

    __slots__ = ('_routes',)

    def __init__(self, cfg: FleetConfiguration) -> None:
        self._routes: dict[str, dict[str, FleetRoute]] = {}
        for route in cfg.routes:
            prefixes = self._routes.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def find(self, host: str, target: str) -> FleetRoute | None:
        """Return the route of a request, or ``None``.

        Parameters
        ----------
        host : str
            The requested host, with or without a port.
        target : str
            The path with its query.
        """
        prefixes = self._routes.get(_strip_port(host))
        if prefixes is None:
            return None
        path = target.partition('?')[0]
        end = path.rfind('/')
        while end >= 0:
            matching_route = prefixes.get(path[: end + 1])
            if matching_route is not None:
                return matching_route
            end = path.rfind('/', 0, end)
        return None


def choose_service(route: FleetRoute, random: Random) -> str:
    """Choose a route's service at random by weight; empty if all are zero."""
    if len(route.service_weights) == 1:
        return route.service_weights[0].service
    weights = [
        max(0.0, service_weight.weight)
        for service_weight in route.service_weights
    ]
    if not any(weights):
        return ''
    return random.choices(route.service_weights, weights)[0].service


def _strip_port(host: str) -> str:
    name, _, port = host.rpartition(':')
    if name and port.isdigit():
        return name.lower()
    return host.lower()
