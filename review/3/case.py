"""Nodes in touch go on sending to servers that drain.

They hear of changes from nodes that watch the store. Two of those lose the store
silently, just as servers begin to drain, and say for two seconds that nothing has
changed.
"""

import asyncio
import json
import os
import random
import sys
import time
from collections import Counter, defaultdict
from itertools import combinations
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SEED = int(os.environ.get('SEED', '1'))
NODES, SERVERS, SLOTS, WORK_S = 7, 12, 6, 0.045
CLIENTS_PER_NODE, THINK_S = 6, 0.1
DRAIN_S = 2.0
# For the delays of this script: its store answers 4 ms after a write, and its
# servers share one event loop.
MEASURED_S = 0.05
# core_cut: one machine for 5.5 s; here two at a time, as the site tolerates.
CUT_S, CALM_S = 5.5, 6.0
# scale_in: a quarter of the servers drain and leave, at one moment.
DRAINED, SERVES_ON_S = 3, 5.0
BOUNDS = {'graceS': 8, 'drainMs': 2000, 'retryBudgetRatio': 0.2,
          'retrySlack': 198, 'budgetWindowS': 10}


class Server:
    """A plain service's replica."""

    def __init__(self, number, address, record):
        self.id = f'i-{number:08x}'
        self.address = address
        self.state = 'ready'
        self.sequence = 0
        self.draining_since = None
        self.arrivals = []
        self._record = record
        self._active = 0
        self.server = s.HttpServer(self._handle)

    def entry(self, sequence):
        return json.dumps({
            'service': 'desk', 'address': self.address, 'zone': 'a', 'version': 'v1',
            'slots': SLOTS, 'state': self.state, 'coldLeftMs': 0, 'sequence': sequence,
        }).encode()

    async def _handle(self, method, target, headers, body, writer):
        if headers.get('x-samphirerill-target-instance', self.id) != self.id:
            writer.write(s.build_response(421, [('X-Samphirerill-Instance-Id', self.id)]))
            return True
        request_id = headers['x-samphirerill-request-id']
        common = [('X-Samphirerill-Request-Id', request_id)]
        if self.draining_since is not None:
            common.append(('Connection', 'close'))
            self._record.note(f'{self.id} gets {request_id} while it drains')
        else:
            common.append(('Keep-Alive', 'timeout=10'))
        if self._active >= SLOTS:
            writer.write(s.build_response(
                503, [*common, ('X-Samphirerill-Not-Executed', '1')]))
            return True
        self.arrivals.append((time.monotonic(), request_id))
        self._active += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self._active -= 1
        writer.write(s.build_response(200, [
            *common, ('X-Samphirerill-Response-Seal', f'seal.{self.id}.{request_id}'),
        ], request_id.encode()))
        return self.draining_since is None


