"""Planted faults of the API for operators and servers, the replicas of the control state and the singleton roles."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted
from otterreach.simulation.planted_plans import (
    ALL_CORES_LOSE_POWER,
    CORES_KILLED,
    CORES_PARTITIONED_ONE_WAY,
    FRONTS_LOSE_POWER,
    FRONTS_PARTITIONED,
    SLOW_LINKS,
)

CONFIG = "otterreach.controller.api.configuration:ConfigurationResource"
ORDERS = "otterreach.proxy.orders"

OPERATIONS = (
    Planted(
        "disk-syncs-nothing",
        "a sync reports success before the data is durable",
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
        "the holder of a singleton role sends orders whatever the age of its state",
        (Change(f"{ORDERS}:WeightOrders.fence", " and self.node.follower.age_s() < LEASE_S", ""),),
        "control",
        plan=FRONTS_PARTITIONED,
        rule="fences rise",
        seed=11,
    ),
    Planted(
        "lease-not-waited-out",
        "the next holder of a singleton role sends orders without waiting for the lease to expire",
        (Change(f"{ORDERS}:takeover_wait_s", "return LEASE_S + lease_s + MARGIN_S", "return 0.0"),),
        "control",
        plan=FRONTS_LOSE_POWER,
        rule="holders take turns",
        seed=6,
    ),
    Planted(
        "fence-does-not-rise",
        "the orders of all holders carry the same fencing token",
        (Change(f"{ORDERS}:WeightOrders.fence", "return revision if", "return 1 if"),),
        "control",
        plan=FRONTS_LOSE_POWER,
        rule="one holder",
        seed=2,
    ),
    Planted(
        "acknowledged-without-copies",
        "an operator's change is acknowledged although the replicas did not accept it",
        (Change(f"{CONFIG}._accept", "return UNAVAILABLE", "pass"),),
        "control",
        plan=SLOW_LINKS,
        rule="linearizable",
        seed=1,
    ),
    Planted(
        "base-not-compared",
        "a change is accepted whatever version it is based on",
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
        "a replica of the control state accepts an older item",
        (
            Change(
                "otterreach.runtime.store:ReplicatedStore._apply_item",
                "item.revision <= newest",
                "item.revision == newest",
            ),
        ),
        "control",
        plan=CORES_PARTITIONED_ONE_WAY,
        rule="copy goes back",
        seed=8,
    ),
    Planted(
        "change-forgotten",
        "an accepted change is not remembered, so that its repetition is not recognized",
        (
            Change(
                "otterreach.controller.change_history:ChangeHistory.was_accepted",
                "self._digests.get(change.base) == change.digest",
                "False",
            ),
        ),
        "control",
    ),
    Planted(
        "refused-on-uncommitted-state",
        "a change is rejected because of another that is not yet on all replicas and may be lost",
        (Change(f"{CONFIG}._change", "await when_committed(self.control, rejection(result))", "rejection(result)"),),
        "control",
    ),
    Planted(
        "gone-server-comes-back",
        "a late call of a removed server registers it again",
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
