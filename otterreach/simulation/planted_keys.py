"""Planted faults of keys and watches, detected by the simulation of coordination."""

from __future__ import annotations

from otterreach.simulation.coordination_history import Rule
from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_plans import (
    CORE_DISKS_STALL,
    NO_FAULTS_FOR_45_S,
    PRIMARIES_FREEZE,
    PRIMARIES_FREEZE_BRIEFLY,
    PRIMARIES_FREEZE_IN_A_WRITE,
    PRIMARIES_KILLED,
    PRIMARIES_LOSE_POWER_IN_A_WRITE,
    PRIMARIES_PARTITIONED,
)

KEY_RESOURCE = "otterreach.controller.api.keys:KeyResource"
WATCH_RESOURCE = "otterreach.controller.api.watches:WatchResource"
ANSWERS = "otterreach.controller.api.coordination_answers"
HISTORIES = "otterreach.controller.group_histories:GroupHistories"
WATCH_HUB = "otterreach.controller.watch_hub:WatchHub"
ROUTER = "otterreach.controller.api.router:ApiRouter"
KEYSPACE = "otterreach.coordination.keyspace"
HISTORY = "otterreach.coordination.history:GroupHistory"
COORDINATION = "coordination"

KEY_FAULTS = (
    Planted(
        "write-not-awaited",
        "locks, numbers and puts are acknowledged before any replica has them",
        (
            Change(
                f"{ANSWERS}:after_write",
                "return accepted if await write(control, changes) else OUTCOME_UNKNOWN",
                "control.propose(changes); return accepted",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_LOSE_POWER_IN_A_WRITE,
        rule=Rule.ORDER.value,
        seed=3,
    ),
    Planted(
        "unavailable-after-accept",
        "a write with an unknown outcome is answered 503",
        (Change(f"{ANSWERS}:after_write", "else OUTCOME_UNKNOWN", "else UNAVAILABLE"),),
        COORDINATION,
        plan=PRIMARIES_FREEZE_IN_A_WRITE,
        rule=Rule.REFUSED.value,
        seed=7,
    ),
    Planted(
        "late-answer-is-unavailable",
        "a call that times out is answered 503 although it is still in progress",
        (Change(f"{ROUTER}._decide", "OUTCOME_UNKNOWN if changes_coordination(call) else UNAVAILABLE", "UNAVAILABLE"),),
        COORDINATION,
        plan=CORE_DISKS_STALL,
        rule=Rule.REFUSED.value,
        seed=1,
    ),
    Planted(
        "forwarded-call-is-unavailable",
        "a call that was forwarded to a primary that died is answered 503",
        (
            Change(
                f"{ROUTER}._forward",
                "OUTCOME_UNKNOWN if answer.maybe_done and changes_coordination(call) else UNAVAILABLE",
                "UNAVAILABLE",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_LOSE_POWER_IN_A_WRITE,
        rule=Rule.REFUSED.value,
        seed=3,
    ),
    Planted(
        "key-read-without-contact",
        "a read is answered without confirming the epoch and without waiting until the value is on all replicas",
        (
            Change(
                f"{KEY_RESOURCE}._read",
                "await after_commit(self.control, answer(value=entry.value, rev=entry.revision))",
                "answer(value=entry.value, rev=entry.revision)",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_FREEZE,
        rule=Rule.STALE.value,
        seed=1,
    ),
    Planted(
        "conflict-on-uncommitted-state",
        "a 412 names a revision that is not yet on all replicas and may be lost",
        (Change(f"{KEY_RESOURCE}._put", "return await after_commit(self.control, conflict)", "return conflict"),),
        COORDINATION,
        plan=PRIMARIES_PARTITIONED,
        rule=Rule.STALE.value,
        seed=7,
    ),
    Planted(
        "repeat-forgotten",
        "a repeated put is not recognized once another put has followed",
        (Change(f"{KEYSPACE}:put", "if earlier is not None:", "if False:"),),
        COORDINATION,
        rule=Rule.REFUSED.value,
        seed=1,
    ),
    Planted(
        "repeat-not-recognised-at-all",
        "a repeated put is executed as a new one",
        (
            Change(f"{KEYSPACE}:put", "if earlier is not None:", "if False:"),
            Change(f"{KEYSPACE}:put", "if entry is not None and", "if False and"),
        ),
        COORDINATION,
        rule=Rule.REFUSED.value,
        seed=1,
    ),
    Planted(
        "expectation-not-compared",
        "a put is accepted whatever revision it expects",
        (Change(f"{KEYSPACE}:put", "call.expected is not None and call.expected != current", "False"),),
        COORDINATION,
        rule=Rule.ORDER.value,
        seed=1,
    ),
    Planted(
        "revision-of-the-key",
        "a put gets the revision after that of its key instead of that of its group",
        (Change(f"{KEYSPACE}:put", "history.revision + 1", "current + 1"),),
        COORDINATION,
        rule=Rule.ORDER.value,
        seed=3,
    ),
    Planted(
        "history-not-loaded",
        "a new primary starts with empty histories",
        (Change(f"{HISTORIES}.__init__", "self._store(name, record)", "pass"),),
        COORDINATION,
        plan=PRIMARIES_KILLED,
        rule=Rule.MIXED.value,
        seed=1,
    ),
)

WATCH_FAULTS = (
    Planted(
        "history-cut-by-count",
        "a group keeps its last ten puts, regardless of their age",
        (Change(f"{KEY_RESOURCE}._slot_for", "self.receipts.age_s(oldest) >= self.retention_s", "len(history) >= 10"),),
        COORDINATION,
        rule=Rule.LOST.value,
        seed=1,
    ),
    Planted(
        "gap-in-place-of-410",
        "a watch from a revision that is no longer kept gets only the events that remain, instead of a 410",
        (
            Change(
                f"{KEY_RESOURCE}._slot_for", "self.receipts.age_s(oldest) >= self.retention_s", "len(history) >= 10"
            ),
            Change(f"{HISTORY}.between", "return None", "continue"),
        ),
        COORDINATION,
        rule=Rule.ORDER.value,
        seed=1,
    ),
    Planted(
        "watch-skips-an-event",
        "an answer to a watch with several puts omits the last one",
        (
            Change(
                f"{HISTORY}.between",
                "range(past + 1, revision + 1)",
                "range(past + 1, max(revision, past + 2))",
            ),
        ),
        COORDINATION,
        rule=Rule.ORDER.value,
        seed=1,
    ),
    Planted(
        "watch-of-uncommitted-puts",
        "watches are notified of a put as soon as the primary has it",
        (
            Change(
                "otterreach.controller.node:ControllerNode.__init__",
                "self.control.on_committed(self.watches.items_committed)",
                "self.control.on_items(self.watches.items_committed)",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_PARTITIONED,
        rule=Rule.ORDER.value,
        seed=7,
    ),
    Planted(
        "present-revision-without-contact",
        "a watch is accepted without confirming the epoch",
        (Change(f"{WATCH_RESOURCE}._watch", "not await self.control.confirm_leadership()", "False"),),
        COORDINATION,
        plan=PRIMARIES_FREEZE,
        rule=Rule.STALE.value,
        seed=1,
    ),
    Planted(
        "watch-not-woken",
        "a pending watch is not woken by a put",
        (
            Change(
                f"{WATCH_HUB}.items_committed",
                "self._wake(self._waiting.take(group, revision), True)",
                "pass",
            ),
        ),
        COORDINATION,
        plan=NO_FAULTS_FOR_45_S,
        rule=Rule.PROMPT.value,
        seed=1,
    ),
)

UNNOTICED = (
    Planted(
        "commit-not-awaited",
        "reads, conflicts and repeated calls are answered from state that is not yet on all replicas",
        (
            Change(
                "otterreach.controller.writes:WritePipeline.wait_until_committed",
                "while self._committed < submitted and",
                "while False and",
            ),
            Change(
                "otterreach.controller.writes:WritePipeline.wait_until_committed",
                "return self._committed >= submitted and self._step_downs == step_downs",
                "return True",
            ),
        ),
        COORDINATION,
        plan=PRIMARIES_FREEZE_IN_A_WRITE,
    ),
    Planted(
        "empty-watch-of-an-old-primary",
        "a watch that times out is answered without confirming the epoch",
        (Change(f"{WATCH_RESOURCE}._after_wait", "not await self.control.confirm_leadership()", "False"),),
        COORDINATION,
        plan=PRIMARIES_FREEZE_BRIEFLY,
    ),
)
