"""Regression seeds: seeds that once violated a guarantee, with the cause."""

from __future__ import annotations

# An engine closed the connection between the response head and the first event;
# the stream was resumed after event -1 and started with an event 0.
EMPTY_RESUME = (101, 111, 130, 131)

# Only under heavy CPU load: slow node restarts and a stall of several replicas at
# once. Cause unknown.
CPU_CONTENTION = (678581, 678583)

# A node closed a run that went on, to send the stream again from the same head,
# and then found no path or no retry left. To be run with --planned --nodes 14
# --seconds 25, and 20 nodes for 30 s.
CLOSED_BEFORE_RESEND = (11202, 13201)

# A node closed a run that had not started, as it suspected the replica, and then
# passed on the response head that had already arrived. 20 nodes, 30 s.
CLOSED_WITH_BUFFERED_HEAD = (13202, 13203)

PLANNED_REGRESSIONS = CLOSED_BEFORE_RESEND + CLOSED_WITH_BUFFERED_HEAD
REGRESSIONS = EMPTY_RESUME + CPU_CONTENTION
