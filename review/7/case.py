"""A plain server's answers have bodies without end, in chunks of one byte."""

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

# One server spoils at most every 34th answer: x = .03 at share = .33 of the servers.
SPOILED_EVERY = 34
# The client of one spoiled answer has left before the next one.
SPOILED_APART_S = 6.0
# As at the site cvm-rill.
TIMEOUT_S = 2.0
DEADLINE_MS = 4000
LATE_S = 0.5
INTERVAL_S = 0.05
SPOILED_WANTED = 3
LONGEST_S = 60.0
TROUBLE = Trouble()


class SpoilingServer(Server):
    """Sends some answers without end; all the others are sound."""

    spoiled = 0
    spoiled_at = float('-inf')
    sound = 0

    async def answer(self, req, writer) -> None:
        """Answer, some of the times without an end."""
        is_due = (
            self.sound >= SPOILED_EVERY - 1
            and now() >= self.spoiled_at + SPOILED_APART_S
        )
        if not (is_due and TROUBLE.takes(self)):
            self.sound += 1
            await super().answer(req, writer)
            return
        self.sound = 0
        self.spoiled_at = now()
        self.spoiled += 1
        self.record.note('spoils', req.id, self.id)
        writer.write(
            self.build_head(req) + b'transfer-encoding: chunked\r\n\r\n'
        )
        while True:
            writer.write(b'1\r\nx\r\n' * 2000)
            await writer.drain()


async def send_all(client: Client, nodes: list[Node]) -> None:
    """Send plain requests to all nodes in turn."""
    rng = random.Random(7)
    tasks = set()
    while True:
        for node in nodes:
            route = rng.choice(('pickup', 'status'))
            send = client.send(node, route, DEADLINE_MS)
            tasks.add(asyncio.create_task(send))
            await asyncio.sleep(INTERVAL_S / len(nodes))


def judge(record: Record) -> bool:
    """Return whether CONFIG held."""
    overdue = [item for item in record.attempts if item.took_s > TIMEOUT_S]
    unanswered = [item for item in overdue if item.took_s > TIMEOUT_S + LATE_S]
    record.say(
        f'{len(record.attempts)} plain requests; {len(overdue)} unanswered at '
        f"the route's timeout, {len(unanswered)} of them {LATE_S} s later"
    )
    return len(unanswered) <= len(overdue) / 2


def count_spoiled(servers: list[SpoilingServer]) -> int:
    """Return how many answers were spoiled."""
    return sum(server.spoiled for server in servers)


async def play(record: Record, has_trouble: bool) -> bool | None:
    """Play the case."""
    fleet = await build_fleet(record, 2, build_plain=SpoilingServer)
    tasks = []
    try:
        if not await fleet.start(
            build_config(plain_timeout_ms=int(TIMEOUT_S * 1000))
        ):
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
        # Without trouble, for half of the longest time.
        until = now() + (LONGEST_S if has_trouble else LONGEST_S / 2)
        while now() < until and count_spoiled(servers) < SPOILED_WANTED:
            await asyncio.sleep(0.05)
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
        tasks[0].cancel()
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
        if has_trouble and not count_spoiled(servers):
            return None
        for node in fleet.nodes:
            misses = sum(not is_ready for _, is_ready in node.readiness)
            record.say(
                f'{node.name}: {misses} of {len(node.readiness)} readiness '
                f'checks without 200; process ended: {node.process.poll()}'
            )
        for server in servers:
            record.say(
                f'{server.id}: {server.answered} requests run, '
                f'{server.spoiled} answers spoiled'
            )
        return judge(record)
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()


run_case(__file__, play)
