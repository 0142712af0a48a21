"""Ask after this node's share of the fleet when replicas are lost together.

A stream that falls silent finds the part that it waits for; what was lost with it
is found by asking. All nodes share that: each replica is asked by two, whatever
the size of the fleet, and who is found silent by both is dead to all.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.losses import Askers
from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Mapping

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import Known
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.health.examiner import Examiner
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('survey')
# Askers have told what they found after so long; if a replica is dead by the word of
# only one then, the other one may be lost with it, and the next two ask.
_SECOND_TURN_S = 0.12
# Each of the dead is asked by the same node at most so often.
_ASK_DEAD_S = 1.2
# One that is dead is asked again so long before its nodes would try it anew: a
# stream that is sent there pays for it with a pause.
_BEFORE_LAPSE_S = 0.6
_STEP_S = 0.25


class Survey:
    """Asks when a loss begins, and asks the dead again.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    examiner : Examiner
        Asks.
    alarms : Alarms
        Tells what is found, and who the other nodes are.
    find_commander : callable
        Returns the name of the node that commands; empty if none does.
    """

    def __init__(
        self,
        state: EdgeState,
        examiner: Examiner,
        alarms: Alarms,
        find_commander: Callable[[], str],
    ) -> None:
        self._state = state
        self._examiner = examiner
        self._alarms = alarms
        self._find_commander = find_commander
        self._loop = asyncio.get_running_loop()
        self._nodes: Mapping[str, str] = {}
        self._askers = Askers({})
        self._ask_again_at: dict[str, float] = {}
        self._began_at = float('-inf')
        # Doubted replicas that this node has considered, with when they came.
        self._looked_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        state.listen(self._consider)

    async def run(self) -> None:
        """Ask the dead again before what is said of them lapses."""
        while True:
            await asyncio.sleep(_STEP_S)
            await self._ask_dead_again()

    async def ask_unheard(self, replicas: Iterable[Replica]) -> set[str]:
        """Ask those that nobody has heard from since the loss began.

        Returns
        -------
        set of str
            Those that did not answer.
        """
        loss = self._state.view.loss_round
        heard = self._examiner.find_heard(loss.began_at)
        unheard = [
            replica
            for replica in replicas
            if replica.replica_id not in heard
            and not loss.has_heard(replica.replica_id)
        ]
        return await self._examiner.ask_after(unheard)

    def _consider(self) -> None:
        """Begin a survey if a loss has begun or goes on."""
        loss = self._state.view.loss_round
        if loss.began_at > self._began_at:
            self._began_at = loss.began_at
            self._begin(self._ask_share())
        elif loss.doubted != self._looked_at:
            fresh = [
                name
                for name, at in loss.doubted.items()
                if self._looked_at.get(name) != at
            ]
            self._looked_at = dict(loss.doubted)
            self._begin(self._ask_doubted(fresh))

    def _plan_second_turn(self) -> None:
        """Let others ask too if one word stays alone."""
        at = self._loop.time() + _SECOND_TURN_S
        self._loop.call_at(at, lambda: self._begin(self._ask_in_place()))

    async def _ask(self, names: Iterable[str]) -> set[str]:
        """Ask known replicas; return those that are dead."""
        known = self._state.view.known
        return await self._examiner.ask_after(
            [known[name].replica for name in names]
        )

    async def _ask_in_place(self) -> None:
        """Ask in the place of askers who may be lost themselves."""
        now = self._loop.time()
        view = self._state.view
        alone = [
            name
            for name, found in view.known.items()
            if found.suspicion.count_votes(now) == 1
            and found.suspicion.get_own() is None
            and found.replica.layers is not None
        ]
        if alone:
            await self._ask(self._choose_mine(alone, turn=1))

    def _begin(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work, name='survey')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_doubted(self, names: Iterable[str]) -> None:
        """Confirm one node's word, or not, if it is this node's turn to."""
        view = self._state.view
        fresh = [
            name
            for name in names
            if name in view.known
            and view.known[name].suspicion.get_own() is None
        ]
        await self._ask(self._choose_mine(fresh))

    async def _ask_share(self) -> None:
        since = self._began_at
        heard = self._examiner.find_heard(since)
        share = self._list_share()
        unheard = [
            found.replica
            for found in share
            if found.replica.replica_id not in heard
            and found.suspicion.sure_until <= since
        ]
        dead = await self._examiner.ask_after(unheard)
        self._plan_second_turn()
        self._report(share, since)
        if not unheard:
            return
        _LOG.info(
            'loss looked into',
            extra={
                'share': len(share),
                'asked': len(unheard),
                'dead': len(dead),
                'ms': round((self._loop.time() - since) * MS_PER_S),
            },
        )

    def _report(self, share: Iterable[Known], since: float) -> None:
        """Tell who commands which of the share have worked, and when."""
        commander = self._find_commander()
        if commander == self._state.settings.name:
            return
        names = {found.replica.replica_id for found in share}
        heard = self._examiner.find_heard(since)
        self._alarms.report_heard(
            commander,
            {name: at for name, at in heard.items() if name in names},
        )

    def _list_share(self) -> list[Known]:
        """Return the replicas that this node asks after, but the leaving."""
        view = self._state.view
        present = [
            name
            for name, found in view.known.items()
            if found.replica.layers is not None and not view.is_leaving(name)
        ]
        return [view.known[name] for name in self._choose_mine(present)]

    def _choose_mine(
        self, replica_ids: Iterable[str], turn: int = 0
    ) -> list[str]:
        nodes = self._alarms.list_nodes()
        if nodes != self._nodes:
            self._nodes = nodes
            self._askers = Askers(nodes)
        name = self._state.settings.name
        return self._askers.list_share(name, replica_ids, turn)

    async def _ask_dead_again(self) -> None:
        """Ask those of the share of which this node's word is about to lapse.

        Each of the two who ask after a replica renews its own word: with one
        of them alone the death would not be sure any more.
        """
        now = self._loop.time()
        view = self._state.view
        due = [
            name
            for name, found in view.known.items()
            if found.suspicion.dead_until > now
            and found.suspicion.found_until <= now + _BEFORE_LAPSE_S
            and self._ask_again_at.get(name, now) <= now
            and not view.is_leaving(name)
        ]
        mine = self._choose_mine(due) if due else []
        if not mine:
            return
        self._ask_again_at = {
            name: at for name, at in self._ask_again_at.items() if at > now
        }
        self._ask_again_at.update(dict.fromkeys(mine, now + _ASK_DEAD_S))
        dead = await self._ask(mine)
        heard = self._examiner.find_heard(now)
        self._alarms.tell_heard(
            {name: heard[name] for name in mine if name in heard.keys() - dead}
        )
