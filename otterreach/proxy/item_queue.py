"""The items of this proxy by phase, and the queue of those waiting for a server, ordered by due time."""

from __future__ import annotations

import asyncio
from bisect import insort
from math import ceil
from typing import Protocol

from otterreach.jobstore.placement import MIN_RUNNERS, RUNNER_SLOTS_SHARE
from otterreach.proxy.fleet import Fleet
from otterreach.proxy.item_placement import ItemPlacer, PlacementRequirements
from otterreach.proxy.item_return import Obstacle, should_return
from otterreach.proxy.item_run import Abandoned, ItemRun, Phase, Placement
from otterreach.proxy.ping_schedule import ItemLoad

ITEMS_PER_CORE = 40  # processing an item's events takes about 0.5 % of a core
MIN_SLOTS = 2
RETRY_PAUSE_S = 0.02  # between attempts of an item; doubles with each attempt
MAX_RETRY_PAUSE_S = 0.16
MAX_DOUBLINGS = 6
RECHECK_S = 0.05  # interval between checks of the queue while no item can be sent
MIN_PROXIES_TO_RETURN = 2  # with fewer there is no other proxy to run a returned item
WAITING = (Phase.QUEUED, Phase.RUNNING, Phase.PAUSED)


class QueueOwner(Protocol):
    """The component that runs the items leaving the queue."""

    def start(self, run: ItemRun) -> asyncio.Task[None]:
        """Create the task of an item that is sent for the first time."""

    def return_item(self, run: ItemRun) -> None:
        """Return an item to the job store because this proxy reached no server for it."""

    def state_age_s(self) -> float:
        """Return the age of the local replica of the control state."""


class ItemQueue:
    """All items of this proxy."""

    def __init__(self, fleet: Fleet, placer: ItemPlacer, cores: float, owner: QueueOwner) -> None:
        self.fleet = fleet
        self.loop = fleet.loop
        self.placer = placer
        self.slots = max(MIN_SLOTS, int(cores * ITEMS_PER_CORE))  # limited by processor capacity
        self.runs: dict[tuple[str, str], ItemRun] = {}
        self.shutting_down = False  # no new items are started
        self._owner = owner
        self._queue: list[tuple[float, int, ItemRun]] = []  # sorted by due time, then by order of assignment
        self._scheduled = False
        self._recheck: asyncio.TimerHandle | None = None
        self._at_servers = 0
        fleet.on_change += [self._update_runner_count, self.schedule]

    def load(self) -> ItemLoad:
        """Return the load that is reported to the job store nodes."""
        slots = 0 if self.shutting_down else self.slots
        waiting = sum(1 for run in self.runs.values() if run.phase in WAITING)
        return ItemLoad(slots, max(0, slots - waiting), tuple(sorted({run.job for run in self.runs.values()})))

    def add(self, run: ItemRun) -> None:
        """Add a newly assigned item to the queue."""
        self.runs[run.key] = run
        self.change_phase(run, Phase.QUEUED)

    def change_phase(self, run: ItemRun, phase: Phase) -> None:
        """Change the phase of an item and update the count of items at servers; nothing else may set the phase."""
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
        """Cancel an item and remove it."""
        task = run.task
        self.change_phase(run, Phase.DONE)
        if task:
            task.cancel()

    async def wait_for_server(self, run: ItemRun) -> None:
        """Wait for a backoff pause with jitter, then for the next server."""
        run.next_server = self.loop.create_future()
        run.retries += 1
        longest = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * 2 ** min(run.retries, MAX_DOUBLINGS))
        pause = longest * (0.5 + self.fleet.draw.random.random() / 2)
        self.change_phase(run, Phase.PAUSED)
        self.loop.call_later(pause, self.change_phase, run, Phase.QUEUED)
        await run.next_server

    def schedule(self) -> None:
        """Check the queue in the next iteration of the event loop."""
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._start_next)

    def _start_next(self) -> None:
        """Start the item that is due first among those that can be placed.

        One item is started per call, because each changes the load and thereby the selection for the next one.
        """
        self._scheduled = False
        self._queue = [entry for entry in self._queue if entry[2].phase is Phase.QUEUED]
        if not self._queue or self._at_servers >= self.slots:
            return
        # Once an item finds no server, no placement is attempted for others with the same requirements.
        obstacles: dict[PlacementRequirements, Obstacle] = {}
        for _, _, run in self._queue:
            if self.shutting_down and run.task is None:
                continue
            requirements = self.placer.requirements(run)
            placement = obstacles.get(requirements) or self.placer.place(run)
            if self._should_return(run, placement):
                self._owner.return_item(run)
            elif isinstance(placement, Obstacle):
                obstacles[requirements] = placement
            else:
                self._start(run, placement)
                return
        if self._recheck is None:
            self._recheck = self.loop.call_later(RECHECK_S, self._on_recheck)

    def _should_return(self, run: ItemRun, placement: Placement | Abandoned | Obstacle) -> bool:
        """Return True if the item is to be returned so that another proxy can run it."""
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
        """Start or resume the item's task.

        The task's first step counts the item at its server, so it has to run before the next check of the queue.
        """
        run.placement = placement
        if run.task is None:
            run.task = self._owner.start(run)
        elif run.next_server and not run.next_server.done():
            run.next_server.set_result(None)
        self.change_phase(run, Phase.RUNNING)

    def _update_runner_count(self) -> None:
        """Set the number of proxies that run items, by the formula that the job store nodes use to select them.

        Only a few proxies run items, so each of them has a larger share of the servers.
        """
        slots = self.fleet.total_slots(self.fleet.config.item_services) * RUNNER_SLOTS_SHARE
        runners = max(MIN_RUNNERS, ceil(slots / self.slots))
        self.fleet.set_runner_count(max(1, min(self.fleet.proxies, runners)))
