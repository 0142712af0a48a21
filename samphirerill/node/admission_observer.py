"""What this node decides about the capacity of its services, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.node.admission_log import AdmissionLog, LoggedRecords
from samphirerill.sharing.model import RoomReport, identify_account

if TYPE_CHECKING:
    from random import Random

    from samphirerill.sharing.fleet_room import FleetRoom
    from samphirerill.sharing.records import AdmissionRecords


class AdmissionObserver:
    """The admission records of all services of one node.

    Parameters
    ----------
    random : Random
        Draws which small accounts the records list.
    """

    __slots__ = ('_by_service', '_log', '_random', '_rooms')

    def __init__(self, random: Random) -> None:
        self._random = random
        self._log = AdmissionLog()
        self._by_service: dict[str, LoggedRecords] = {}
        self._rooms: dict[str, FleetRoom] = {}

    def find_records(self, service: str) -> AdmissionRecords:
        """Return the records of a service, created on first use."""
        records = self._by_service.get(service)
        if records is None:
            records = LoggedRecords(service, self._random, self._log)
            self._by_service[service] = records
        return records

    def add_room(self, service: str, room: FleetRoom) -> None:
        """Show the running and waiting work of a service on the pages."""
        self._rooms[service] = room
        self.find_records(service)

    def describe(self, now: float) -> dict[str, Any]:
        """Return records, running and waiting work by service."""
        described = {
            service: self._describe_service(service, records, now)
            for service, records in self._by_service.items()
        }
        return {service: shown for service, shown in described.items() if shown}

    def _describe_service(
        self, service: str, records: AdmissionRecords, now: float
    ) -> dict[str, Any]:
        """Describe a service; nothing if it has not shared any capacity."""
        room = self._rooms.get(service)
        report = RoomReport() if room is None else room.build_report(now)
        if not records.is_used and not report.account_count:
            return {}
        described = records.describe(now)
        names = {identify_account(name): name for name in described['accounts']}
        described['room'] = _describe_room(report, names)
        return described


def _describe_room(report: RoomReport, names: dict[int, str]) -> dict[str, Any]:
    """Return a report with the names of the accounts that are listed."""
    return {
        'running_by_rank': {
            str(rank): room for rank, room in report.running_by_rank.items()
        },
        'running_by_account': {
            names.get(account, f'{account:08x}'): room
            for account, room in report.running_by_account.items()
        },
        'account_count': report.account_count,
        'waiting_by_level': {
            str(level): {'count': work.count, 'room': work.room}
            for level, work in report.waiting.items()
        },
        'completed_per_s': report.completed,
    }
