"""Decisions on which waiting request takes capacity next, across nodes."""

from samphirerill.sharing.fleet_room import FleetRoom, merge_reports
from samphirerill.sharing.gate import may_start
from samphirerill.sharing.model import (
    GUARANTEED_LEVEL,
    STARTED_LEVEL,
    RoomReport,
    WaitingWork,
    WorkItem,
    identify_account,
)
from samphirerill.sharing.order import sort_key
from samphirerill.sharing.prediction import (
    MIN_CHECKED_QUEUE,
    Rejection,
    find_rejection,
    predict_wait_s,
)
from samphirerill.sharing.return_times import ReturnTimes
from samphirerill.sharing.settings import SharingSettings

__all__ = (
    'GUARANTEED_LEVEL',
    'MIN_CHECKED_QUEUE',
    'STARTED_LEVEL',
    'FleetRoom',
    'Rejection',
    'ReturnTimes',
    'RoomReport',
    'SharingSettings',
    'WaitingWork',
    'WorkItem',
    'find_rejection',
    'identify_account',
    'may_start',
    'merge_reports',
    'predict_wait_s',
    'sort_key',
)
