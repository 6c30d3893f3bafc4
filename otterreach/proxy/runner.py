"""Runs the items of batch jobs that store_nodes push: at a server, to the whole text, then the reward call, then back.

An item is queued by when its results are due. Right before it, or its reward call, is written to a server it must be
known of late that its batch job goes on (otterreach.proxy.directory).
"""

from __future__ import annotations

import asyncio
import json
from bisect import insort
from collections import OrderedDict
from enum import Enum, auto
from math import ceil
from typing import Any

from otterreach.jobstore.messages import Assign, CancelJob, Finished, GiveBack, Running, Work
from otterreach.jobstore.placement import FEWEST_RUNNERS, RUNNER_ROOM, part_of
from otterreach.proxy.config import ROLLOUT, Route
from otterreach.proxy.directory import Caller, JobStoreDirectory
from otterreach.proxy.events import EventReader, Transcript, versions_of
from otterreach.proxy.exchange import HOP, OWN, Exchange, Fate, Headers, Outbound, Outcome
from otterreach.proxy.fleet import Fleet, Server
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Link
from otterreach.runtime.settings import Settings

OVER = 1.1  # items at once over this proxy's share of the slots: servers have a queue
FEWEST = 2
ITEMS_PER_CORE = 40  # measured: an item's events take some 0.5 % of a core
LOOK_S = 0.25
SILENT_S = 1.2  # between events, of a server that says nothing on any connection
SILENT_FIRST_S = 2.5  # before the first event: it may wait in the server's queue
SERVER_SILENT_S = 0.8
PAUSE_S, MOST_PAUSE_S = 0.02, 0.16  # between tries of an item
HOLD_S = 0.05  # between two looks while nothing may go out
GONE_S = 3.0  # a route must be missing for so long before its items are given up for it
WAITED_S = 0.5  # more than maxWaitS: clocks and messages take their time
REWARD_SHARE = 0.8  # of this proxy's share of the scorers' slots: clients' own requests need some too
REWARD_LEAST_S, REWARD_MOST_S = 1.0, 3.0  # for one attempt of a reward call
REPORT_S, REPORT_CALL_S = 2.0, 0.8
MOST_ENDED = 2000  # ids of ended batch jobs that are remembered
Place = tuple[Route, Server]
FINAL = (Code.JOB_ENDED, Code.UNKNOWN_ITEM, Code.UNKNOWN_JOB, Code.BAD_MESSAGE)
WRITTEN_ANEW = HOP | OWN | {b"host", b"request-id", b"last-event-id", b"expect-version"}


class Phase(Enum):
    NEW = auto()
    QUEUED = auto()  # for a server
    RUNNING = auto()
    PAUSED = auto()  # between a failed attempt and the queue
    REWARDING = auto()
    REPORTING = auto()
    OVER = auto()


class Run:
    """One item here, from its Assign until it is told or given back."""

    def __init__(self, assign: Assign, work: Work, now: float, order: int) -> None:
        self.order = order
        self.job, self.item, self.host = assign.job, work.item, assign.host
        self.model, self.min_version = assign.model, assign.min_version
        self.due = now + assign.left_ms / 1000
        self.give_up_at = now + assign.wait_ms / 1000 + WAITED_S
        self.work = work
        self.phase = Phase.NEW
        self.place: Place | str = ""  # where it goes now, or why it is given up
        self.turn: asyncio.Future[None] | None = None  # of one that waits for its next server
        self.path = work.path.partition("?")[0]
        self.failures = self.reward_failures = 0  # answers of 500
        self.pauses = 0
        self.avoid: set[str] = set()  # servers that failed last
        self.transcript = Transcript()
        self.exchange: Exchange | None = None
        self.server: Server | None = None
        self.events = 0  # of the present attempt
        self.gone_since: float | None = None
        self.task: asyncio.Task[None] | None = None
        self.outbound = self._outbound()

    def _outbound(self) -> Outbound:
        given: dict[str, Any] = json.loads(self.work.headers or "{}")
        headers = {name.lower().encode("latin-1"): str(value).encode("latin-1") for name, value in given.items()}
        headers = {name: value for name, value in headers.items() if name not in WRITTEN_ANEW}
        ident = self.item.encode()
        headers |= {b"host": self.host.encode(), b"request-id": ident}
        return Outbound(b"POST", self.work.path.encode("latin-1"), headers, self.work.body, ident)

    @property
    def made(self) -> int | None:
        """The version that has made the latest of its text."""
        return self.transcript.versions[-1] if self.transcript.versions else None

    def restart(self) -> None:
        """What has been made is of no use: begin anew."""
        self.transcript = Transcript()


