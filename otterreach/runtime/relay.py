"""The relay tree by which changes of the control state reach every process.

Each process follows one parent: it sends its digests, gets what differs, then every change as it comes. It probes the
parent again and again for how old the parent's own state is; the age counts from when the probe was sent, on the
child's clock, so that a delayed answer doesn't pass for a newer one. A parent that falls silent, or whose state is
older than others', is left for another. The roots are the controllers; a process's position in the order of the members
tells whom to follow, so nobody has to plan the tree.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from otterreach.runtime.codec import Request, message
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.log import log
from otterreach.runtime.records import CoreRecord, MemberRecord, MemberRole
from otterreach.runtime.repeated_work import RepeatedWork
from otterreach.runtime.rpc import Endpoint, Link
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import RANGES, Item, ReplicatedStore

PROBE_INTERVAL_S = 0.2
PARENT_TIMEOUT_S = 0.65  # a parent that is silent for so long is left
MAX_AGE_S = 1.0  # state older than this makes a child look for a better parent
MIN_GAIN_S = 0.3  # how much newer another's state must be to change to it
SEARCH_SHARE = 0.5  # of the probes at which a child with old state looks for a parent: not all children at once
FAN_OUT = 8
CALL_TIMEOUT_S = 0.6
CHUNK_BYTES = 64 * 1024  # of differences in one answer to Follow; the child asks again until it has all
RETRY_S = 0.1
UNKNOWN_AGE_MS = 10**9
NEVER_S = -1e9  # on the monotonic clock
STARTING_AGE_S = 4 * MAX_AGE_S  # a process without any state answers no child while its age is above this


@message(11)
@dataclass(slots=True)
class Changes:
    """A parent to its child: items that differ or have changed. `age_ms`: for so long the root may have known more."""

    age_ms: int
    revision: int
    items: list[Item]
    digest: int  # over all that the parent has
    probe_sent_ms: int = 0  # of the FreshnessProbe that this answers, by the child's clock
    collected_up_to: int = 0  # the parent has dropped tombstones up to this revision
    ranges: list[int] = field(default_factory=list)  # of keys: all that the parent has in them is among the items


@message(10)
@dataclass(slots=True)
class Follow(Request[Changes]):
    """A child to its parent: send a chunk of what differs from these digests, and every change from now on."""

    node: str
    digests: list[int]


@message(16)
@dataclass(slots=True)
class FreshnessProbe:
    """A child to its parent, one way: answered at once by Changes without items."""

    sent_ms: int


@message(13)
@dataclass(slots=True)
class RootsReply:
    """Where the controllers are."""

    primary: str  # its internal address; empty if there is none
    controllers: list[str]


@message(12)
@dataclass(slots=True)
class RootsRequest(Request[RootsReply]):
    """Not sent by this version; the number stays taken."""

    node: str


class Relay:
    """The parent's side: the children, and what they are sent. Every process has one."""

    def __init__(self, endpoint: Endpoint, store: ReplicatedStore, age_s: Callable[[], float]) -> None:
        self.endpoint = endpoint
        self.store = store
        self.age_s = age_s
        self.children: dict[Link, str] = {}  # their node names
        endpoint.on(Follow, self.handle_follow)
        endpoint.on(FreshnessProbe, self.handle_probe)

    async def handle_probe(self, link: Link, probe: FreshnessProbe) -> None:
        """Tell a child how old the state here is."""
        if link in self.children:
            link.send(self._changes([], probe.sent_ms))

    async def handle_follow(self, link: Link, request: Follow) -> Changes | Failure:
        """Take a child on, or send one that is there already the next chunk of what it lacks."""
        if self.age_s() > STARTING_AGE_S and not self.store.items:
            return Failure(Code.NOT_SYNCED, "nothing known yet")
        link.peer = request.node
        if link not in self.children:
            self.children[link] = request.node
            link.on_close.append(self._remove_child)
        differing = self.store.differing_ranges(request.digests)
        ranges = next(self.store.chunks(differing, CHUNK_BYTES), [])
        return self._changes(self.store.in_ranges(ranges), ranges=ranges)

    def _remove_child(self, link: Link) -> None:
        self.children.pop(link, None)

    def _changes(self, items: list[Item], probe_sent_ms: int = 0, ranges: list[int] | None = None) -> Changes:
        store = self.store
        return Changes(
            age_ms=min(int(self.age_s() * 1000) + 1, UNKNOWN_AGE_MS),
            revision=store.revision,
            items=items,
            digest=store.digest,
            probe_sent_ms=probe_sent_ms,
            collected_up_to=store.collected_up_to,
            ranges=ranges or [],
        )

    def publish(self, items: list[Item]) -> None:
        """Send the children what has just been applied here."""
        if items:
            changes = self._changes(items)
            for link in list(self.children):
                link.send(changes)


