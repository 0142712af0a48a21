"""Nodes in touch go on serving a route that the operator has dropped.

They hear of configurations from the three nodes that watch the store. These lose the
store silently while configurations come in quick succession, and say for two seconds
that nothing has changed.
"""

import asyncio
import json
import os
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins as s  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
SEED = int(os.environ.get('SEED', '1'))
NODES, SERVERS, SLOTS, WORK_S = 9, 6, 6, 0.03
CLIENTS_PER_NODE, THINK_S = 6, 0.1
CONFIG_S = 2.0
# For the delays of this script: its store answers 4 ms after a write.
MEASURED_S = 0.05
# config_storm: a change each 0.33 s for 4 s.
STORM_S, GAP_S = 4.0, 0.33
# node_cut: 0.35 of the machines for 12 s; here 3 of 9 for 5.5 s.
CUT_COUNT, CUT_AFTER_S, CUT_S = 3, 2.0, 5.5
CALM_S, TURNS, ASKED_VERSIONS = 5.0, 6, 13
BOUNDS = {'graceS': 8, 'drainMs': 2000, 'retryBudgetRatio': 0.2,
          'retrySlack': 198, 'budgetWindowS': 10}


class Server:
    """A plain service's replica."""

    def __init__(self, number, address, runs):
        self.id = f'i-{number:08x}'
        self.address = address
        self._runs = runs
        self._active = 0
        self.server = s.HttpServer(self._handle)

    def entry(self, sequence):
        return json.dumps({
            'service': 'desk', 'address': self.address, 'zone': 'a', 'version': 'v1',
            'slots': SLOTS, 'state': 'ready', 'coldLeftMs': 0, 'sequence': sequence,
        }).encode()

    async def _handle(self, method, target, headers, body, writer):
        if headers.get('x-samphirerill-target-instance', self.id) != self.id:
            writer.write(s.build_response(421, [('X-Samphirerill-Instance-Id', self.id)]))
            return
        request_id = headers['x-samphirerill-request-id']
        common = [('X-Samphirerill-Request-Id', request_id),
                  ('Keep-Alive', 'timeout=10')]
        if self._active >= SLOTS:
            writer.write(s.build_response(
                503, [*common, ('X-Samphirerill-Not-Executed', '1')]))
            return
        self._runs.add(request_id)
        self._active += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self._active -= 1
        writer.write(s.build_response(200, [
            *common, ('X-Samphirerill-Response-Seal', f'seal.{self.id}.{request_id}'),
        ], request_id.encode()))