class Attempt:
    """One exchange of an item: its events go to the run's transcript."""

    def __init__(self, run: Run, server: Server, single: bool) -> None:
        self.run, self.server, self.single = run, server, single
        self.good = False
        self.reader = EventReader()

    def head(self, status: int, headers: Headers) -> None:
        run = self.run
        version = versions_of(headers.get(b"weight-versions"))
        if version is not None:
            self.server.learn(run.model, version)
        self.good = 200 <= status < 300 and b"reply-seal" in headers and b"content-encoding" not in headers
        if not self.good:
            return
        if not self._fits(version):
            self.good = False
            self._stop("version")
        else:
            run.transcript.version = version

    def _fits(self, version: int | None) -> bool:
        if version is None:
            return self.run.min_version <= 1
        made = self.run.transcript.versions
        return version >= self.run.min_version and not (self.single and made and made != [version])

    def body(self, data: bytes) -> None:
        transcript = self.run.transcript
        for event in self.reader.feed(data):
            if not self.good:
                return
            if event.version is not None:
                self.server.learn(self.run.model, event.version)
                if not self._fits(event.version):
                    self.good = False
                    self._stop("version")
                    return
            if not transcript.take(event):
                self.good = False
                self._stop("gap")
                return
            self.run.events += 1

    def _stop(self, reason: str) -> None:
        if self.run.exchange:
            self.run.exchange.give_up(reason)


