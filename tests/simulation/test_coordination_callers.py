"""Callers and checkers of coordination against an in-memory service that is correct or has one fault."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from typing import Any

import pytest

from otterreach.runtime.http import Reply
from otterreach.simulation.coordination_client import WireFaults
from otterreach.simulation.coordination_history import Rule
from otterreach.simulation.coordination_population import PopulationSetup
from tests.simulation.fake_coordination import FakeCoordination, Group, LockState, reply, run_callers

SEEDS_OF_CORRECT_SERVICE = 8
SEEDS = 6
SETUP = PopulationSetup(locks=1, groups=1, faults=WireFaults(0.05, 0.05))
SETUP_WITHOUT_LOSSES = replace(SETUP, locks=2, faults=WireFaults())


class HoldEndsEarly(FakeCoordination):
    def expiry(self, hold_ms: int) -> float:
        return super().expiry(hold_ms) - 0.4 * hold_ms / 1000


class HeldLockIsGranted(FakeCoordination):
    def is_held(self, held: LockState) -> bool:
        return False


class FenceWrapsAround(FakeCoordination):
    def next_fence(self, lock: str) -> int:
        return super().next_fence(lock) % 5 + 1


class NextHolderGetsSameFence(FakeCoordination):
    def next_fence(self, lock: str) -> int:
        return max(1, self.fence)


class AnyReleaseEndsAnyHold(FakeCoordination):
    def release(self, lock: str, body: dict[str, Any]) -> Reply:
        self.locks.pop(lock, None)
        return reply(200)


class LostHoldIsRenewed(FakeCoordination):
    def renew(self, lock: str, body: dict[str, Any]) -> Reply:
        return reply(200)


class ReleasedHoldIsRenewed(FakeCoordination):
    def renew(self, lock: str, body: dict[str, Any]) -> Reply:
        held = self.locks.get(lock)
        mine = held is not None and (held.owner, held.fence) == (body["owner"], body["fence"])
        return reply(200) if mine else Reply(409)


class RenewalIsRefused(FakeCoordination):
    def renew(self, lock: str, body: dict[str, Any]) -> Reply:
        return Reply(409)


class ReleaseDoesNothing(FakeCoordination):
    def release(self, lock: str, body: dict[str, Any]) -> Reply:
        return reply(200)


class LockStaysHeld(FakeCoordination):
    def expiry(self, hold_ms: int) -> float:
        return super().expiry(hold_ms) + 5.0


class NumberIsReturnedTwice(FakeCoordination):
    def next_number(self, name: str) -> Reply:
        if self.numbers.get(name, 0) == 7:
            self.numbers[name] -= 1
        return super().next_number(name)


class RevisionIsAssignedTwice(FakeCoordination):
    def next_revision(self, group: Group) -> int:
        return group.revision + 1 if group.revision % 5 else max(1, group.revision)


class ExpectationIsIgnored(FakeCoordination):
    def put(self, key: str, body: dict[str, Any]) -> Reply:
        group = self.group(key.partition(".")[0] + ".")
        revision = group.cells.get(key, ("", 0))[1]
        known = body["value"] in self.puts
        return super().put(key, body if known else body | {"expect": revision})


class RepeatedPutIsNotRecognized(FakeCoordination):
    def apply_put(self, group: Group, key: str, value: str) -> int:
        revision = super().apply_put(group, key, value)
        del self.puts[value]
        return revision


class RejectedPutIsApplied(FakeCoordination):
    def put(self, key: str, body: dict[str, Any]) -> Reply:
        answer = super().put(key, body)
        if answer.status == 412:
            self.apply_put(self.group(key.partition(".")[0] + "."), key, body["value"])
        return answer


class UnavailableAfterAccept(FakeCoordination):
    def put(self, key: str, body: dict[str, Any]) -> Reply:
        first = body["value"] not in self.puts
        answer = super().put(key, body)
        lost = first and answer.status == 200 and int(body["value"], 16) % 4 == 0
        if lost:
            del self.puts[body["value"]]
        return Reply(503) if lost else answer


class RejectionNamesNoRevisionOfTheKey(FakeCoordination):
    def put(self, key: str, body: dict[str, Any]) -> Reply:
        answer = super().put(key, body)
        return reply(412, rev=self.group(key.partition(".")[0] + ".").revision + 3) if answer.status == 412 else answer


class ReadIsStale(FakeCoordination):
    def read(self, key: str) -> Reply:
        events = [event for event in self.group(key.partition(".")[0] + ".").events if event[1] == key]
        old = events[-2] if len(events) > 1 and len(events) % 3 == 0 else None
        return reply(200, value=old[2], rev=old[3]) if old else super().read(key)


class ReadShowsAnotherKey(FakeCoordination):
    def read(self, key: str) -> Reply:
        cells = self.group(key.partition(".")[0] + ".").cells
        other = next((cell for name, cell in cells.items() if name != key), None)
        return reply(200, value=other[0], rev=other[1]) if other else super().read(key)


class ReadShowsAnotherRevision(FakeCoordination):
    def read(self, key: str) -> Reply:
        cell = self.group(key.partition(".")[0] + ".").cells.get(key)
        return reply(200, value=cell[0], rev=cell[1] + 1) if cell else Reply(404)


class WatchSkips(FakeCoordination):
    def events_after(self, group: Group, past: int) -> list[dict[str, Any]]:
        return [event for event in super().events_after(group, past) if event["rev"] % 7]


class WatchEventsDecrease(FakeCoordination):
    def events_after(self, group: Group, past: int) -> list[dict[str, Any]]:
        return list(reversed(super().events_after(group, past)))


class WatchRepeatsEvent(FakeCoordination):
    def events_after(self, group: Group, past: int) -> list[dict[str, Any]]:
        events = super().events_after(group, past)
        return [*events, *events[-1:]]


class WatchShowsPutsThatWereNotApplied(FakeCoordination):
    def events_after(self, group: Group, past: int) -> list[dict[str, Any]]:
        events = super().events_after(group, past)
        invented = {"name": "g0.k0", "value": "0" * 16, "rev": group.revision}
        return events if group.revision % 5 else [*events[:-1], invented]


class WatchIsStale(FakeCoordination):
    async def watch(self, name: str, past: int, wait_s: float) -> Reply:
        await asyncio.sleep(wait_s / 2)
        return reply(200, events=[], rev=past or self.group(name).revision)


class HistoryIsTrimmedByCount(FakeCoordination):
    def is_compacted(self, group: Group, past: int) -> bool:
        return past < group.revision - 5


class WatchIsNotNotified(FakeCoordination):
    async def watch(self, name: str, past: int, wait_s: float) -> Reply:
        if past:
            await asyncio.sleep(wait_s)
        return await super().watch(name, past, 0.0)


class NumbersAreSlow(FakeCoordination):
    async def handle(self, request: Any) -> Reply:
        if request.target.startswith(b"/numbers") and self.loop.time() > 1010.0:
            await asyncio.sleep(2.0)
        return await super().handle(request)


class NoSuchResource(FakeCoordination):
    async def handle(self, request: Any) -> Reply:
        return Reply(404) if request.target.startswith(b"/numbers") else await super().handle(request)


class EmptyAnswers(FakeCoordination):
    def next_number(self, name: str) -> Reply:
        return Reply(200)


class AuditOfLocksTimesOut(FakeCoordination):
    """The acquires of the final audit are not answered in time."""

    async def handle(self, request: Any) -> Reply:
        if b"auditor" in request.body:
            await asyncio.sleep(2.0)
        return await super().handle(request)


FAULTY = {
    HoldEndsEarly: {Rule.ONE},
    HeldLockIsGranted: {Rule.ONE},
    FenceWrapsAround: {Rule.ONE},
    NextHolderGetsSameFence: {Rule.ONE},
    AnyReleaseEndsAnyHold: {Rule.ONE},
    LostHoldIsRenewed: {Rule.ONE},
    ReleasedHoldIsRenewed: {Rule.ONE},
    RenewalIsRefused: {Rule.PROTOCOL},
    ReleaseDoesNothing: {Rule.PROMPT},
    LockStaysHeld: {Rule.PROMPT},
    NumberIsReturnedTwice: {Rule.ORDER},
    RevisionIsAssignedTwice: {Rule.ORDER},
    ExpectationIsIgnored: {Rule.ORDER},
    RepeatedPutIsNotRecognized: {Rule.REFUSED},
    RejectedPutIsApplied: {Rule.REFUSED},
    UnavailableAfterAccept: {Rule.REFUSED},
    RejectionNamesNoRevisionOfTheKey: {Rule.MIXED},
    ReadIsStale: {Rule.STALE, Rule.LINEARIZABLE},
    ReadShowsAnotherKey: {Rule.MIXED},
    ReadShowsAnotherRevision: {Rule.MIXED},
    WatchSkips: {Rule.ORDER},
    WatchEventsDecrease: {Rule.ORDER},
    WatchRepeatsEvent: {Rule.ORDER},
    WatchShowsPutsThatWereNotApplied: {Rule.MIXED},
    WatchIsStale: {Rule.STALE},
    HistoryIsTrimmedByCount: {Rule.LOST},
    WatchIsNotNotified: {Rule.PROMPT},
    NumbersAreSlow: {Rule.PROMPT, Rule.LOST},
    NoSuchResource: {Rule.PROTOCOL},
    EmptyAnswers: {Rule.PROTOCOL},
    AuditOfLocksTimesOut: {Rule.LOST},
}


@pytest.mark.parametrize("seed", range(SEEDS_OF_CORRECT_SERVICE))
def test_correct_service_breaks_no_rule(seed: int) -> None:
    assert run_callers(FakeCoordination, seed, PopulationSetup.draw(Random(seed))) == []


@pytest.mark.parametrize("faulty", FAULTY, ids=lambda one: one.__name__)
def test_faulty_service_breaks_rule_of_its_fault(faulty: type[FakeCoordination]) -> None:
    missing = set(FAULTY[faulty])
    for seed in range(SEEDS):
        setup = SETUP if seed % 2 else SETUP_WITHOUT_LOSSES
        missing -= {violation.rule for violation in run_callers(faulty, seed, setup)}
        if not missing:
            return
    pytest.fail(f"rules not reported as violated in {SEEDS} seeds: {missing}")


def test_run_is_deterministic() -> None:
    lossy = replace(SETUP, faults=WireFaults(0.3, 0.1))
    assert run_callers(ReadIsStale, 1, lossy) == run_callers(ReadIsStale, 1, lossy)
