"""Planted faults of what controllers answer to operators and servers, of copies of the control state and of duties."""

from __future__ import annotations

from otterreach.simulation.planted import Change, Planted

CONFIG = "otterreach.controller.handlers:ConfigResource"
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
    ),
    Planted(
        "lease-not-checked",
        "a holder of a duty orders whatever the age of what it knows",
        (Change(f"{ORDERS}:Orders.fence", " and self.node.follower.age_s() < LEASE_S", ""),),
        "control",
    ),
    Planted(
        "lease-not-waited-out",
        "the next holder of a duty orders at once",
        (Change(f"{ORDERS}:takeover_s", "return LEASE_S + lease_s + MARGIN_S", "return 0.0"),),
        "control",
    ),
    Planted(
        "fence-does-not-rise",
        "orders of all holders carry the same fence",
        (Change(f"{ORDERS}:Orders.fence", "return rev if", "return 1 if"),),
        "control",
    ),
    Planted(
        "change-forgotten",
        "a change that was taken is not remembered for when it is sent again",
        (Change(f"{CONFIG}._take", "[*taken, mark]", "[]"),),
        "control",
    ),
    Planted(
        "acknowledged-without-copies",
        "an operator's change is acknowledged though the copies did not take it",
        (Change(f"{CONFIG}._take", "return _status(503)", "pass"),),
        "control",
    ),
    Planted(
        "base-not-compared",
        "a change is taken whatever version it was made on",
        (Change("otterreach.controller.config:_order", "if if_match != version:", "if False:"),),
        "control",
    ),
    Planted(
        "older-item-wins",
        "a copy of the control state takes an older item",
        (Change("otterreach.runtime.store:ReplicatedStore.apply", "old.rev >= item.rev", "old.rev == item.rev"),),
        "control",
    ),
    Planted(
        "gone-server-comes-back",
        "a late call of a server that is gone brings it back",
        (
            Change(
                "otterreach.controller.handlers:ServersResource._register",
                " or item is not None and item.gone",
                "",
            ),
        ),
        "control",
    ),
)