class Runner:
    """All items of this proxy."""

    def __init__(self, fleet: Fleet, endpoint: Caller, settings: Settings) -> None:
        self.fleet, self.settings = fleet, settings
        self.endpoint = endpoint
        self.loop = fleet.loop
        self.directory = JobStoreDirectory(fleet, self.endpoint, settings, self.load, self.end_job, self.moved)
        self.runs: dict[tuple[str, str], Run] = {}
        self.leaving = False
        self._queue: list[tuple[float, int, Run]] = []  # by when they are due
        self._scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._order = 0
        self._at_servers = 0
        self._rewards = 0  # calls that are out
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._looked = self.loop.time()
        self.endpoint.on(Assign, self._on_assign)
        self.endpoint.on(CancelJob, self._on_cancel)
        fleet.changed += [self._share, self._schedule]

    # What may run at once.

    @property
    def slots(self) -> int:
        """How many items this proxy can carry at once: its processor bounds it."""
        return max(FEWEST, int(self.settings.cores * ITEMS_PER_CORE))

    def _share(self) -> None:
        """Few proxies run items, as many as store_nodes choose: each has that much more of the servers."""
        wanted = self.fleet.cap_of(self.fleet.config.item_services) * RUNNER_ROOM
        most = max(FEWEST_RUNNERS, ceil(wanted / self.slots))
        self.fleet.share_among(max(1, min(self.fleet.proxies, most)))

    def load(self) -> tuple[int, int, list[str]]:
        """Slots, free ones, and the batch jobs of which something is here."""
        slots = 0 if self.leaving else self.slots
        waiting = sum(1 for run in self.runs.values() if run.phase in (Phase.QUEUED, Phase.RUNNING, Phase.PAUSED))
        return slots, max(0, slots - waiting), sorted({run.job for run in self.runs.values()})

    def _change(self, run: Run, phase: Phase) -> None:
        """The one place that changes a run's phase, and keeps the books."""
        if run.phase is phase or run.phase is Phase.OVER:
            return
        self._at_servers += (phase is Phase.RUNNING) - (run.phase is Phase.RUNNING)
        run.phase = phase
        if phase is Phase.OVER:
            self.runs.pop((run.job, run.item), None)
        elif phase is Phase.QUEUED:
            insort(self._queue, (run.due, run.order, run))
        self._schedule()

    # What store_nodes say.

    async def _on_assign(self, link: Link, assign: Assign) -> None:
        self.assign(assign)

    async def _on_cancel(self, link: Link, cancel: CancelJob) -> None:
        self.end_job(cancel.job)

    def assign(self, assign: Assign) -> None:
        hold = self.directory.holds.get(assign.part)
        if assign.job in self._ended or hold and assign.epoch < hold.epoch:
            return
        if self.leaving:
            self._give_back(assign.job, [work.item for work in assign.works])
            return
        now = self.loop.time()
        for work in assign.works:
            if (assign.job, work.item) in self.runs:
                continue
            self._order += 1
            run = Run(assign, work, now, self._order)
            self.runs[assign.job, work.item] = run
            self._change(run, Phase.QUEUED)

    def end_job(self, job: str) -> None:
        """Nothing of it may go out any more; what runs is broken off."""
        self._ended[job] = None
        if len(self._ended) > MOST_ENDED:
            self._ended.popitem(last=False)
        for run in [run for run in self.runs.values() if run.job == job]:
            self._drop(run)

    def _drop(self, run: Run) -> None:
        task = run.task
        self._change(run, Phase.OVER)
        if task:
            task.cancel()

    def moved(self, part: int, address: str) -> None:
        """Another store_node, or another epoch: tell it what is here."""
        items = [f"{run.job} {run.item}" for run in self.runs.values() if part_of(run.job) == part]
        self._tell(address, Running(part, self.settings.node, items))

    def _give_back(self, job: str, items: list[str]) -> None:
        address = self.directory.address_of(job)
        if address and items:
            self._tell(address, GiveBack(job, items))

    def _tell(self, address: str, value: Any) -> None:
        self.endpoint.spawn(self._send(address, value))

    async def _send(self, address: str, value: Any) -> None:
        link = await self.endpoint.link(address)
        if not isinstance(link, Failure):
            link.send(value)

    # One item.

    def _schedule(self) -> None:
        """Look at the queue in the next turn of the loop."""
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Start one: what is due first of what can go anywhere. One at a time, for each changes the next one's odds."""
        self._scheduled = False
        self._queue = [entry for entry in self._queue if entry[2].phase is Phase.QUEUED]
        if not self._queue or self._at_servers >= self.slots:
            return
        stuck: set[tuple[str, int | None]] = set()  # of a batch job nothing more is tried once one finds no server
        for _, _, run in self._queue:
            need = (run.job, run.made)
            if need in stuck or self.leaving and run.task is None:
                continue
            place = self._place(run)
            if place is not None:
                self._start(run, place)
                return
            stuck.add(need)
        if self._timer is None:
            self._timer = self.loop.call_later(HOLD_S, self._look_again)

    def _look_again(self) -> None:
        self._timer = None
        self._schedule()

    def _start(self, run: Run, place: Place | str) -> None:
        """Danger: the task's first step counts it at its server, so it must come before the next look at the queue."""
        run.place = place
        if run.task is None:
            run.task = self.endpoint.spawn(self._work(run))
        elif run.turn and not run.turn.done():
            run.turn.set_result(None)
        self._change(run, Phase.RUNNING)

    def _place(self, run: Run) -> Place | str | None:
        """Where it may go now; or why it is given up; or None: nowhere yet."""
        route = self._route(run)
        if reason := self._hopeless(run):
            return reason
        if route is None or not self.directory.in_force(run.job):
            return None
        if self._stranded(run, route):
            run.restart()
        server = self.fleet.pick(route, run.avoid, self._fits(run, route.single))
        return (route, server) if server else None

    async def _turn(self, run: Run) -> None:
        """Wait a little, then for a server."""
        run.turn = self.loop.create_future()
        run.pauses += 1
        most = min(MOST_PAUSE_S, PAUSE_S * 2 ** min(run.pauses, 6))
        pause = most * (0.5 + self.fleet.draw.random.random() / 2)
        self._change(run, Phase.PAUSED)
        self.loop.call_later(pause, self._change, run, Phase.QUEUED)
        await run.turn

    async def _work(self, run: Run) -> None:
        try:
            score = ""
            reason = await self._make(run)
            if not reason and run.work.scorer_id:
                self._change(run, Phase.REWARDING)
                reason, score = await self._reward(run)
            self._change(run, Phase.REPORTING)
            await self._report(run, "errored" if reason else "done", reason, score)
        except Exception as error:  # a fault with one item ends it here, not the process; another proxy may do
            log("item_failed", level="ERROR", job=run.job, item=run.item, error=repr(error))
            self._give_back(run.job, [run.item])
        finally:
            self._change(run, Phase.OVER)

    def _route(self, run: Run) -> Route | None:
        """The item's route by the newest configuration. Notes since when there is none."""
        route = self.fleet.config.route(run.host, run.path)
        if route is not None and route.kind == ROLLOUT:
            run.gone_since = None
            return route
        if run.gone_since is None:
            run.gone_since = self.loop.time()
        return None

    def _hopeless(self, run: Run) -> str:
        """Why it is given up, or nothing."""
        now = self.loop.time()
        if now > run.give_up_at:
            return "waited"
        if run.gone_since is not None and now - run.gone_since > GONE_S and self.fleet.config.number:
            return "route_gone"
        return ""

    def _share_of(self, server: Server) -> int:
        """How many this proxy may have there at once. Danger: after a change of version one server may be the only
        one that fits, and all proxies would fill its queue."""
        share = ceil(server.cap * OVER / self.fleet.runners)
        return min(server.cap, max(FEWEST, share))

    def _fits(self, run: Run, single: bool) -> Any:
        """Which servers may get it: with weights new enough, and with a slot for one more of this proxy's."""
        wanted = run.made if single else None

        def fits(server: Server) -> bool:
            if server.estimate.in_flight >= self._share_of(server):
                return False
            version = server.versions.get(run.model)
            if version is None:
                return run.min_version <= 1
            return version >= run.min_version and (wanted is None or version == wanted)

        return fits

    def _stranded(self, run: Run, route: Route) -> bool:
        """What has been made under one version, and no server has that version any more."""
        wanted = run.made
        if not route.single or wanted is None:
            return False
        return not any(
            s.open and s.versions.get(run.model) == wanted and route.allows(s.service)
            for s in self.fleet.servers.values()
        )

    async def _make(self, run: Run) -> str:
        """The whole text. Returns nothing, or why the item has failed for good."""
        while not isinstance(run.place, str):
            route, server = run.place
            outcome, attempt = await self._attempt(run, route, server)
            verdict = self._judge(run, route, server, outcome, attempt)
            if verdict is not None:
                return verdict
            await self._turn(run)
        return run.place

    async def _attempt(self, run: Run, route: Route, server: Server) -> tuple[Outcome, Attempt]:
        attempt = Attempt(run, server, route.single)
        extra: Headers = {}
        if run.transcript.last is not None:
            extra[b"last-event-id"] = b"%d" % run.transcript.last
            if route.single and run.made is not None:
                extra[b"expect-version"] = b"%d" % run.made
        elif len(run.transcript):
            run.restart()  # without ids nothing can be resumed
        fits = self._fits(run, route.single)

        def wanted() -> bool:
            server.estimate.in_flight -= 1  # it is counted already
            fit = fits(server)
            server.estimate.in_flight += 1
            return fit and self._may_go(run) and self.fleet.may_write(server, run.host, run.path)

        run.events = 0
        exchange = run.exchange = self.fleet.exchange(
            server, run.outbound, run.give_up_at, wanted, extra, attempt.head, attempt.body
        )
        run.server = server
        try:
            return await self.fleet.attempt(server, exchange), attempt
        finally:
            run.exchange = run.server = None

    def _may_go(self, run: Run) -> bool:
        """The check right before each write."""
        return run.phase is not Phase.OVER and run.job not in self._ended and self.directory.in_force(run.job)

    def _judge(self, run: Run, route: Route, server: Server, outcome: Outcome, attempt: Attempt) -> str | None:
        """What an attempt means: None to go on, nothing if the text is whole, or why the item has failed."""
        now = self.loop.time()
        if run.transcript.broken:
            run.restart()
        if outcome.success and attempt.good and not attempt.reader.partial and len(run.transcript):
            self.fleet.draw.answered(server.estimate, route.name, outcome.took_s / (run.events + 2), now)
            return ""
        if run.events:
            run.pauses = 0
        run.avoid = {server.id}
        if outcome.reason == "version":
            if route.single and run.transcript.versions:
                run.restart()
            return None
        if outcome.fate is Fate.ANSWERED:
            if outcome.status == 422:
                return "unprocessable"
            if outcome.status == 500:
                run.failures += 1
                if run.failures >= route.tries:
                    return "failed"
            elif 400 <= outcome.status < 500:
                run.restart()
        if outcome.reason == "wrong_server" and server.open and route.single and run.made is not None:
            server.learn(run.model, run.made + 1)  # it has moved on: versions only rise
        self.fleet.blame(server, route.name, outcome, SILENT_S)
        return None

    # Its reward.

    async def _reward(self, run: Run) -> tuple[str, str]:
        """The score. Returns (why it failed for good, or nothing; the score)."""
        work, path = run.work, run.work.scorer_path.partition("?")[0]
        ident = work.scorer_id.encode()
        headers = {b"host": work.scorer_host.encode(), b"request-id": ident}
        outbound = Outbound(b"POST", work.scorer_path.encode("latin-1"), headers, work.scorer_body, ident)
        item_route = self.fleet.config.route(run.host, run.path)
        tries = item_route.tries if item_route else 1
        avoid: set[str] = set()
        while True:
            if self.loop.time() > run.give_up_at:
                return "waited", ""
            route = self.fleet.config.route(work.scorer_host, path)
            if route is None or not self._reward_room(route):
                await asyncio.sleep(HOLD_S * self.fleet.draw.random.random())
                continue
            server = self.fleet.pick(route, avoid) if self.directory.in_force(run.job) else None
            if server is None:
                await asyncio.sleep(HOLD_S)
                continue
            outcome = await self._reward_attempt(run, route, server, outbound, path)
            if outcome.success:
                self.fleet.draw.answered(server.estimate, route.name, outcome.took_s, self.loop.time())
                return "", outcome.headers[b"reply-seal"].decode("latin-1")
            if outcome.fate is Fate.ANSWERED and outcome.status == 500:
                run.reward_failures += 1
                if run.reward_failures >= max(tries, route.tries):
                    return "reward_failed", ""
            self.fleet.blame(server, route.name, outcome, max(route.target_s, REWARD_LEAST_S))
            avoid = {server.id}
            await asyncio.sleep(PAUSE_S * (1 + self.fleet.draw.random.random()))

    def _reward_room(self, route: Route) -> bool:
        """Whether one more reward call may be out: many items end at the same moment."""
        cap = self.fleet.cap_of({name for name, _ in route.split})
        return self._rewards < max(FEWEST, round(cap / self.fleet.runners * REWARD_SHARE))

    async def _reward_attempt(self, run: Run, route: Route, server: Server, outbound: Outbound, path: str) -> Outcome:
        within = min(route.timeout_s, REWARD_MOST_S, max(REWARD_LEAST_S, 4 * route.target_s))

        def wanted() -> bool:
            return self._may_go(run) and self.fleet.may_write(server, run.work.scorer_host, path)

        exchange = self.fleet.exchange(server, outbound, self.loop.time() + within, wanted)
        self._rewards += 1
        try:
            return await self.fleet.attempt(server, exchange)
        finally:
            self._rewards -= 1

    # Its end.

    async def _report(self, run: Run, state: str, reason: str, score: str) -> None:
        """Tell the store_node until it has taken it."""
        done = state == "done"
        text = run.transcript.text.decode("utf-8", "replace") if done else ""
        versions = sorted(run.transcript.versions) if done else []
        finished = Finished(run.job, run.item, state, reason, text, versions, score)
        while True:
            reply = await self.directory.ask(run.job, finished, REPORT_S, REPORT_CALL_S)
            if not isinstance(reply, Failure):
                break
            if reply.code in FINAL:
                break
            await asyncio.sleep(HOLD_S)
        if reason:
            log("item_errored", job=run.job, item=run.item, reason=reason)

    # Beside all that.

    async def watch(self) -> None:
        """Break off what is silent. Danger: after a stand-still of this process everything looks silent."""
        while True:
            await asyncio.sleep(LOOK_S)
            now = self.loop.time()
            late, self._looked = now - self._looked > 3 * LOOK_S, now
            if late:
                continue
            for run in list(self.runs.values()):
                if run.exchange and run.server and run.exchange.sent_at:
                    self._look(run, run.exchange, run.server, now)

    def _look(self, run: Run, exchange: Exchange, server: Server, now: float) -> None:
        quiet = now - max(exchange.heard_at, exchange.sent_at)
        limit = SILENT_S if run.events else SILENT_FIRST_S
        dark = now - server.pool.heard_at > SERVER_SILENT_S
        if quiet > limit and (dark or quiet > 2 * limit):
            exchange.give_up("silent", True)

    async def leave(self, within_s: float) -> None:
        """The process ends: what has not begun goes back at once, what runs may end, the rest goes back then."""
        self.leaving = True
        queued: dict[str, list[str]] = {}
        for run in [r for r in self.runs.values() if r.phase is Phase.QUEUED and r.task is None]:
            queued.setdefault(run.job, []).append(run.item)
            self._change(run, Phase.OVER)
        for job, items in queued.items():
            self._give_back(job, items)
        end = self.loop.time() + within_s
        while self.runs and self.loop.time() < end:
            await asyncio.sleep(HOLD_S)
        for run in list(self.runs.values()):
            self._give_back(run.job, [run.item])
            self._drop(run)
        await asyncio.sleep(HOLD_S)
