"""The relay tree that distributes changes of the control state to every process.

Each process follows one parent: it sends its digests, receives the items that differ, and then every change as it
happens. It probes the parent periodically for the age of the parent's own state. The age counts from the time at which
the probe was sent, on the child's clock, so that a delayed answer is not taken for a recent one. A child replaces a
parent that does not answer, or whose state is older than that of other candidates. The roots are the controllers; each
process derives its parent from its position in the order of the members, so that the tree needs no coordinator.
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
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.rpc_link import Link
from otterreach.runtime.settings import Settings
from otterreach.runtime.store import RANGES, Item, ReplicatedStore

PROBE_INTERVAL_S = 0.2
PARENT_TIMEOUT_S = 0.65  # a parent that sends no message for this long is replaced
MAX_AGE_S = 1.0  # a child with state older than this searches for a parent with newer state
MIN_GAIN_S = 0.3  # a candidate replaces a parent that still answers only if its state is newer by at least this
SEARCH_SHARE = 0.5  # probability of a search at each probe while the state is old: children don't search at once
FAN_OUT = 8  # children of each process in the tree
CALL_TIMEOUT_S = 0.6
CHUNK_BYTES = 64 * 1024  # size of the differing items in one answer to Follow; the child sends Follow until it has all
RETRY_S = 0.1
UNKNOWN_AGE_MS = 10**9
NEVER_S = -1e9  # on the monotonic clock, before any time it can show
STARTING_AGE_S = 4 * MAX_AGE_S  # a process without items rejects children while its state is older than this


@message(11)
@dataclass(slots=True)
class Changes:
    """From a parent to its child: items that differ or have changed."""

    age_ms: int  # upper bound of the time for which the root may have had newer items than the parent
    revision: int
    items: list[Item]
    digest: int  # over all items of the parent
    probe_sent_ms: int = 0  # `sent_ms` of the FreshnessProbe that this answers, on the child's clock; 0 if none
    collected_up_to: int = 0  # the parent has dropped tombstones up to this revision
    ranges: list[int] = field(default_factory=list)  # ranges of keys of which `items` has the parent's whole contents


@message(10)
@dataclass(slots=True)
class Follow(Request[Changes]):
    """From a child to its parent: requests a chunk of the items that differ, and every change from now on."""

    node: str
    digests: list[int]  # the child's digest of each range of keys


@message(16)
@dataclass(slots=True)
class FreshnessProbe:
    """From a child to its parent, one way: answered immediately by Changes without items."""

    sent_ms: int


@message(13)
@dataclass(slots=True)
class RootsReply:
    """The addresses of the controllers."""

    primary: str  # internal address of the primary controller; empty if there is none
    controllers: list[str]


@message(12)
@dataclass(slots=True)
class RootsRequest(Request[RootsReply]):
    """A request that this version does not send; its message number stays reserved."""

    node: str


class Relay:
    """The parent's side of the tree: sends changes to the children. Every process has one."""

    def __init__(self, endpoint: Endpoint, store: ReplicatedStore, age_s: Callable[[], float]) -> None:
        self.endpoint = endpoint
        self.store = store
        self.age_s = age_s
        self.children: dict[Link, str] = {}  # node names by connection
        endpoint.on(Follow, self.handle_follow)
        endpoint.on(FreshnessProbe, self.handle_probe)

    async def handle_probe(self, link: Link, probe: FreshnessProbe) -> None:
        """Answer a child's probe with the age of the state here."""
        if link in self.children:
            link.send(self._changes([], probe.sent_ms))

    async def handle_follow(self, link: Link, request: Follow) -> Changes | Failure:
        """Add a child, or send a known child the next chunk of the items that differ."""
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
        """Send the children the items that have just been applied here."""
        if items:
            changes = self._changes(items)
            for link in list(self.children):
                link.send(changes)