def build_configuration():
    route = {'host': 'desk.example', 'service': 'desk', 'timeoutMs': 800,
             'sloMs': 150, 'priority': 2, 'public': False}
    return json.dumps({
        'version': 3,
        'routes': [
            {**route, 'name': 'notice', 'prefix': '/notice/', 'kind': 'non_idempotent',
             'maxAttempts': 1},
            {**route, 'name': 'status', 'prefix': '/status/', 'kind': 'idempotent',
             'maxAttempts': 2},
        ],
        'services': [{'name': 'desk', 'healthPath': '/health', 'maxConnections': 400,
                      'protocol': 'h1', 'tls': False}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    }).encode()


async def use(number, node, stop, answers, record):
    """One client of one node: a request at a time on a kept connection."""
    rng = random.Random(SEED * 1000 + number)
    client = s.Client(node.front)
    count = 0
    while not stop.is_set():
        count += 1
        kind = rng.choice(('notice', 'status'))
        request_id = f'{node.name}:{kind}-{number:02d}-{count:04d}'
        method, body = ('GET', b'') if kind == 'status' else ('POST', b'gown 12')
        status, _, _ = await client.send(method, f'/{kind}/x', request_id, 1500, body)
        answers[status] += 1
        await asyncio.sleep(THINK_S * rng.uniform(0.5, 1.5))
    client.close()


class Desk:
    """The service: its servers, their entries, and its releases."""

    def __init__(self, net, store, record):
        self.servers = []
        self.released = []
        self._net = net
        self._store = store
        self._record = record
        self._stops = set()

    async def add(self):
        number = len(self.servers) + len(self.released)
        server = Server(number, f'{self._net}.{100 + number}:8120', self._record)
        await server.server.start(server.address)
        self._publish(server)
        self.servers.append(server)

    async def beat(self):
        """Servers renew their entries, each at its own time."""
        while True:
            for server in tuple(self.servers):
                if server.state == 'ready':
                    self._publish(server)
                await asyncio.sleep(1.2 / SERVERS)

    async def scale_in(self, count):
        """Let servers drain and leave, and return them; others come before."""
        for _ in range(count):
            await self.add()
        leaving = self.servers[:count]
        for server in leaving:
            self.servers.remove(server)
            self.released.append(server)
            server.state = 'draining'
            server.draining_since = self._publish(server)
            self._record.note(f'the store acknowledges that {server.id} is draining')
            self._stops.add(asyncio.create_task(self._end(server)))
        return leaving

    async def stop(self):
        for task in self._stops:
            task.cancel()
        for server in (*self.servers, *self.released):
            await server.server.stop()

    def _publish(self, server):
        server.sequence += 1
        return self._store.put(f'servers/{server.id}', server.entry(server.sequence))

    async def _end(self, server):
        await asyncio.sleep(SERVES_ON_S)
        server.state = 'gone'
        self._store.delete(f'servers/{server.id}')
        await server.server.stop()


async def play(record, scratch):
    net = s.choose_net()
    store = s.Store()
    store_address = f'{net}.2:8223'
    await store.start(store_address)
    desk = Desk(net, store, record)
    for _ in range(SERVERS):
        await desk.add()
    store.put('op/config', build_configuration())
    beats = asyncio.create_task(desk.beat())
    nodes, cuts = [], {}
    for number in range(NODES):
        ip = f'{net}.{10 + number}'
        cut = s.SilentCut(store_address)
        await cut.start(f'{ip}:8223')
        nodes.append(s.Node(f'edge-a-{number + 1}', 'a', ip, 8230, f'{ip}:8223',
                            [f'{net}.10:8232'], scratch, BOUNDS))
        cuts[nodes[-1].name] = cut
    clients, stop, answers, late = [], asyncio.Event(), Counter(), []
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_until_ready(time.monotonic() + 30)
        await asyncio.sleep(4)
        clients = [
            asyncio.create_task(use(10 * n + c, node, stop, answers, record))
            for n, node in enumerate(nodes) for c in range(CLIENTS_PER_NODE)]
        await asyncio.sleep(4)
        watchers = [name for name, cut in cuts.items() if cut.count_watches(1.0)]
        record.say(f'nodes that watch the store: {", ".join(watchers)}')
        if len(watchers) < 2:
            raise s.CaseError('hardly any node watches the store')
        pairs = list(combinations(watchers[:3], 2))
        for pair in pairs + pairs:
            late += await play_turn(record, desk, cuts, pair)
    finally:
        stop.set()
        await asyncio.gather(*clients, return_exceptions=True)
        beats.cancel()
        for node in nodes:
            node.stop()
        for cut in cuts.values():
            await cut.stop()
        await desk.stop()
        await store.stop()
    record.say(f'answers by status: {dict(answers)}')
    record.say(f'{len(late)} requests reached a draining server more than '
               f'{DRAIN_S + MEASURED_S:.2f} s after the acknowledgement, from nodes in touch')
    if answers[200] < 500:
        raise s.CaseError('hardly anything was served')
    return s.RULE_BROKEN if late else s.RULE_HELD


async def play_turn(record, desk, cuts, pair):
    """Drain servers while two nodes lose the store; return late arrivals."""
    if TROUBLE:
        for name in pair:
            cuts[name].is_cut = True
        record.say(f'{" and ".join(pair)} lose the store')
    leaving = await desk.scale_in(DRAINED)
    await asyncio.sleep(CUT_S)
    for name in pair:
        cuts[name].is_cut = False
    # The nodes that were cut are back in touch before the next turn.
    await asyncio.sleep(CALM_S)
    late = []
    for server in leaving:
        for at, request in server.arrivals:
            delay, name = at - server.draining_since, request.partition(':')[0]
            is_excused = TROUBLE and name in pair
            if delay > DRAIN_S + MEASURED_S and not is_excused:
                late.append(delay)
                record.say(f'DRAIN: {name} sends {request} to {server.id} '
                           f'{delay:.2f} s after the acknowledgement')
    return late


if __name__ == '__main__':
    sys.exit(s.run_case(HERE, play))
