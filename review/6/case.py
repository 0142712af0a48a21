"""One answer of a plain server has a long body of nothing but status lines."""

from __future__ import annotations

import asyncio
import random

from standins_2 import (
    CONTACT_S,
    Client,
    Node,
    Record,
    Server,
    Trouble,
    build_config,
    build_fleet,
    now,
    run_case,
)

# One server spoils one answer in 50: x = .02 at share = .33 of the servers.
SOUND_ANSWERS = 49
BODY_BYTES = 600_000
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
TIMEOUT_S = 0.8
LATE_S = 0.5
DEADLINE_MS = 1500
INTERVAL_S = 0.05
PLAYED_AFTER_S = 8.0
LONGEST_S = 45.0
# Fewer late requests than this are not judged.
MIN_JUDGED = 8
TROUBLE = Trouble()


class SpoilingServer(Server):
    """Sends one body of status lines; all the other answers are sound."""

    spoiled_at = 0.0

    async def answer(self, req, writer) -> None:
        """Answer, the 50th time with wrong bytes."""
        is_due = self.answered > SOUND_ANSWERS and not self.spoiled_at
        if not (is_due and TROUBLE.takes(self)):
            await super().answer(req, writer)
            return
        self.spoiled_at = now()
        self.record.note('spoils', req.id, self.id)
        lines = STATUS_LINE * (BODY_BYTES // len(STATUS_LINE))
        writer.write(
            self.build_head(req) + b'content-length: %d\r\n\r\n' % len(lines)
        )
        writer.write(lines)
        await writer.drain()


async def send_all(client: Client, nodes: list[Node]) -> None:
    """Send plain requests to all nodes in turn."""
    rng = random.Random(6)
    tasks = set()
    while True:
        for node in nodes:
            route = rng.choice(('pickup', 'status'))
            send = client.send(node, route, DEADLINE_MS)
            tasks.add(asyncio.create_task(send))
        await asyncio.sleep(INTERVAL_S)


def judge(record: Record, until: float) -> bool:
    """Return whether CONFIG held."""
    judged = [item for item in record.attempts if item.sent_at < until]
    overdue = [item for item in judged if item.took_s > TIMEOUT_S]
    unanswered = [item for item in overdue if item.took_s > TIMEOUT_S + LATE_S]
    record.say(
        f'{len(judged)} plain requests; {len(overdue)} unanswered at the '
        f"route's timeout, {len(unanswered)} of them {LATE_S} s later"
    )
    if len(overdue) < MIN_JUDGED:
        return True
    return len(unanswered) <= len(overdue) / 2


def is_any_due(servers: list[SpoilingServer]) -> bool:
    """Return whether a server has given the answers before the spoiled one."""
    return any(server.answered > SOUND_ANSWERS for server in servers)


async def play(record: Record, has_trouble: bool) -> bool | None:
    """Play the case."""
    fleet = await build_fleet(record, 2, build_plain=SpoilingServer)
    tasks = []
    try:
        if not await fleet.start(build_config()):
            return None
        await asyncio.sleep(CONTACT_S)
        servers = fleet.servers[:3]
        TROUBLE.is_on = has_trouble
        tasks = [
            asyncio.create_task(work)
            for work in (
                send_all(Client(record), fleet.nodes),
                *(node.watch_readiness() for node in fleet.nodes),
            )
        ]
        until = now() + LONGEST_S
        while now() < until and not is_any_due(servers):
            await asyncio.sleep(0.05)
        if not is_any_due(servers):
            return None
        judged_until = now() + PLAYED_AFTER_S
        await asyncio.sleep(PLAYED_AFTER_S + DEADLINE_MS / 1000 + 0.5)
        for node in fleet.nodes:
            misses = sum(not is_ready for _, is_ready in node.readiness)
            record.say(
                f'{node.name}: {misses} of {len(node.readiness)} readiness '
                f'checks without 200; process ended: {node.process.poll()}'
            )
        for server in servers:
            record.say(f'{server.id}: {server.answered} requests run')
        return judge(record, judged_until)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


run_case(__file__, play)
