"""The items of this proxy by phase, and the queue of those that wait for a server: which goes next, how many run."""

from __future__ import annotations

import asyncio
from bisect import insort
from math import ceil
from typing import Protocol

from otterreach.jobstore.placement import MIN_RUNNERS, RUNNER_SLOTS_SHARE
from otterreach.proxy.fleet import Fleet
from otterreach.proxy.item_placement import ItemPlacer, Need
from otterreach.proxy.item_return import Obstacle, should_return
from otterreach.proxy.item_run import Abandoned, ItemRun, Phase, Placement
from otterreach.proxy.ping_schedule import ItemLoad

ITEMS_PER_CORE = 40  # measured: an item's events take some 0.5 % of a core
MIN_SLOTS = 2
RETRY_PAUSE_S = 0.02  # between attempts of an item, doubled with each
MAX_RETRY_PAUSE_S = 0.16
MAX_DOUBLINGS = 6
RECHECK_S = 0.05  # between two looks at the queue while nothing may go out
MIN_PROXIES_TO_RETURN = 2  # with fewer there is no other that could run an item
WAITING = (Phase.QUEUED, Phase.RUNNING, Phase.PAUSED)


class QueueOwner(Protocol):
    """Who runs what leaves the queue."""

    def start(self, run: ItemRun) -> asyncio.Task[None]:
        """Make the task of an item that goes out for the first time."""

    def return_item(self, run: ItemRun) -> None:
        """No server could be reached for it from here: let another proxy run it."""

    def state_age_s(self) -> float:
        """How old the copy of the control state is."""


class ItemQueue:
    """All items of this proxy."""

    def __init__(self, fleet: Fleet, placer: ItemPlacer, cores: float, owner: QueueOwner) -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.placer = placer
        self.slots = max(MIN_SLOTS, int(cores * ITEMS_PER_CORE))  # what its processor bears
        self.runs: dict[tuple[str, str], ItemRun] = {}
        self.shutting_down = False  # nothing new is begun
        self._owner = owner
        self._queue: list[tuple[float, int, ItemRun]] = []  # by when they are due
        self._scheduled = False
        self._recheck: asyncio.TimerHandle | None = None
        self._at_servers = 0
        fleet.on_change += [self._share_servers, self.schedule]

    def load(self) -> ItemLoad:
        """What the job store nodes are told of the items here."""
        slots = 0 if self.shutting_down else self.slots
        waiting = sum(1 for run in self.runs.values() if run.phase in WAITING)
        return ItemLoad(slots, max(0, slots - waiting), tuple(sorted({run.job for run in self.runs.values()})))

    def add(self, run: ItemRun) -> None:
        """A new item."""
        self.runs[run.key] = run
        self.change_phase(run, Phase.QUEUED)

    def change_phase(self, run: ItemRun, phase: Phase) -> None:
        """The one function that changes a run's phase; it updates the counts by phase."""
        if run.phase is phase or run.phase is Phase.DONE:
            return
        self._at_servers += (phase is Phase.RUNNING) - (run.phase is Phase.RUNNING)
        run.phase = phase
        if phase is Phase.DONE:
            self.runs.pop(run.key, None)
        elif phase is Phase.QUEUED:
            insort(self._queue, (run.due, run.order, run))
        self.schedule()

    def drop(self, run: ItemRun) -> None:
        """Break it off."""
        task = run.task
        self.change_phase(run, Phase.DONE)
        if task:
            task.cancel()

    async def wait_for_server(self, run: ItemRun) -> None:
        """Pause a little, then wait for a server."""
        run.next_server = self.loop.create_future()
        run.retries += 1
        longest = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** min(run.retries, MAX_DOUBLINGS))
        pause = longest * (0.5 + self.fleet.draw.random.random() / 2)
        self.change_phase(run, Phase.PAUSED)
        self.loop.call_later(pause, self.change_phase, run, Phase.QUEUED)
        await run.next_server

    def schedule(self) -> None:
        """Look at the queue in the next turn of the loop."""
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._start_next)

    def _start_next(self) -> None:
        """Start one: what is due first of what can go anywhere. One at a time, for each changes the next one's odds."""
        self._scheduled = False
        self._queue = [entry for entry in self._queue if entry[2].phase is Phase.QUEUED]
        if not self._queue or self._at_servers >= self.slots:
            return
        stuck: dict[Need, Obstacle] = {}  # of one need nothing more is tried once one item finds no server
        for _, _, run in self._queue:
            if self.shutting_down and run.task is None:
                continue
            need = self.placer.need(run)
            placement = stuck.get(need) or self.placer.place(run)
            if self._should_return(run, placement):
                self._owner.return_item(run)
            elif isinstance(placement, Obstacle):
                stuck[need] = placement
            else:
                self._start(run, placement)
                return
        if self._recheck is None:
            self._recheck = self.loop.call_later(RECHECK_S, self._on_recheck)

    def _should_return(self, run: ItemRun, placement: Placement | Abandoned | Obstacle) -> bool:
        """Whether another proxy is to try."""
        if isinstance(placement, Abandoned) or self.fleet.proxies < MIN_PROXIES_TO_RETURN:
            return False
        obstacle = placement if isinstance(placement, Obstacle) else None
        waited_s = self.loop.time() - run.left_server_at
        has_text = bool(len(run.transcript))
        return should_return(obstacle, waited_s, run.unreachable, self._owner.state_age_s(), has_text)

    def _on_recheck(self) -> None:
        self._recheck = None
        self.schedule()

    def _start(self, run: ItemRun, placement: Placement | Abandoned) -> None:
        """Danger: the task's first step counts it at its server, so it must come before the next look at the queue."""
        run.placement = placement
        if run.task is None:
            run.task = self._owner.start(run)
        elif run.next_server and not run.next_server.done():
            run.next_server.set_result(None)
        self.change_phase(run, Phase.RUNNING)

    def _share_servers(self) -> None:
        """Few proxies run items, as many as job store nodes choose: each has that much more of the servers."""
        wanted = self.fleet.slots_of(self.fleet.config.item_services) * RUNNER_SLOTS_SHARE
        most = max(MIN_RUNNERS, ceil(wanted / self.slots))
        self.fleet.set_runner_count(max(1, min(self.fleet.proxies, most)))
