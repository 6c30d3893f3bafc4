"""Planted faults of locks and numbers, detected by the simulation of coordination."""

from __future__ import annotations

from otterreach.simulation.coordination_history import Rule
from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_plans import (
    ALL_CORES_LOSE_POWER_OFTEN,
    NO_FAULTS_FOR_45_S,
    PRIMARIES_KILLED,
    PRIMARIES_LOSE_POWER_IN_A_WRITE,
)

LOCKS = "otterreach.coordination.locks"
LOCK_RESOURCE = "otterreach.controller.api.locks:LockResource"
NUMBER_RESOURCE = "otterreach.controller.api.numbers:NumberResource"
RECEIPTS = "otterreach.controller.receipt_times:ReceiptTimes"
COORDINATION = "coordination"

LOCK_FAULTS = (
    Planted(
        "hold-ends-before-its-time",
        "a hold expires after three quarters of its duration",
        (Change(f"{LOCKS}:is_expired", "hold.hold_ms / 1000", "hold.hold_ms * 0.75 / 1000"),),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=2,
    ),
    Planted(
        "renewal-does-not-move-the-receipt",
        "a hold's duration counts from the receipt of its first call, despite renewals",
        (Change(f"{RECEIPTS}._observe", "known is not None and known[0] == item.revision", "known is not None"),),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=1,
    ),
    Planted(
        "loaded-hold-begins-expired",
        "items loaded from the journal count as received long ago, so that their holds have expired",
        (
            Change("otterreach.controller.local_replica:LocalReplica.load", "self._notify_items", "len"),
            Change(f"{RECEIPTS}.age_s", "self._observe(item)", "self._received.get(item.key, (0, -1e9))[1]"),
        ),
        COORDINATION,
        plan=ALL_CORES_LOSE_POWER_OFTEN,
        rule=Rule.LOST.value,
        seed=1,
    ),
    Planted(
        "fence-of-the-present-hold",
        "the next token is derived from the present hold, so that tokens start again after a release",
        (
            Change(
                f"{LOCK_RESOURCE}._acquire",
                "next_value(last_fence.last if last_fence else None)",
                "next_value(hold.fence if hold else None)",
            ),
        ),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=1,
    ),
    Planted(
        "fence-not-written",
        "the last token is not stored",
        (Change(f"{LOCK_RESOURCE}._acquire", ", put(FenceRecord(fence))]", "]"),),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=1,
    ),
    Planted(
        "fence-reused-for-the-same-owner",
        "an owner that acquires again gets a new token, but the hold keeps the old one",
        (Change(f"{LOCKS}:acquire", "replace(hold, fence=fence, ", "replace(hold, "),),
        COORDINATION,
        rule=Rule.PROTOCOL.value,
        seed=4,
    ),
    Planted(
        "release-of-any-fence",
        "a release of an earlier hold ends a later hold of the same owner",
        (
            Change(
                f"{LOCKS}:release_ends_hold",
                "(hold.owner, hold.fence) == (call.owner, call.fence)",
                "hold.owner == call.owner",
            ),
        ),
        COORDINATION,
        plan=NO_FAULTS_FOR_45_S,
        rule=Rule.ONE.value,
        seed=8,
    ),
    Planted(
        "release-by-anyone",
        "a release ends the hold of any owner",
        (Change(f"{LOCKS}:release_ends_hold", " and (hold.owner, hold.fence) == (call.owner, call.fence)", ""),),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=2,
    ),
    Planted(
        "lost-hold-renewed",
        "a renewal succeeds although another owner has the lock",
        (
            Change(f"{LOCKS}:renew", "hold.owner != call.owner or ", ""),
            Change(f"{LOCKS}:renew", "not hold.first_fence <= call.fence <= hold.fence", "call.fence > hold.fence"),
        ),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=2,
    ),
    Planted(
        "held-lock-given",
        "an acquisition is granted although another owner holds the lock",
        (Change(f"{LOCKS}:acquire", "hold.owner != call.owner", "hold.fence == hold.first_fence and False"),),
        COORDINATION,
        rule=Rule.ONE.value,
        seed=1,
    ),
)

NUMBER_FAULTS = (
    Planted(
        "number-not-awaited",
        "a number is returned before any replica has it",
        (
            Change(
                f"{NUMBER_RESOURCE}._next",
                "return await after_write(self.control, [put(NumberRecord(value), name)], answer(value=value))",
                "self.control.propose([put(NumberRecord(value), name)]); return answer(value=value)",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_LOSE_POWER_IN_A_WRITE,
        rule=Rule.ORDER.value,
        seed=4,
    ),
    Planted(
        "number-from-memory",
        "a primary allocates numbers from memory and stores only every hundredth",
        (
            Change(
                f"{NUMBER_RESOURCE}._next",
                "value = next_value(record.last if record else None)",
                "known = self.control.__dict__.setdefault('numbers', {}); "
                "value = known[name] = known.get(name, record.last if record else 0) + 1\n"
                "    if value % 100 != 1: return answer(value=value)",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_KILLED,
        rule=Rule.ORDER.value,
        seed=1,
    ),
)

UNNOTICED = (
    Planted(
        "release-not-written",
        "a release is acknowledged, but the hold continues",
        (
            Change(
                f"{LOCK_RESOURCE}._release",
                "await after_write(self.control, [delete(LockRecord, name)], DONE)",
                "DONE",
            ),
        ),
        COORDINATION,
        plan=NO_FAULTS_FOR_45_S,
    ),
)