def build_configuration(version):
    """Each version drops the route of the one before, and adds its own."""
    route = {'host': 'desk.example', 'service': 'desk', 'timeoutMs': 800,
             'sloMs': 150, 'priority': 2, 'public': False, 'maxAttempts': 1,
             'kind': 'non_idempotent'}
    return json.dumps({
        'version': version,
        'routes': [{**route, 'name': f'v{version}', 'prefix': f'/v{version}/'}],
        'services': [{'name': 'desk', 'healthPath': '/health', 'maxConnections': 400,
                      'protocol': 'h1', 'tls': False}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
                   'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
    }).encode()


class Operator:
    """Writes configurations, and knows when each was acknowledged."""

    def __init__(self, store):
        self._store = store
        self.version = 2
        self.acked = {}

    def change(self):
        self.version += 1
        text = build_configuration(self.version)
        self.acked[self.version] = self._store.put('op/config', text)

    async def change_often(self):
        """Change the configuration in quick succession."""
        until = time.monotonic() + STORM_S
        while time.monotonic() < until:
            self.change()
            await asyncio.sleep(GAP_S)


async def use(number, node, operator, stop, sent, record):
    """One client: asks for the routes of the latest versions, most of them dropped."""
    rng = random.Random(SEED * 1000 + number)
    client = s.Client(node.front)
    count = 0
    while not stop.is_set():
        count += 1
        version = max(3, operator.version - rng.randrange(ASKED_VERSIONS))
        request_id = f'{node.name}:v{version}-{number:02d}-{count:04d}'
        began = time.monotonic()
        status, _, _ = await client.send(
            'POST', f'/v{version}/x', request_id, 1500, b'gown 12')
        sent.append((began, node.name, version, request_id, status))
        record.note(f'client gets {status} for {request_id}')
        await asyncio.sleep(THINK_S * rng.uniform(0.5, 1.5))
    client.close()


async def play(record, scratch):
    net = s.choose_net()
    store = s.Store()
    store_address = f'{net}.2:8223'
    await store.start(store_address)
    runs, sent = set(), []
    servers = [Server(number, f'{net}.{100 + number}:8120', runs)
               for number in range(SERVERS)]
    for server in servers:
        await server.server.start(server.address)
    operator = Operator(store)
    operator.change()
    beats = asyncio.create_task(beat(store, servers))
    nodes, cuts = [], {}
    for number in range(NODES):
        ip = f'{net}.{10 + number}'
        cut = s.SilentCut(store_address)
        await cut.start(f'{ip}:8223')
        nodes.append(s.Node(f'edge-a-{number + 1}', 'a', ip, 8230, f'{ip}:8223',
                            [f'{net}.10:8232'], scratch, BOUNDS))
        cuts[nodes[-1].name] = cut
    clients, stop, late = [], asyncio.Event(), []
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_until_ready(time.monotonic() + 30)
        await asyncio.sleep(4)
        clients = [
            asyncio.create_task(use(10 * n + c, node, operator, stop, sent, record))
            for n, node in enumerate(nodes) for c in range(CLIENTS_PER_NODE)]
        await asyncio.sleep(4)
        watchers = [name for name, cut in cuts.items() if cut.count_watches(1.0)]
        record.say(f'nodes that watch the store: {", ".join(watchers)}')
        for _ in range(TURNS):
            late += await play_turn(
                record, operator, cuts, watchers[:CUT_COUNT], sent, runs)
    finally:
        stop.set()
        await asyncio.gather(*clients, return_exceptions=True)
        beats.cancel()
        for node in nodes:
            node.stop()
        for cut in cuts.values():
            await cut.stop()
        for server in servers:
            await server.server.stop()
        await store.stop()
    answers = Counter(status for *_, status in sent)
    record.say(f'answers by status: {dict(answers)}')
    record.say(f'{len(late)} requests were sent more than {CONFIG_S + MEASURED_S:.2f} s '
               'after the acknowledgement, to nodes in touch, and handled as only the '
               'older version allows')
    if answers[200] < 500:
        raise s.CaseError('hardly anything was served')
    return s.RULE_BROKEN if late else s.RULE_HELD


async def play_turn(record, operator, cuts, names, sent, runs):
    """Cut nodes from the store amid changes; return requests handled too late."""
    first = operator.version
    storm = asyncio.create_task(operator.change_often())
    await asyncio.sleep(CUT_AFTER_S)
    if TROUBLE:
        for name in names:
            cuts[name].is_cut = True
        record.say(f'{", ".join(names)} lose the store at version {operator.version}')
    await asyncio.sleep(CUT_S)
    for name in names:
        cuts[name].is_cut = False
    await storm
    # The nodes that were cut are back in touch before the next turn.
    await asyncio.sleep(CALM_S)
    late, latest = [], {}
    for began, name, version, request_id, _ in sent:
        dropped_at = operator.acked.get(version + 1)
        if version < first or dropped_at is None or request_id not in runs:
            continue
        delay = began - dropped_at
        if delay > CONFIG_S + MEASURED_S and not (TROUBLE and name in names):
            late.append(request_id)
            latest[name] = max(latest.get(name, (0, 0)), (delay, version))
    for name, (delay, version) in sorted(latest.items()):
        record.say(f'CONFIG: {name} runs a request on the route of version {version} that '
                   f'was sent {delay:.2f} s after the acknowledgement of {version + 1}')
    return late


async def beat(store, servers):
    """Servers renew their entries, each at its own time."""
    sequence = 0
    while True:
        for server in servers:
            sequence += 1
            store.put(f'servers/{server.id}', server.entry(sequence))
            await asyncio.sleep(1.2 / len(servers))


if __name__ == '__main__':
    sys.exit(s.run_case(HERE, play))
