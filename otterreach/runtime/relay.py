"""The tree by which changes of the control state reach every process, and who is in it.

Each process follows one parent: it tells its digests, gets what differs, then every change as it comes. It asks again
and again how old the parent's own knowledge is; the asker's clock counts from when it asked: no message that was held
up passes for a new one. A parent that falls silent, or is older than others, is left.
Roots are the controllers; the place in the order of the members tells whom to follow: nobody has to plan the tree.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from otterreach.runtime.codec import message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.rpc import Endpoint, Link
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import RANGES, Item, ReplicatedStore

BEAT_S = 0.2
SILENT_S = 0.65  # a parent that says nothing for so long is left
OLD_S = 1.0  # knowledge older than this makes a child look for a better parent
BETTER_S = 0.3  # so much newer another's knowledge must be to change to it
LOOK_SHARE = 0.5  # of the beats at which a better one is looked for: not all children at once
FAN_OUT = 8
CALL_S = 0.6
PIECE_BYTES = 64 * 1024  # of what differs, in one answer to Follow; the child asks again until it has all
RETRY_S = 0.1
UNKNOWN_MS = 10**9


@message(10)
@dataclass(slots=True)
class Follow:
    """A child to its parent: send me what differs from these digests, a piece of it, and what changes from now on."""

    node: str
    digests: list[int]


@message(11)
@dataclass(slots=True)
class Changes:
    """A parent to its child. `age_ms`: since the root surely knew nothing newer."""

    age_ms: int
    rev: int
    items: list[Item]
    digest: int  # over all that the parent has
    asked_ms: int = 0  # the StillThere that this answers, by its asker's clock
    collected: int = 0  # the parent has dropped tombstones up to this rev
    ranges: list[int] = field(default_factory=list)  # of keys: all that the parent has in them is among the items


@message(16)
@dataclass(slots=True)
class StillThere:
    """A child to its parent, one way: answered at once by Changes without items."""

    sent_ms: int


@message(12)
@dataclass(slots=True)
class WhoIsRoot:
    """To a controller: who is primary, and which controllers are there?"""

    node: str


@message(13)
@dataclass(slots=True)
class Roots:
    primary: str  # its internal address, or nothing
    controllers: list[str]


class Relay:
    """The parent's side: children, and what they are told. Works at every process."""

    def __init__(self, endpoint: Endpoint, store: ReplicatedStore, age_s: Callable[[], float]) -> None:
        self.endpoint, self.store, self.age_s = endpoint, store, age_s
        self.children: dict[Link, str] = {}
        endpoint.on(Follow, self._follow)
        endpoint.on(StillThere, self._still_there)

    async def _still_there(self, link: Link, ask: StillThere) -> None:
        if link in self.children:
            link.send(self._changes([], ask.sent_ms))

    async def _follow(self, link: Link, ask: Follow) -> Changes | Failure:
        if self.age_s() > OLD_S * 4 and not self.store.items:
            return Failure(Code.NOT_SYNCED, "nothing known yet")
        link.peer = ask.node
        if link not in self.children:
            self.children[link] = ask.node
            link.on_close.append(self._leave)
        differing = self.store.differing_ranges(ask.digests)
        ranges = next(self.store.pieces(differing, PIECE_BYTES), [])
        return self._changes(self.store.in_ranges(ranges), ranges=ranges)

    def _leave(self, link: Link) -> None:
        self.children.pop(link, None)

    def _changes(self, items: list[Item], asked_ms: int = 0, ranges: list[int] | None = None) -> Changes:
        age_ms, store = min(int(self.age_s() * 1000) + 1, UNKNOWN_MS), self.store
        return Changes(age_ms, store.rev, items, store.digest, asked_ms, store.collected, ranges or [])

    def publish(self, items: list[Item]) -> None:
        """Tell the children what has just been taken."""
        if items:
            changes = self._changes(items)
            for link in list(self.children):
                link.send(changes)


