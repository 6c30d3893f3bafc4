"""Plans of injected faults, one kind each, for planted faults that randomly drawn plans detect slowly."""

from __future__ import annotations

from otterreach.simulation.faults import LEADER, Fault

CORES = tuple(f"core-{n}" for n in range(5))
FRONTS = ("front-0", "front-1", "front-2")
STORES = tuple(f"store-{n}" for n in range(4))
Faults = tuple[Fault, ...]

ALL_CORES_LOSE_POWER: Faults = (Fault(5.0, "power", CORES, 1.0), Fault(11.0, "power", CORES, 1.0))
FRONTS_PARTITIONED: Faults = tuple(Fault(5.0 + 9 * n, "cut", (name,), 8.0) for n, name in enumerate(FRONTS))
FRONTS_LOSE_POWER: Faults = tuple(Fault(5.0 + 5 * n, "power", (name,), 4.0) for n, name in enumerate(FRONTS))
FRONTS_FREEZE: Faults = tuple(Fault(5.0 + 3 * n, "late_freeze", (FRONTS[n % 2],), 6.0) for n in range(4))

STORES_PARTITIONED_ONE_WAY: Faults = tuple(Fault(5.0 + 5 * n, "one_way", (name,), 3.0) for n, name in enumerate(STORES))
STORES_PARTITIONED: Faults = tuple(Fault(5.0 + 5 * n, "cut", (name,), 4.0) for n, name in enumerate(STORES))
STORES_FREEZE: Faults = tuple(Fault(5.0 + 4 * n, "late_freeze", (name,), 2.5) for n, name in enumerate(STORES))
STORES_LOSE_POWER: Faults = tuple(Fault(5.0 + 4 * n, "power", (name,), 3.0) for n, name in enumerate(STORES))
STORES_WIPED: Faults = tuple(Fault(5.0 + 9 * n, "wipe", (name,), 1.0) for n, name in enumerate(STORES))
ALL_STORES_LOSE_POWER: Faults = tuple(Fault(5.0 + 3 * n, "power", STORES, 0.5) for n in range(4))
PARTITIONED_ONE_WAY_AND_WIPED: Faults = tuple(
    fault
    for n, name in enumerate(STORES)
    for fault in (Fault(5.0 + 9 * n, "one_way", (name,), 2.0), Fault(5.4 + 9 * n, "wipe", (name,), 2.0))
)
# A store loses power; the other store of a pair then loses its disk before a third is in sync.
POWER_LOSS_THEN_WIPE: Faults = tuple(
    fault
    for n, name in enumerate(STORES)
    for fault in (
        Fault(5.0 + 12 * n, "power", (name,), 5.0),
        Fault(6.5 + 12 * n, "wipe", (STORES[(n + 1) % len(STORES)],), 1.0),
    )
)
RESETS: Faults = tuple(Fault(4.0 + n, "reset", (*CORES, *STORES), 0.1) for n in range(12))
PROXIES_PARTITIONED: Faults = tuple(Fault(5.0 + 8 * n, "cut", (FRONTS[n % 2],), 7.0) for n in range(3))
CORES_KILLED: Faults = tuple(Fault(4.0 + 1.5 * n, "kill", (CORES[n % 5],), 0.6) for n in range(14))
SLOW_LINKS: Faults = tuple(Fault(4.0 + 4 * n, "slow_link", CORES, 2.5) for n in range(6))
CORES_PARTITIONED_ONE_WAY: Faults = tuple(Fault(4.0 + 3 * n, "one_way", (CORES[n % 5],), 1.2) for n in range(8))
PRIMARIES_KILLED: Faults = tuple(Fault(3.0 + 3 * n, "kill", (LEADER,), 1.5) for n in range(6))
PRIMARIES_PARTITIONED: Faults = tuple(Fault(2.0 + 3 * n, "cut", (LEADER,), 1.6) for n in range(12))
PRIMARIES_FREEZE: Faults = tuple(Fault(3.0 + 4 * n, "freeze", (LEADER,), 2.0) for n in range(5))
PRIMARIES_LOSE_POWER_IN_A_WRITE: Faults = tuple(Fault(2.0 + 3 * n, "power@AppendItems", (), 2.0) for n in range(6))
ALL_CORES_LOSE_POWER_OFTEN: Faults = tuple(Fault(3.0 + 4 * n, "power", CORES, 0.2) for n in range(5))
PRIMARIES_FREEZE_BRIEFLY: Faults = tuple(Fault(2.0 + 2 * n, "freeze", (LEADER,), 0.95) for n in range(12))
CORE_DISKS_STALL: Faults = tuple(Fault(2.0 + 3 * n, "stall_disk", (CORES[n % 3],), 1.8) for n in range(7))
PRIMARIES_FREEZE_IN_A_WRITE: Faults = tuple(Fault(2.0 + 2 * n, "freeze@AppendItems", (), 0.8) for n in range(12))
NO_FAULTS_FOR_45_S: Faults = (Fault(45.0, "reset", CORES, 0.1),)
