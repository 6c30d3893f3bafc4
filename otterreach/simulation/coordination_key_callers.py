"""Applications that call keys: readers, watchers, and putters, which resend a put until it has a definite answer."""

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

RESEND_FOR_S = (1.0, 6.0)  # a put without a definite answer is resent for a time drawn from this range
RETRY_DELAY_S = (0.03, 0.4)
THINK_TIME_S = (0.0, 0.1, 0.5)
GIVE_UP_SHARE = 0.3  # probability that a put is abandoned after a copy that was surely not applied
DUPLICATE_SHARE = 0.15  # share of acknowledged puts that are sent once more, as after a lost answer
DUPLICATE_AFTER_S = (0.0, 4.0)  # delay from the acknowledgement to that duplicate
READ_FIRST_SHARE = 0.3  # share of puts that are preceded by a read
STALE_EXPECT_SHARE = 0.1  # share of puts that deliberately expect any known revision, mostly an outdated one
READ_PAUSE_S = (0.02, 0.3)  # pause between two reads
WAIT_S = (0.2, 2.0, 5.0)  # long-poll time of a watch
RESUME_OLDER_SHARE = 0.1  # share of watches that resume from an older revision
CURRENT_REVISION_SHARE = 0.05  # share of watches that request the current revision
MAX_RESUME_AGE_SHARE = 0.9  # watches resume from revisions younger than this share of the history retention


class Putter:
    """Sends puts to a few keys, each expecting the newest revision that it knows."""

    def __init__(self, keys: Sequence[str], client: CoordinationClient, stopping: Callable[[], bool]) -> None:
        self.keys = keys
        self.client = client
        self.history = client.history
        self.random = client.random
        self.stopping = stopping
        self.loop = asyncio.get_running_loop()
        self.known: dict[str, list[int]] = {key: [0] for key in keys}
        self._resends: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send puts until the run ends."""
        while not self.stopping():
            key = self.random.choice(self.keys)
            if self.random.random() < READ_FIRST_SHARE:
                await self._refresh_revision(key)
            revisions = self.known[key]
            expect = self.random.choice(revisions) if self.random.random() < STALE_EXPECT_SHARE else revisions[-1]
            await self._put(Put(key, f"{self.random.getrandbits(64):016x}", expect))
            await asyncio.sleep(self.random.choice(THINK_TIME_S))

    async def _refresh_revision(self, key: str) -> None:
        read = await read_key(self.client, key)
        if read.is_ok:
            self._record_revision(key, read.revision)

    def _record_revision(self, key: str, revision: int) -> None:
        if revision > self.known[key][-1]:
            self.known[key].append(revision)

    async def _put(self, put: Put) -> None:
        """Resend the put until it has a definite answer, for some seconds at most."""
        self.history.puts.append(put)
        give_up = self.loop.time() + self.random.uniform(*RESEND_FOR_S)
        while True:
            copy = await self._send(put)
            if copy.is_ok or copy.status == HTTPStatus.PRECONDITION_FAILED:
                self._record_revision(put.key, copy.revision)
                break
            is_abandoned = copy.is_refused and self.random.random() < GIVE_UP_SHARE
            if is_abandoned or self.loop.time() > give_up or self.stopping():
                await self._refresh_revision(put.key)
                return
            await asyncio.sleep(self.random.uniform(*RETRY_DELAY_S))
        if copy.is_ok and self.random.random() < DUPLICATE_SHARE:
            resend = self.loop.create_task(self._resend_later(put))
            self._resends.add(resend)
            resend.add_done_callback(self._resends.discard)

    async def _resend_later(self, put: Put) -> None:
        """Send the same put again later, possibly after others."""
        await asyncio.sleep(self.random.uniform(*DUPLICATE_AFTER_S))
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
class ReceivedRevision:
    """A revision of a group that a watcher received, and the time of the last receipt."""

    revision: int
    at: float


@dataclass(slots=True)
class Watcher:
    """Watches one group from revision to revision, sometimes resuming from an older one."""

    group: str
    client: CoordinationClient
    history_s: float
    stopping: Callable[[], bool]
    received: dict[int, ReceivedRevision] = field(default_factory=dict)  # by revision, in order of first receipt

    async def run(self) -> None:
        """Watch until the run ends."""
        newest = 0
        while not self.stopping():
            past = self._draw_resume_revision(newest)
            watch = await self.watch(past, self.client.random.choice(WAIT_S))
            if watch.is_ok:
                newest = watch.revision
            elif watch.status == HTTPStatus.GONE:
                newest = 0
            else:
                await asyncio.sleep(self.client.random.uniform(*RETRY_DELAY_S))

    def _draw_resume_revision(self, newest: int) -> int:
        drawn = self.client.random.random()
        if drawn < CURRENT_REVISION_SHARE:
            return 0
        resumable_revisions = self.resumable_revisions()
        if drawn < CURRENT_REVISION_SHARE + RESUME_OLDER_SHARE and resumable_revisions:
            return self.client.random.choice(resumable_revisions).revision
        return newest

    def resumable_revisions(self) -> list[ReceivedRevision]:
        """Return the received revisions that the service must still resume from."""
        now = asyncio.get_running_loop().time()
        oldest = now - MAX_RESUME_AGE_SHARE * self.history_s + ANSWER_S
        return [one for one in self.received.values() if one.at > oldest and one.revision]

    async def watch(self, past: int, wait_s: float, final: bool = False) -> Watch:
        """Send one watch and record its answer."""
        loop = asyncio.get_running_loop()
        known = self.received.get(past)
        call = Watch(sent=loop.time(), group=self.group, past=past, wait_s=wait_s, final=final)
        call.past_received_at = known.at if known else -inf
        history = self.client.history
        history.watches.append(call)
        target = f"/watch/{self.group}?past={past}&waitMs={round(wait_s * 1000)}"
        body = await self.client.exchange(call, WireRequest("GET", target), wait_s + ANSWER_S)
        if call.is_ok:
            call.revision = integer_field(history, call, body, "rev")
            call.events = _events(history, call, body)
            self.received[call.revision] = ReceivedRevision(call.revision, call.answered)
        return call


def _events(history: CoordinationHistory, call: Watch, body: Body) -> tuple[WatchEvent, ...]:
    try:
        raw = body.get("events", [])
        return tuple(WatchEvent(str(one["name"]), str(one["value"]), int(one["rev"])) for one in raw)
    except (KeyError, TypeError, ValueError):
        history.violations.append(Violation(Rule.PROTOCOL, f"malformed events in the answer to {call}"))
        return ()
