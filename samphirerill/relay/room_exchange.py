"""The room of shared services, as exchanged with other nodes in statuses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.room_rows import RoomRow, decode_row, encode_report
from samphirerill.relay.shared_service import (
    SharedService,
    restrict_settings,
)
from samphirerill.sharing.fleet_room import merge_reports
from samphirerill.sharing.model import (
    MAX_AGGREGATED_ACCOUNTS,
    MAX_REPORTED_ACCOUNTS,
    RoomReport,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from samphirerill.fleet.model import FleetConfiguration
    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.relay.state import EdgeState


class RoomExchange:
    """The shared services of one node.

    Parameters
    ----------
    state : EdgeState
        Settings and configuration of the node, and its counters.
    """

    __slots__ = (
        '_configured_by',
        '_notify_ended',
        '_notify_waiting',
        '_services',
        '_state',
    )

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._services: dict[str, SharedService] = {}
        self._configured_by: tuple[
            EdgeSettings | None, FleetConfiguration | None
        ] = (None, None)
        self._notify_waiting: Callable[[], None] = _ignore_change
        self._notify_ended: Callable[[SharedService, int], None] = _ignore_end

    def bind(
        self,
        notify_waiting: Callable[[], None],
        notify_ended: Callable[[SharedService, int], None],
    ) -> None:
        """Report changes that other nodes should learn of at once.

        Parameters
        ----------
        notify_waiting : callable
            Called when waiting work of this node has appeared or disappeared.
        notify_ended : callable
            Called when a request has ended, with its service and the lowest
            level that waits at this node.
        """
        self._notify_waiting = notify_waiting
        self._notify_ended = notify_ended

    def get(self, name: str) -> SharedService | None:
        """Return a service if its capacity is shared."""
        self._reconfigure()
        shared = self._services.get(name)
        return shared if shared is not None and shared.is_active else None

    def list_active(self) -> list[SharedService]:
        """Return the services whose capacity is shared."""
        self._reconfigure()
        return [
            shared for shared in self._services.values() if shared.is_active
        ]

    def get_version(self) -> int:
        """Return a number that changes as waiting work appears or disappears."""
        return sum(
            shared.fleet_room.get_version()
            for shared in self._services.values()
        )

    def note_waiting(self) -> None:
        """Record that the queue of this node has changed."""
        self._notify_waiting()

    def note_end(self, shared: SharedService, lowest_level: int) -> None:
        """Record that a request of this node has ended.

        Parameters
        ----------
        shared : SharedService
            Its service.
        lowest_level : int
            The lowest level that waits at this node.
        """
        self._notify_ended(shared, lowest_level)

    def build_rows(self, now: float) -> dict[str, RoomRow]:
        """Return this node's reports; services without work are left out."""
        reports = {
            shared.name: shared.fleet_room.build_report(now)
            for shared in self.list_active()
        }
        return _encode(reports, MAX_REPORTED_ACCOUNTS)

    def apply(self, peer: str, rows: Mapping[str, RoomRow], now: float) -> None:
        """Apply the reports of a node or of a whole data centre."""
        active = {shared.name: shared for shared in self.list_active()}
        for name, shared in active.items():
            row = rows.get(name)
            if row is None:
                shared.fleet_room.remove_peer(peer)
            else:
                decoded = decode_row(row)
                self._count_dropped(decoded.dropped)
                shared.fleet_room.update_peer(peer, decoded.report, now)
        if active:
            self._count_dropped(len(rows.keys() - active.keys()))

    def remove_peer(self, peer: str) -> None:
        """Drop the reports of a peer, which another name stands for now."""
        for shared in self._services.values():
            shared.fleet_room.remove_peer(peer)

    def expire(self, now: float) -> None:
        """Drop the reports that are no longer valid."""
        for shared in self._services.values():
            shared.expire(now)

    def _count_dropped(self, count: int) -> None:
        if count:
            self._state.counters['rooms.entries_dropped'] += count

    def _reconfigure(self) -> None:
        """Apply the present settings and configuration if they have changed."""
        state = self._state
        current = (state.settings, state.cfg)
        if state.cfg is None or self._is_configured_by(current):
            return
        self._configured_by = current
        sharing = state.settings.sharing
        for name in state.cfg.services:
            restricted = restrict_settings(sharing, state.cfg, name)
            if restricted.ranks or restricted.accounts:
                self._add(name)
        for shared in self._services.values():
            shared.configure(sharing, state.cfg)

    def _add(self, name: str) -> None:
        """Add a service, if it is not known yet."""
        if name in self._services:
            return
        admissions = self._state.metrics.admissions
        shared = SharedService(
            name, self._state.random, admissions.find_records(name)
        )
        admissions.add_room(name, shared.fleet_room)
        self._services[name] = shared

    def _is_configured_by(
        self, current: tuple[EdgeSettings, FleetConfiguration | None]
    ) -> bool:
        return all(
            known is found
            for known, found in zip(self._configured_by, current, strict=True)
        )


def merge_rows(
    statuses: Iterable[Mapping[str, RoomRow]],
) -> dict[str, RoomRow]:
    """Return the reports of all nodes of a data centre together."""
    reports: dict[str, list[RoomReport]] = {}
    for rows in statuses:
        for name, row in rows.items():
            reports.setdefault(name, []).append(decode_row(row).report)
    merged = dict(
        zip(reports, map(merge_reports, reports.values()), strict=True)
    )
    return _encode(merged, MAX_AGGREGATED_ACCOUNTS)


def _encode(
    reports: Mapping[str, RoomReport], max_accounts: int
) -> dict[str, RoomRow]:
    """Return the reports with any work; they share the number of accounts.

    Otherwise the size of a datagram would grow with the number of services.
    """
    busy = [
        service
        for service, report in reports.items()
        if report.account_count or report.completed
    ]
    limit = max(1, max_accounts // max(1, len(busy)))
    return {service: encode_report(reports[service], limit) for service in busy}


def _ignore_change() -> None:
    """Do nothing, as there are no other nodes to notify."""


def _ignore_end(shared: SharedService, lowest_level: int) -> None:
    """Do nothing, as there are no other nodes to notify."""