class Follower:
    """The child's side: finds a parent, keeps the store as new as the parent's, passes changes on to its children."""

    def __init__(self, endpoint: Endpoint, store: ReplicatedStore, settings: Settings, random: Random) -> None:
        self.endpoint = endpoint
        self.store = store
        self.settings = settings
        self.random = random
        self.is_root = False  # the primary controller follows nobody
        self.follows_primary = settings.machine == MemberRole.CONTROLLER
        self.loop = asyncio.get_running_loop()
        self.parent = ""  # its address; empty while there is none
        self.controllers: list[str] = list(settings.seeds)
        self.primary = ""
        self.relay = Relay(endpoint, store, self.age_s)
        self.fresh_at = NEVER_S  # on the monotonic clock: at that time the root knew nothing newer than this store
        self._last_message_at = NEVER_S  # from the parent
        self.attachments = RepeatedWork("attach_to_parent")
        self._attempts = 0  # to attach, since the last success
        endpoint.on(Changes, self.handle_changes)

    def age_s(self) -> float:
        """How old the store may be, in seconds."""
        return self.loop.time() - self.fresh_at

    async def run(self) -> None:
        """Follow, probe the parent, replace it; for ever."""
        while True:
            if self.is_root:
                self.parent = ""
                await asyncio.sleep(PROBE_INTERVAL_S)
                continue
            parent_lost = not self.parent or self.loop.time() - self._last_message_at > PARENT_TIMEOUT_S
            if parent_lost or self.age_s() > MAX_AGE_S and self.random.random() < SEARCH_SHARE:
                await self._attach(parent_lost)
            link = self.endpoint.linked(self.parent) if self.parent else None
            if link:
                link.send(FreshnessProbe(int(self.loop.time() * 1000)))
            await asyncio.sleep(PROBE_INTERVAL_S if self.parent else RETRY_S)

    # The parent ----------------------------------------------------------------------------------

    def candidates(self) -> list[str]:
        """The addresses to follow, best first: the one by the order of the members, then the roots in random order."""
        own_address = self.settings.address
        if self.follows_primary and self.primary and self.primary != own_address:
            return [self.primary, *(root for root in self.controllers if root not in (own_address, self.primary))]
        roots = [root for root in self.controllers if root != own_address]
        best = self._parent_by_order(roots)
        seeds = [seed for seed in self.settings.seeds if seed != own_address]
        rest = [address for address in dict.fromkeys([*roots, *seeds]) if address not in best]
        self.random.shuffle(rest)
        return [*best, *rest]

    def _parent_by_order(self, roots: list[str]) -> list[str]:
        """The parent in a tree over the proxies in hash order: the first ones follow roots, others a proxy before."""
        own_address = self.settings.address
        backup_roots = [root for root in roots if root != self.primary] or roots
        if not backup_roots:
            return []
        order = self._proxies_in_hash_order()
        index = (
            order.index(own_address)
            if own_address in order
            else zlib.crc32(self.settings.node.encode()) % len(backup_roots)
        )
        followers_of_roots = FAN_OUT * len(backup_roots)
        if index < followers_of_roots:
            parent = backup_roots[index % len(backup_roots)]
        else:
            parent = order[(index - followers_of_roots) // FAN_OUT]
        return [parent] if parent != own_address else []

    def _proxies_in_hash_order(self) -> list[str]:
        members = self.store.records(MemberRecord)
        proxies = [
            (zlib.crc32(node.encode()), member.address)
            for node, member in members.items()
            if member.role == MemberRole.PROXY
        ]
        return [address for _, address in sorted(proxies)]

    async def _attach(self, parent_lost: bool) -> None:
        """Follow the next of the candidates.

        Danger: a parent that answers and is itself disconnected tells an age that is always a little less than one's
        own; while it is followed only a clearly better one counts.
        """
        candidates = [address for address in self.candidates() if parent_lost or address != self.parent]
        if not candidates:
            return
        address = candidates[self._attempts % len(candidates)]
        self._attempts += 1
        asked_at = self.loop.time()
        self.attachments.note(self.settings.node, self.fresh_at)
        reply = await self.endpoint.call(address, Follow(self.settings.node, self.store.digests), CALL_TIMEOUT_S)
        if isinstance(reply, Failure):
            if address == self.parent:
                self.parent = ""
            return
        if not parent_lost and reply.age_ms / 1000 > self.age_s() - MIN_GAIN_S:
            return
        if address != self.parent:
            log("parent", node=self.settings.node, address=address, revision=reply.revision, age_ms=reply.age_ms)
        self.parent = address
        self._attempts = 0
        self._apply(reply, asked_at)
        await self._fetch_rest(address, reply)

    async def _fetch_rest(self, address: str, reply: Changes) -> None:
        """Ask on, from what is here by then: the parent sends what differs in chunks.

        Each answer brings ranges of keys that hadn't come before, so it ends; a parent that is behind or changes all
        the time is asked again later.
        """
        for _ in range(RANGES):
            complete = not reply.ranges or self.store.matches(reply.digest, reply.collected_up_to)
            if complete or self.parent != address:
                return
            asked_at = self.loop.time()
            former_ranges = reply.ranges
            answer = await self.endpoint.call(address, Follow(self.settings.node, self.store.digests), CALL_TIMEOUT_S)
            if isinstance(answer, Failure) or answer.ranges == former_ranges:
                return
            reply = answer
            self._apply(reply, asked_at)

    # Changes -------------------------------------------------------------------------------------

    async def handle_changes(self, link: Link, changes: Changes) -> None:
        """Changes from the parent, or its answer to a probe."""
        if link.address == self.parent:
            self._apply(changes, changes.probe_sent_ms / 1000 if changes.probe_sent_ms else None)

    def _apply(self, changes: Changes, asked_at: float | None) -> None:
        """Apply what the parent has sent. `asked_at`: when it was asked, if it is an answer."""
        self._last_message_at = self.loop.time()
        newer = self.store.replace_ranges(changes.ranges, changes.items, changes.collected_up_to)
        if self.store.matches(changes.digest, changes.collected_up_to):
            if asked_at is not None:
                self.fresh_at = max(self.fresh_at, asked_at - changes.age_ms / 1000)
        elif not changes.items and changes.revision >= self.store.revision:
            self.parent = ""  # something was missed: ask anew, by digests
        self.relay.publish(newer)
        core = self.store.record(CoreRecord)
        if core:
            self.controllers = list(core.controllers)
            self.primary = core.primary
