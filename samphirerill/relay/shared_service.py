"""A service whose capacity is shared between ranks or accounts."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from samphirerill.sharing.fleet_room import FleetRoom
from samphirerill.sharing.return_times import ReturnTimes
from samphirerill.sharing.settings import SharingSettings

if TYPE_CHECKING:
    from random import Random

    from samphirerill.fleet.model import FleetConfiguration
    from samphirerill.sharing.records import AdmissionRecords

# Above every level.
NO_LEVEL = sys.maxsize


class SharedService:
    """What this node knows of the capacity of one service.

    Parameters
    ----------
    name : str
        The service.
    random : Random
        Source of jitter.
    records : AdmissionRecords
        Counts admissions and rejections at this node.

    Attributes
    ----------
    name : str
        As given.
    fleet_room : FleetRoom
        Running and waiting requests at all nodes.
    records : AdmissionRecords
        As given.
    return_times : ReturnTimes
        Schedules the returns of rejected clients.
    settings : SharingSettings
        What is shared, restricted to what the service has.
    """

    __slots__ = (
        'fleet_room',
        'name',
        'records',
        'return_times',
        'settings',
    )

    def __init__(
        self, name: str, random: Random, records: AdmissionRecords
    ) -> None:
        self.name = name
        self.settings = SharingSettings()
        self.fleet_room = FleetRoom(self.settings)
        self.records = records
        self.return_times = ReturnTimes(random)

    @property
    def is_active(self) -> bool:
        """Return whether anything is shared."""
        return self.settings.ranks or self.settings.accounts

    def configure(
        self, settings: SharingSettings, cfg: FleetConfiguration
    ) -> None:
        """Apply settings and a configuration."""
        self.settings = restrict_settings(settings, cfg, self.name)
        self.fleet_room.configure(self.settings, _list_weights(cfg))

    def expire(self, now: float) -> None:
        """Drop old reports; without any waiting work, all levels may start."""
        waiting = self.fleet_room.count_waiting_before(
            NO_LEVEL, now, elsewhere_only=True
        )
        if not waiting.count:
            self.records.note_level(None, now)


def restrict_settings(
    settings: SharingSettings, cfg: FleetConfiguration, service: str
) -> SharingSettings:
    """Return what is shared, as far as a service has anything to share."""
    return settings.restrict(
        _count_ranks(cfg, service), len(_list_weights(cfg))
    )


def _list_weights(cfg: FleetConfiguration) -> dict[str, float]:
    return {account.name: account.weight for account in cfg.accounts.values()}


def _count_ranks(cfg: FleetConfiguration, service: str) -> int:
    """Return how many priorities the requests of a service may have."""
    priorities = {
        route.priority
        for route in cfg.routes
        if any(part.service == service for part in route.service_weights)
    }
    priorities.update(
        account.priority
        for account in cfg.accounts.values()
        if account.priority is not None
    )
    return len(priorities)
