"""Mutation tests: each planted fault makes the test that is named with it fail.

The named tests use the HTTP interface, so callers would observe each of these faults.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import pytest

from otterreach.controller import node
from otterreach.controller.api import coordination_answers, keys, locks, numbers, resource, router
from otterreach.controller.hold_checkpoints import HoldCheckpoints
from otterreach.controller.messages import ApiResponse
from otterreach.controller.receipt_times import ReceiptTimes
from otterreach.controller.replication import ControlReplication
from otterreach.controller.watch_hub import WatchHub
from otterreach.coordination import locks as lock_rules
from otterreach.coordination.history import GroupHistory
from otterreach.coordination.locks import Granted, Hold, Lost, Release, Renew
from otterreach.runtime.store import Item

Patch = Callable[[pytest.MonkeyPatch], None]
PACKAGE = "tests.controller.test_coordination_"
FAR_REVISION = 1_000_000
EARLY_S = 0.1
OLDER_S = 1.0


async def refused_where_unclear(control: Any, changes: Iterable[Any], accepted: ApiResponse) -> ApiResponse:
    if not control.accepts_writes:
        return resource.UNAVAILABLE
    return accepted if await resource.write(control, changes) else resource.UNAVAILABLE


async def accepted_at_once(control: Any, changes: Iterable[Any], accepted: ApiResponse) -> ApiResponse:
    control.propose(changes)
    return accepted


async def without_contact(control: Any, answer: ApiResponse) -> ApiResponse:
    return answer


async def always(control: Any) -> bool:
    return True


def too_old(receipts: ReceiptTimes, item: Item) -> float:
    return receipts.clock() - receipts._observe(item) + OLDER_S


def renew_with_any_token(hold: Hold | None, elapsed_s: float, call: Renew) -> Granted | Lost:
    is_lost = hold is None or hold.owner != call.owner or lock_rules.is_expired(hold, elapsed_s)
    return Lost() if is_lost or hold is None else Granted(replace(hold, hold_ms=call.hold_ms))


def slot_by_count(keys_resource: Any, group: str) -> int | None:
    history: GroupHistory = keys_resource.histories.of(keys_resource.control.state).of(group)
    return history.oldest_slot() if len(history) >= 5 else history.new_slot()


def patch_writes(patch: pytest.MonkeyPatch, after_write: Any) -> None:
    for module in (coordination_answers, keys, locks, numbers):
        if hasattr(module, "after_write"):
            patch.setattr(module, "after_write", after_write)


def ends_with_any_token(hold: Hold | None, call: Release) -> bool:
    return hold is not None and hold.owner == call.owner


FAULTS: dict[str, tuple[Patch, str]] = {
    "503 for a write that may be accepted": (
        lambda patch: patch_writes(patch, refused_where_unclear),
        "promises.PromisesTest.test_a_put_answered_503_never_shows_up_and_one_answered_200_always_does",
    ),
    "503 for a call that took too long": (
        lambda patch: patch.setattr(router, "OUTCOME_UNKNOWN", resource.UNAVAILABLE),
        "promises.PromisesTest.test_a_put_answered_503_never_shows_up_and_one_answered_200_always_does",
    ),
    "a write is accepted before all members have it": (
        lambda patch: patch_writes(patch, accepted_at_once),
        "power.PowerTest.test_counts_go_on_after_a_loss_of_all_power",
    ),
    "a read without contact": (
        lambda patch: patch.setattr(keys, "after_commit", without_contact),
        "frozen.FrozenPrimaryTest.test_a_primary_that_thaws_accepts_nothing_beside_the_next",
    ),
    "a watch without contact": (
        lambda patch: patch.setattr(ControlReplication, "confirm_leadership", always),
        "frozen.FrozenPrimaryTest.test_a_primary_that_thaws_accepts_nothing_beside_the_next",
    ),
    "a hold ends too early": (
        lambda patch: patch.setattr(lock_rules, "is_expired", lambda hold, s: s >= hold.hold_ms / 1000 - EARLY_S),
        "locks.LocksTest.test_a_renewed_lock_is_held_from_its_last_renewal",
    ),
    "a hold counts as older than its record": (
        lambda patch: patch.setattr(ReceiptTimes, "age_s", too_old),
        "power.PowerTest.test_a_hold_outlasts_a_loss_of_all_power",
    ),
    "what is left of a hold is not written down": (
        lambda patch: patch.setattr(HoldCheckpoints, "write_when_due", lambda _: None),
        "failover.LockFailoverTest.test_a_hold_ends_in_time_also_where_the_primary_was_restarted",
    ),
    "a release with any token": (
        lambda patch: patch.setattr(lock_rules, "release_ends_hold", ends_with_any_token),
        "locks.LocksTest.test_a_late_release_of_an_earlier_hold_frees_nothing",
    ),
    "a renewal with any token": (
        lambda patch: patch.setattr(lock_rules, "renew", renew_with_any_token),
        "locks.LocksTest.test_a_renewal_with_a_token_of_an_earlier_hold_gets_409",
    ),
    "tokens that don't rise": (
        lambda patch: patch.setattr(locks, "next_value", lambda _: 1),
        "failover.LockFailoverTest.test_tokens_rise_across_changes_of_primary_over_released_and_expired_holds",
    ),
    "a repeated put is forgotten": (
        lambda patch: patch.setattr(GroupHistory, "find", lambda *_: None),
        "failover.KeyFailoverTest.test_a_repeated_put_gets_its_first_revision_at_the_next_primary",
    ),
    "late calls are taken after a stall": (
        lambda patch: patch.setattr(node.ControllerNode, "_has_just_stalled", lambda _: False),
        "frozen.LateCallsTest.test_calls_that_came_while_a_controller_stood_still_are_refused_and_change_nothing",
    ),
    "watches wait on at a primary that lost its place": (
        lambda patch: patch.setattr(WatchHub, "abort", lambda _: None),
        "cut.CutTest.test_a_watch_that_waits_at_a_primary_is_answered_503_once_that_is_cut_off",
    ),
    "a watch answers beyond what is committed": (
        lambda patch: patch.setattr(WatchHub, "committed_revision", lambda hub, group: FAR_REVISION),
        "watches.WatchTest.test_past_0_is_answered_the_present_revision_at_once",
    ),
    "a history that is cut by count": (
        lambda patch: patch.setattr(keys.KeyResource, "_slot_for", slot_by_count),
        "watches.HistoryTest.test_410_only_for_a_revision_given_longer_ago_than_the_history_spans",
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_a_planted_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    plant, test = FAULTS[fault]
    plant(monkeypatch)
    suite = unittest.defaultTestLoader.loadTestsFromName(PACKAGE + test)
    result = unittest.TestResult()
    result.failfast = True
    suite.run(result)
    assert result.testsRun == 1
    assert result.failures or result.errors