class Follower:
    """The child's side: finds a parent, keeps the store as new as it, passes on what it takes."""

    def __init__(self, endpoint: Endpoint, store: ReplicatedStore, settings: Settings, random: Random) -> None:
        self.endpoint, self.store, self.settings, self.random = endpoint, store, settings, random
        self.is_root = False  # the primary controller follows nobody
        self.near_root = settings.machine == "core"  # controllers follow the primary
        self.loop = asyncio.get_running_loop()
        self.parent = ""
        self.controllers: list[str] = list(settings.seeds)
        self.primary = ""
        self.relay = Relay(endpoint, store, self.age_s)
        self.root_at = -1e9  # on the steady clock: the root knew nothing newer than this store then
        self._heard_at = -1e9
        self._tries = 0
        endpoint.on(Changes, self._changed)

    def age_s(self) -> float:
        """How old the store may be, in seconds."""
        return self.loop.time() - self.root_at

    async def run(self) -> None:
        """For ever: follow, watch the parent, change it."""
        while True:
            if self.is_root:
                self.parent = ""
                await asyncio.sleep(BEAT_S)
                continue
            now = self.loop.time()
            lost = not self.parent or now - self._heard_at > SILENT_S
            if lost or self.age_s() > OLD_S and self.random.random() < LOOK_SHARE:
                await self._attach(lost)
            link = self.endpoint.linked(self.parent) if self.parent else None
            if link:
                link.send(StillThere(int(self.loop.time() * 1000)))
            await asyncio.sleep(BEAT_S if self.parent else RETRY_S)

    def candidates(self) -> list[str]:
        """Whom to follow, the best first: the place in the order tells, then the controllers by chance."""
        own = self.settings.address
        if self.near_root and self.primary and self.primary != own:
            return [self.primary, *(r for r in self.controllers if r not in (own, self.primary))]
        roots = [r for r in self.controllers if r != own]
        others = [r for r in roots if r != self.primary] or roots
        order = sorted(
            (zlib.crc32(name.encode()), member["address"])
            for name, member in self.store.named("member").items()
            if member["role"] == "front"
        )
        places = [address for _, address in order]
        best: list[str] = []
        if others:
            chance = zlib.crc32(self.settings.node.encode()) % len(others)
            place = places.index(own) if own in places else chance
            direct = FAN_OUT * len(others)
            up = others[place % len(others)] if place < direct else places[(place - direct) // FAN_OUT]
            best = [up] if up != own else []
        rest = [r for r in dict.fromkeys([*roots, *(s for s in self.settings.seeds if s != own)]) if r not in best]
        self.random.shuffle(rest)
        return [*best, *rest]

    async def _attach(self, lost: bool) -> None:
        """Follow the next one of the candidates. Danger: a parent that answers and is itself cut off tells an age that
        is always a little less than one's own; while it is followed only a clearly better one counts."""
        candidates = [c for c in self.candidates() if lost or c != self.parent]
        if not candidates:
            return
        start, self._tries = self._tries, self._tries + 1
        address = candidates[start % len(candidates)]
        asked = self.loop.time()
        reply = await self.endpoint.call(address, Follow(self.settings.node, self.store.digests), CALL_S)
        if not isinstance(reply, Changes):
            if address == self.parent:
                self.parent = ""
            return
        if not lost and reply.age_ms / 1000 > self.age_s() - BETTER_S:
            return
        if address != self.parent:
            log("parent", node=self.settings.node, address=address, rev=reply.rev, age_ms=reply.age_ms)
        self.parent, self._tries = address, 0
        self._take(reply, asked)
        await self._follow_up(address, reply)

    async def _follow_up(self, address: str, reply: Changes) -> None:
        """The parent tells what differs in pieces: ask on, from what is here by then. Each answer brings ranges of keys
        that hadn't come before, so it ends; a parent that is behind or changes all the time is asked again later."""
        for _ in range(RANGES):
            if not reply.ranges or self.store.equals(reply.digest, reply.collected) or self.parent != address:
                return
            asked, told = self.loop.time(), reply.ranges
            answer = await self.endpoint.call(address, Follow(self.settings.node, self.store.digests), CALL_S)
            if not isinstance(answer, Changes) or answer.ranges == told:
                return
            reply = answer
            self._take(reply, asked)

    async def _changed(self, link: Link, changes: Changes) -> None:
        if link.address == self.parent:
            self._take(changes, changes.asked_ms / 1000 if changes.asked_ms else None)

    def _take(self, changes: Changes, asked: float | None) -> None:
        self._heard_at = self.loop.time()
        taken = self.store.replace_ranges(changes.ranges, changes.items, changes.collected)
        if self.store.equals(changes.digest, changes.collected):
            if asked is not None:
                self.root_at = max(self.root_at, asked - changes.age_ms / 1000)
        elif not changes.items and changes.rev >= self.store.rev:
            self.parent = ""  # something was missed: ask anew, by digests
        self.relay.publish(taken)
        core = self.store.get("core")
        if core:
            self.controllers, self.primary = list(core["registrars"]), core["primary"]
