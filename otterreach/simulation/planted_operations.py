"""Planted faults of what controllers answer to operators and servers, of copies of the control state and of duties."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_plans import (
    ALL_CORES_LOSE_POWER,
    CORES_KILLED,
    CORES_UNHEARD,
    FRONTS_CUT_OFF,
    FRONTS_DIE,
    SLOW_LINKS,
)

CONFIG = "otterreach.controller.api.configuration:ConfigurationResource"
ORDERS = "otterreach.proxy.orders"

OPERATIONS = (
    Planted(
        "disk-syncs-nothing",
        "a sync answers before anything lasts",
        (
            Change(
                "otterreach.simulation.disk:VirtualJournal._write",
                "disk.synced = max(disk.synced, self._synced + len(data))",
                "pass",
            ),
        ),
        "control",
        plan=ALL_CORES_LOSE_POWER,
        rule="in time",
        seed=1,
    ),
    Planted(
        "lease-not-checked",
        "a holder of a duty orders whatever the age of what it knows",
        (Change(f"{ORDERS}:WeightOrders.fence", " and self.node.follower.age_s() < LEASE_S", ""),),
        "control",
        plan=FRONTS_CUT_OFF,
        rule="fences rise",
        seed=11,
    ),
    Planted(
        "lease-not-waited-out",
        "the next holder of a duty orders at once",
        (Change(f"{ORDERS}:takeover_wait_s", "return LEASE_S + lease_s + MARGIN_S", "return 0.0"),),
        "control",
        plan=FRONTS_DIE,
        rule="holders take turns",
        seed=6,
    ),
    Planted(
        "fence-does-not-rise",
        "orders of all holders carry the same fence",
        (Change(f"{ORDERS}:WeightOrders.fence", "return revision if", "return 1 if"),),
        "control",
        plan=FRONTS_DIE,
        rule="one holder",
        seed=2,
    ),
    Planted(
        "acknowledged-without-copies",
        "an operator's change is acknowledged though the copies did not take it",
        (Change(f"{CONFIG}._accept", "return UNAVAILABLE", "pass"),),
        "control",
        plan=SLOW_LINKS,
        rule="linearizable",
        seed=1,
    ),
    Planted(
        "base-not-compared",
        "a change is taken whatever version it was made on",
        (Change("otterreach.controller.config:_check_order", "if if_match != version:", "if False:"),),
        "control",
        plan=CORES_KILLED,
        rule="proper change called invalid",
        seed=1,
    ),
)

UNNOTICED = (
    Planted(
        "older-item-wins",
        "a copy of the control state takes an older item",
        (
            Change(
                "otterreach.runtime.store:ReplicatedStore._apply_item",
                "item.revision <= newest",
                "item.revision == newest",
            ),
        ),
        "control",
        plan=CORES_UNHEARD,
        rule="copy goes back",
        seed=8,
    ),
    Planted(
        "change-forgotten",
        "a change that was taken is not remembered for when it is sent again",
        (
            Change(
                "otterreach.controller.change_history:ChangeHistory.has",
                "self._digests.get(change.base) == change.digest",
                "False",
            ),
        ),
        "control",
    ),
    Planted(
        "refused-on-uncommitted-state",
        "a change is refused because of another that is not at all copies, and may vanish",
        (Change(f"{CONFIG}._change", "await when_committed(self.control, rejection(result))", "rejection(result)"),),
        "control",
    ),
    Planted(
        "gone-server-comes-back",
        "a late call of a server that is gone brings it back",
        (
            Change(
                "otterreach.controller.api.servers:ServerResource._register",
                "item is not None and item.is_tombstone",
                "False",
            ),
        ),
        "control",
    ),
)