class Follower:
    """The child's side of the tree: selects a parent, replicates its store and forwards changes to the own children."""

    def __init__(self, endpoint: Endpoint, store: ReplicatedStore, settings: Settings, random: Random) -> None:
        self.endpoint = endpoint
        self.store = store
        self.settings = settings
        self.random = random
        self.is_root = False  # true at the primary controller, which has no parent
        self.prefers_primary = settings.machine == MemberRole.CONTROLLER
        self.loop = asyncio.get_running_loop()
        self.parent = ""  # address of the parent; empty while there is none
        self.controllers: list[str] = list(settings.seeds)
        self.primary = ""
        self.relay = Relay(endpoint, store, self.age_s)
        # On the monotonic clock: the latest time at which the root is known to have had no newer items than this store.
        self.fresh_at = NEVER_S
        self._last_message_at = NEVER_S  # when the parent last sent a message
        self.attachments = RepeatedWork("attach_to_parent")
        self._attempts = 0  # attempts to attach to a parent since the last success
        endpoint.on(Changes, self.handle_changes)

    def age_s(self) -> float:
        """Return the upper bound of the store's age, in seconds."""
        return self.loop.time() - self.fresh_at

    async def run(self) -> None:
        """Select a parent, probe it and replace it when needed; never returns."""
        while True:
            if self.is_root:
                self.parent = ""
                await asyncio.sleep(PROBE_INTERVAL_S)
                continue
            parent_lost = not self.parent or self.loop.time() - self._last_message_at > PARENT_TIMEOUT_S
            if parent_lost or self.age_s() > MAX_AGE_S and self.random.random() < SEARCH_SHARE:
                await self._attach(parent_lost)
            link = self.endpoint.open_link(self.parent) if self.parent else None
            if link:
                link.send(FreshnessProbe(int(self.loop.time() * 1000)))
            await asyncio.sleep(PROBE_INTERVAL_S if self.parent else RETRY_S)

    # The parent ----------------------------------------------------------------------------------

    def candidates(self) -> list[str]:
        """Return the candidate parents, best first: the one by the order of the members, then the roots, shuffled."""
        own_address = self.settings.address
        if self.prefers_primary and self.primary and self.primary != own_address:
            return [self.primary, *(root for root in self.controllers if root not in (own_address, self.primary))]
        roots = [root for root in self.controllers if root != own_address]
        best = self._parent_by_position(roots)
        seeds = [seed for seed in self.settings.seeds if seed != own_address]
        rest = [address for address in dict.fromkeys([*roots, *seeds]) if address not in best]
        self.random.shuffle(rest)
        return [*best, *rest]

    def _parent_by_position(self, roots: list[str]) -> list[str]:
        """Return the parent in a tree over the proxies in hash order.

        The first proxies follow the backup roots, each other one follows a proxy before it. The list is empty if there
        is no root to follow, or the parent would be this process.
        """
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
        """Try to follow the next of the candidates.

        A parent that answers but is itself disconnected always reports an age slightly below the child's own, so that
        it would be selected again and again. While the parent answers, it is therefore not a candidate itself, and
        another one is accepted only if its state is newer by at least MIN_GAIN_S.
        """
        candidates = [address for address in self.candidates() if parent_lost or address != self.parent]
        if not candidates:
            return
        address = candidates[self._attempts % len(candidates)]
        self._attempts += 1
        requested_at = self.loop.time()
        self.attachments.record(self.settings.node, self.fresh_at)
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
        self._apply(reply, requested_at)
        await self._fetch_rest(address, reply)

    async def _fetch_rest(self, address: str, reply: Changes) -> None:
        """Fetch the remaining chunks of differing items, each time with the digests of the items present by then.

        The loop ends once this replica matches the parent's, at an answer with the same ranges of keys as the one
        before, or after RANGES answers. A parent that lags, or whose items change all the time, is queried again
        later.
        """
        for _ in range(RANGES):
            complete = not reply.ranges or self.store.matches(reply.digest, reply.collected_up_to)
            if complete or self.parent != address:
                return
            requested_at = self.loop.time()
            former_ranges = reply.ranges
            answer = await self.endpoint.call(address, Follow(self.settings.node, self.store.digests), CALL_TIMEOUT_S)
            if isinstance(answer, Failure) or answer.ranges == former_ranges:
                return
            reply = answer
            self._apply(reply, requested_at)

    # Changes -------------------------------------------------------------------------------------

    async def handle_changes(self, link: Link, changes: Changes) -> None:
        """Apply changes from the parent, or its answer to a probe; ignore those from other processes."""
        if link.address == self.parent:
            self._apply(changes, changes.probe_sent_ms / 1000 if changes.probe_sent_ms else None)

    def _apply(self, changes: Changes, requested_at: float | None) -> None:
        """Apply changes from the parent.

        :param requested_at: when the request or probe that they answer was sent; None if they are not an answer
        """
        self._last_message_at = self.loop.time()
        newer = self.store.replace_ranges(changes.ranges, changes.items, changes.collected_up_to)
        if self.store.matches(changes.digest, changes.collected_up_to):
            if requested_at is not None:
                self.fresh_at = max(self.fresh_at, requested_at - changes.age_ms / 1000)
        elif not changes.items and changes.revision >= self.store.revision:
            self.parent = ""  # a change was lost: attach again and compare digests
        self.relay.publish(newer)
        core = self.store.record(CoreRecord)
        if core:
            self.controllers = list(core.controllers)
            self.primary = core.primary
