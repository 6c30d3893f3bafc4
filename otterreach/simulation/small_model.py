"""A model of a few controllers, in which each message, sync, timer and fault is an event that a search orders freely.

The controllers are the real ones (otterreach.controller). Each event affects one member only, so two orders of events
that give every member the same history lead to the same state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from otterreach.controller.epochs import ControllerInfo, EpochConfiguration
from otterreach.controller.formation import MembershipChange
from otterreach.controller.journal_records import JournalKind
from otterreach.controller.local_replica import Mode
from otterreach.controller.messages import Accept, AppendItems
from otterreach.controller.replication import ControlReplication
from otterreach.runtime.codec import encode
from otterreach.runtime.codes import Code, Failure
from otterreach.simulation.small_checks import Checks
from otterreach.simulation.small_parts import FIRST_ITEM, MAX_GRACE_S, Bounds, Call, Event, Member, Message, StepLoop
from otterreach.simulation.world import InvariantViolationError


class Model:
    """One run: `network`, `timers` and `others` list the possible events; `step` executes one and checks invariants.

    It has more than 20 methods, as each kind of event is one.
    """

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.checks = Checks()
        self.loop = StepLoop()
        self.loop.set_exception_handler(self._unhandled)
        self.in_flight: list[Message] = []
        self.calls: list[Call] = []
        self.order: list[Event] = []  # pending messages and syncs, oldest first
        self.used: dict[str, int] = {}
        self.cut: dict[str, str] = {}  # partitioned member -> direction: "in", "out" or "both"
        self.members = [Member(self, n) for n in range(bounds.members)]
        self._start()

    def _start(self) -> None:
        """Start in epoch 1: all found its configuration on disk, its members the first item; the primary is serving."""
        infos = [ControllerInfo(f"id{m.number}", m.name, m.settings.address, m.settings.zone) for m in self.members]
        record = EpochConfiguration(1, "id0", [f"id{n + 1}" for n in range(self.bounds.survive)], infos)
        for member in self.members:
            member.disk = [
                (JournalKind.IDENTITY, f"id{member.number} 0".encode()),
                (JournalKind.CONFIGURATION, encode(Accept([record]))),
            ]
            if f"id{member.number}" in record.members:
                member.disk.append((JournalKind.ITEMS, encode(AppendItems(1, [FIRST_ITEM]))))
            member.begin()
        first = self.members[0]
        first.run(first.control.become_primary, [FIRST_ITEM])
        self.checks.states(self.members)

    @property
    def failure(self) -> InvariantViolationError | None:
        """The first violated invariant, if any."""
        return self.checks.failure

    def end(self) -> None:
        """Drop the remaining tasks without warnings."""
        self.loop.over = True
        for member in self.members:
            for task in member.tasks:
                task._log_destroy_pending = False  # type: ignore[attr-defined]

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        if not self.loop.over:
            self.checks.expect(False, "unhandled", f"{context.get('message')}: {context.get('exception')!r}")

    def at(self, address: str) -> Member:
        """Return the member that listens at this address."""
        return next(m for m in self.members if m.settings.address == address)

    # Messages ------------------------------------------------------------------------------------

    def _send(self, call: Call, sender: Member, channel: tuple[str, ...], deliver: Callable[[], None]) -> None:
        sender.sent += 1
        message = Message(f"{sender.name}.{sender.sent}", channel, deliver, call)
        self.in_flight.append(message)
        self.order.append(("deliver", message.ident))

    def request(self, call: Call, value: Any) -> None:
        """Send a request: it becomes a message of the model."""
        caller = call.caller
        target = call.target
        caller.note("calls", target.name, target.incarnation)
        self.calls.append(call)
        number = str(caller.connection.get(target.name, 0))
        channel = (caller.name, str(call.caller_incarnation), target.name, str(call.target_incarnation), number)
        self._send(call, caller, ("to", *channel), lambda: target.run(self._serve, call, value, channel))

    def _serve(self, call: Call, value: Any, channel: tuple[str, ...]) -> None:
        spawn(self._answer(call, value, channel))

    async def _answer(self, call: Call, value: Any, channel: tuple[str, ...]) -> None:
        target = call.target
        handler = target.control.endpoint.handlers[type(value)]
        no_link: Any = None
        reply = await handler(no_link, value)
        self.checks.reply(target, value, reply)
        self._send(call, target, ("back", *channel), lambda: self._deliver_reply(call, reply))

    def _deliver_reply(self, call: Call, reply: Any) -> None:
        if call in self.calls:
            self.calls.remove(call)
        call.caller.run(_resolve, call.future, reply)

    # Events --------------------------------------------------------------------------------------

    def network(self) -> list[Event]:
        """Return the messages that can arrive and the syncs that can complete, oldest first."""
        heads: dict[tuple[str, ...], str] = {}
        for message in self.in_flight:
            heads.setdefault(message.channel, message.ident)
        first = {ident for channel, ident in heads.items() if not self._is_cut(channel)}
        return [event for event in self.order if event[0] == "sync" or event[1] in first]

    def _is_cut(self, channel: tuple[str, ...]) -> bool:
        """Return True if a network partition blocks this channel."""
        if channel[0] == "closed":
            return False
        sender, receiver = (channel[1], channel[3]) if channel[0] == "to" else (channel[3], channel[1])
        return self.cut.get(sender, "") in ("out", "both") or self.cut.get(receiver, "") in ("in", "both")

    def timers(self) -> list[Event]:
        """Return the timers that may fire: the first due one of each member."""
        events: list[Event] = []
        for member in self.members:
            timer = member.due()
            if timer is None:
                continue
            short = timer.when() - member.clock <= MAX_GRACE_S
            if short or self._may("time_out", self.bounds.time_outs):
                events.append(("grace" if short else "time_out", member.name))
        return events

    def others(self) -> list[Event]:
        """Return the events of clients and faults that are possible within the bounds."""
        events: list[Event] = []
        for member in self.members:
            events += self._member_events(member)
        return events

    def _may(self, kind: str, most: int) -> bool:
        return self.used.get(kind, 0) < most

    def _member_events(self, member: Member) -> list[Event]:
        bounds = self.bounds
        control = member.control
        events = list[Event]()
        if control.is_primary and self._may("write", bounds.writes):
            events.append(("write", member.name))
        if control.is_primary and self._may("read", bounds.reads):
            events.append(("read", member.name))
        may_stand = (
            control.mode in (Mode.FOLLOWING, Mode.PRIMARY)
            and control.election.is_eligible()
            and not control.election.in_progress
        )
        if may_stand and self._may("elect", bounds.elections):
            events.append(("elect", member.name))
        if control.is_primary and not control.election.in_progress and self._may("reform", bounds.reforms):
            events += [("reform", member.name, m.name) for m in self.members if m.control.accepted is None]
        if member.name in self.cut:
            events.append(("heal", member.name))
        elif self._may("cut", bounds.cuts):
            events += [("cut", member.name, way) for way in ("in", "out", "both")]
        if self._may("crash", bounds.crashes):
            events.append(("crash", member.name, "lost"))
            if member.journal.batch:
                events.append(("crash", member.name, "kept"))
        if self._may("wipe", bounds.wipes):
            events.append(("wipe", member.name))
        return events

    def step(self, event: Event) -> None:
        """Execute one event, then check all invariants."""
        kind = event[0]
        name = event[1]
        if kind in ("deliver", "sync"):
            skipped = [e for e in self.network() if e != event and self.order.index(e) < self.order.index(event)]
            self.order = [e for e in self.order if e != event and e not in skipped] + skipped
        else:
            self.used[kind] = self.used.get(kind, 0) + 1
        if kind == "deliver":
            self._deliver(name)
        else:
            member = next(m for m in self.members if m.name == name)
            member.note(*event, *(sorted(self.checks.seen.acked.items()) if kind == "read" else ()))
            getattr(self, f"_do_{kind}")(member, *event[2:])
        self.checks.states(self.members)

    def _deliver(self, ident: str) -> None:
        message = next(m for m in self.in_flight if m.ident == ident)
        self.in_flight.remove(message)
        receiver = message.call.target if message.channel[0] == "to" else message.call.caller
        receiver.note("deliver", ident)
        message.deliver()

    def _do_sync(self, member: Member) -> None:
        member.run(member.journal.synced)

    def _do_grace(self, member: Member) -> None:
        timer = member.due()
        assert timer is not None
        member.fire(timer)

    _do_time_out = _do_grace

    def _do_write(self, member: Member) -> None:
        member.run(self._write, member.control, self.used["write"])

    def _write(self, control: ControlReplication, number: int) -> None:
        done = control.propose([("config", str(number).encode())])
        revision = control.state.items["config"].revision
        done.add_done_callback(
            lambda future: self._record_acknowledgement("config", revision) if future.result() else None
        )

    def _record_acknowledgement(self, key: str, revision: int) -> None:
        self.checks.seen.acked[key] = max(revision, self.checks.seen.acked.get(key, 0))

    def _do_read(self, member: Member) -> None:
        member.run(lambda: spawn(self._read(member.control, dict(self.checks.seen.acked))))

    async def _read(self, control: ControlReplication, acked: dict[str, int]) -> None:
        if not await control.confirm_leadership():
            return
        for key, revision in acked.items():
            item = control.follower.store.items.get(key)
            found = item.revision if item else 0
            self.checks.expect(
                found >= revision,
                "stale read",
                f"{key} {found:x} at {control.id}, {revision:x} was acknowledged before",
            )

    def _do_elect(self, member: Member) -> None:
        member.run(lambda: spawn(member.control.election.run()))

    def _do_reform(self, member: Member, joiner: str) -> None:
        """Add a member as the primary does after a join request; a witness at its address (its old disk) is dropped."""
        new = next(m for m in self.members if m.name == joiner).control.replica.controller_info
        record = member.control.accepted
        assert record is not None
        drop = frozenset(w.id for w in record.witnesses if w.address == new.address)
        change = MembershipChange(drop, (new,))
        member.run(lambda: spawn(member.control.election.run(change)))

    def _do_cut(self, member: Member, way: str) -> None:
        self.cut[member.name] = way

    def _do_heal(self, member: Member) -> None:
        del self.cut[member.name]

    def _do_crash(self, member: Member, unsynced: str) -> None:
        if unsynced == "kept":
            member.disk += member.journal.batch
        self._end_incarnation(member)
        member.begin()

    def _do_wipe(self, member: Member) -> None:
        self._end_incarnation(member)
        member.disk = []
        member.begin()

    def _end_incarnation(self, member: Member) -> None:
        """End an incarnation: its connections close, pending callers are notified, and messages to it are lost."""
        member.kill()
        name = member.name
        self.order = [e for e in self.order if e != ("sync", name)]
        for call in [c for c in self.calls if c.target is member or c.caller is member]:
            self.calls.remove(call)
            arriving = [m for m in self.in_flight if m.call is call and m.channel[0] == "to"]
            if call.target is member:
                self._drop(arriving)
                if call.caller is not member and not any(m.call is call for m in self.in_flight):
                    closed = Failure(Code.CLOSED, "connection closed")
                    self._send(
                        call, member, ("closed", f"{member.name}.{member.sent}"), self._close_reply(call, closed)
                    )
            else:
                self._drop([m for m in self.in_flight if m.call is call and m.channel[0] == "back"])

    def _close_reply(self, call: Call, closed: Failure) -> Callable[[], None]:
        return lambda: self._deliver_reply(call, closed)

    def _drop(self, messages: list[Message]) -> None:
        for message in messages:
            self.in_flight.remove(message)
            self.order.remove(("deliver", message.ident))

    def key(self, ordered: bool) -> Any:
        """Return the state as a key: the histories of all members, the partitions and, if `ordered`, pending events."""
        histories = tuple(m.history for m in self.members)
        cuts = tuple(sorted(self.cut.items()))
        return (histories, cuts, tuple(self.order)) if ordered else (histories, cuts)


def spawn(work: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine as a task, which is referenced by the member that runs it."""
    asyncio.ensure_future(work)  # noqa: RUF006


def _resolve(future: asyncio.Future[Any], value: Any) -> None:
    if not future.done():
        future.set_result(value)
