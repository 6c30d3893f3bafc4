"""Callers of keys: compare-and-put on what they know, sent again while the answer is unclear; readers; watchers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf

from otterreach.simulation.coordination_client import ANSWER_S, Body, CoordinationClient, WireRequest, integer_field
from otterreach.simulation.coordination_history import (
    CoordinationHistory,
    Put,
    PutCopy,
    Read,
    Rule,
    Violation,
    Watch,
    WatchEvent,
)

RESEND_S = (1.0, 6.0)  # for so long a put without a clear answer is sent again
AGAIN_S = (0.03, 0.4)
THINK_S = (0.0, 0.1, 0.5)
GIVE_UP_SHARE = 0.3  # of the puts whose copy was refused with a promise are not sent again
REPEAT_SHARE = 0.15  # of the acknowledged puts arrive once more, as if the answer had been lost
REPEAT_AFTER_S = (0.0, 4.0)
LOOK_SHARE = 0.3  # of the puts follow a read
STALE_SHARE = 0.1  # of the puts expect an older revision on purpose
READ_PAUSE_S = (0.02, 0.3)
WAIT_S = (0.2, 2.0, 5.0)  # of a watch
OLDER_SHARE = 0.1  # of the watches resume from an older revision
PRESENT_SHARE = 0.05  # of the watches ask for the present revision
YOUNGER_THAN_HISTORY = 0.9  # resumed revisions are younger than this part of the time that history is kept


class Putter:
    """Puts to a few keys, each on top of the newest revision that it knows."""

    def __init__(self, keys: Sequence[str], client: CoordinationClient, stopping: Callable[[], bool]) -> None:
        self.keys = keys
        self.client = client
        self.history = client.history
        self.random = client.random
        self.stopping = stopping
        self.loop = asyncio.get_running_loop()
        self.known: dict[str, list[int]] = {key: [0] for key in keys}
        self._repeats: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Put until the run ends."""
        while not self.stopping():
            key = self.random.choice(self.keys)
            if self.random.random() < LOOK_SHARE:
                await self._look(key)
            revisions = self.known[key]
            expect = self.random.choice(revisions) if self.random.random() < STALE_SHARE else revisions[-1]
            await self._put(Put(key, f"{self.random.getrandbits(64):016x}", expect))
            await asyncio.sleep(self.random.choice(THINK_S))

    async def _look(self, key: str) -> None:
        read = await read_key(self.client, key)
        if read.is_ok:
            self._know(key, read.revision)

    def _know(self, key: str, revision: int) -> None:
        if revision > self.known[key][-1]:
            self.known[key].append(revision)

    async def _put(self, put: Put) -> None:
        """Send it until the answer is clear, or for some seconds."""
        self.history.puts.append(put)
        give_up = self.loop.time() + self.random.uniform(*RESEND_S)
        while True:
            copy = await self._send(put)
            if copy.is_ok or copy.status == HTTPStatus.PRECONDITION_FAILED:
                self._know(put.key, copy.revision)
                break
            is_promised = copy.is_refused and self.random.random() < GIVE_UP_SHARE
            if is_promised or self.loop.time() > give_up or self.stopping():
                await self._look(put.key)
                return
            await asyncio.sleep(self.random.uniform(*AGAIN_S))
        if copy.is_ok and self.random.random() < REPEAT_SHARE:
            repeat = self.loop.create_task(self._repeat(put))
            self._repeats.add(repeat)
            repeat.add_done_callback(self._repeats.discard)

    async def _repeat(self, put: Put) -> None:
        """The same put arrives again, after others."""
        await asyncio.sleep(self.random.uniform(*REPEAT_AFTER_S))
        if not self.stopping():
            await self._send(put)

    async def _send(self, put: Put) -> PutCopy:
        copy = PutCopy(sent=self.loop.time())
        put.copies.append(copy)
        request = WireRequest("PUT", f"/cells/{put.key}", {"value": put.value, "expect": put.expect})
        body = await self.client.exchange(copy, request)
        if copy.is_ok or copy.status == HTTPStatus.PRECONDITION_FAILED:
            copy.revision = integer_field(self.history, copy, body, "rev")
        return copy


async def read_key(client: CoordinationClient, key: str, final: bool = False) -> Read:
    """Read a key once."""
    call = Read(sent=asyncio.get_running_loop().time(), key=key, final=final)
    client.history.reads.append(call)
    body = await client.exchange(call, WireRequest("GET", f"/cells/{key}"))
    if call.is_ok:
        call.revision = integer_field(client.history, call, body, "rev")
        call.value = str(body.get("value"))
    return call


async def read_keys(client: CoordinationClient, keys: Sequence[str], stopping: Callable[[], bool]) -> None:
    """Read one key after the other until the run ends."""
    while not stopping():
        await read_key(client, client.random.choice(keys))
        await asyncio.sleep(client.random.uniform(*READ_PAUSE_S))


@dataclass(slots=True)
class GivenRevision:
    """A revision of a group that a watcher was told, and when last."""

    revision: int
    at: float


@dataclass(slots=True)
class Watcher:
    """Follows one group from revision to revision, at times from an older one that it has kept."""

    group: str
    client: CoordinationClient
    history_s: float
    stopping: Callable[[], bool]
    given: dict[int, GivenRevision] = field(default_factory=dict)  # in the order in which they were given

    async def run(self) -> None:
        """Watch until the run ends."""
        newest = 0
        while not self.stopping():
            past = self._draw_past(newest)
            watch = await self.watch(past, self.client.random.choice(WAIT_S))
            if watch.is_ok:
                newest = watch.revision
            elif watch.status == HTTPStatus.GONE:
                newest = 0
            else:
                await asyncio.sleep(self.client.random.uniform(*AGAIN_S))

    def _draw_past(self, newest: int) -> int:
        drawn = self.client.random.random()
        if drawn < PRESENT_SHARE:
            return 0
        saved = self.saved()
        if drawn < PRESENT_SHARE + OLDER_SHARE and saved:
            return self.client.random.choice(saved).revision
        return newest

    def saved(self) -> list[GivenRevision]:
        """The revisions that can surely be resumed from."""
        now = asyncio.get_running_loop().time()
        youngest = now - YOUNGER_THAN_HISTORY * self.history_s + ANSWER_S
        return [one for one in self.given.values() if one.at > youngest and one.revision]

    async def watch(self, past: int, wait_s: float, final: bool = False) -> Watch:
        """Send one watch and record what it tells."""
        loop = asyncio.get_running_loop()
        known = self.given.get(past)
        call = Watch(sent=loop.time(), group=self.group, past=past, wait_s=wait_s, final=final)
        call.past_given = known.at if known else -inf
        history = self.client.history
        history.watches.append(call)
        target = f"/watch/{self.group}?past={past}&waitMs={round(wait_s * 1000)}"
        body = await self.client.exchange(call, WireRequest("GET", target), wait_s + ANSWER_S)
        if call.is_ok:
            call.revision = integer_field(history, call, body, "rev")
            call.events = _events(history, call, body)
            self.given[call.revision] = GivenRevision(call.revision, call.answered)
        return call


def _events(history: CoordinationHistory, call: Watch, body: Body) -> tuple[WatchEvent, ...]:
    try:
        raw = body.get("events", [])
        return tuple(WatchEvent(str(one["name"]), str(one["value"]), int(one["rev"])) for one in raw)
    except (KeyError, TypeError, ValueError):
        history.violations.append(Violation(Rule.PROTOCOL, f"events that can't be read in the answer to {call}"))
        return ()
