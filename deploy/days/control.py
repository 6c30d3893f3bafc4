"""Days for the users' bench that test the control plane: one group for each of the five points of docs/control.md.

python3 deploy/days/control.py OUT writes one TOML file per day. The days are independent of the site.
"""

from __future__ import annotations

import sys
from pathlib import Path

CHANGES = ("timeout", "route", "weights", "idle")


def day(name: str, plan: list[str], faults: list[str], closing: str = "", slot: str = "trouble") -> str:
    """Return the TOML text of one day; each entry contains its own time."""
    plan_rows = [f"  {{ {entry} }},\n" for entry in plan]
    fault_rows = [f"  {{ {entry} }},\n" for entry in faults]
    closing_row = f"closing = {{ {closing} }}\n" if closing else ""
    seed = sum(name.encode()) * 7919
    head = f'name = "{name}"\nslot = "{slot}"\nseed = {seed}\n{closing_row}'
    return f"{head}plan = [\n{''.join(plan_rows)}]\nfaults = [\n{''.join(fault_rows)}]\n"


def changes(first: float, gap: float, count: int) -> list[str]:
    """Return configuration changes `gap` seconds apart, cycling through all types."""
    return [
        f'at = {first + gap * n:.2f}, kind = "config_change", how = "{CHANGES[n % len(CHANGES)]}"' for n in range(count)
    ]


def cut_off() -> dict[str, str]:
    """Point 1: network partition of a controller or store machine for twenty seconds."""
    found = {}
    for how in ("leader race", "leader meet hard", "one_way leader race", "near leader", "all race", "lure", "both"):
        fault = f'at = 5.0, kind = "core_cut", count = 1, for_s = 20.0, how = "{how}"'
        name = "cut-" + how.replace(" ", "-").replace("_", "-")
        found[name] = day(name, changes(4.0, 1.1, 24), [fault])
    store = 'at = 5.0, kind = "core_cut", on = "store", count = 1, for_s = 20.0'
    found["cut-store"] = day("cut-store", changes(4.0, 2.0, 12), [store])
    one_way = store + ', how = "one_way"'
    found["cut-store-one-way"] = day("cut-store-one-way", changes(4.0, 2.0, 12), [one_way])
    freeze = [
        f'at = {at}, kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader race"' for at in (5, 16)
    ]
    found["freeze-leader-twice"] = day("freeze-leader-twice", changes(4.0, 1.1, 24), freeze)
    return found


def same_order_again() -> dict[str, str]:
    """Point 2: two operators change the same version, and orders are retried after lost answers."""
    lost = 'at = 2.0, kind = "ack_lost", share = 1.0, x = 0.7, for_s = 28.0'
    races = 'at = 4.0, kind = "config_race", count = 10, gap_s = 1.5'
    kill = 'at = 10.0, kind = "node_kill", on = "core", count = 1, for_s = 2.5, how = "leader race"'
    power = 'at = 20.0, kind = "node_kill", on = "core", count = 1, for_s = 2.5, how = "power leader meet"'
    herd = 'at = 16.0, kind = "herd_kill", on = "core", share = 1.0, how = "power"'
    bad = 'at = 5.0, kind = "bad_config", count = 8, gap_s = 2.5'
    timed = 'kind = "power_off_all", down_s = 1.2, how = "timed"'
    return {
        "again-lost-races": day("again-lost-races", [races, *changes(4.5, 1.3, 18), bad], [lost]),
        "again-lost-leader": day("again-lost-leader", [races, *changes(4.5, 1.3, 18)], [lost, kill, power], timed),
        "again-lost-herd": day("again-lost-herd", [races, *changes(4.5, 1.3, 18)], [lost, herd], timed),
        "again-lost-taken": day(
            "again-lost-taken", changes(4.5, 0.7, 36), [lost], 'kind = "wipe_after_ack", down_s = 1.2, how = "timed"'
        ),
    }


def second_loss() -> dict[str, str]:
    """Point 3: successive losses of machines, each right after the repair of the previous one."""
    found = {}
    for how in ("leader", "oldest", "planned leader", "planned"):
        faults = [f'at = {at}, kind = "replace_core", x = 1.0, how = "{how}"' for at in (4.0, 12.0, 20.0)]
        wipe = 'at = 10.5, kind = "after_ack_wipe", for_s = 1.5'
        name = "loss-replace-" + how.replace(" ", "-")
        plan = changes(3.0, 1.0, 26)
        planned = how.startswith("planned")
        found[name] = day(name, plan + faults if planned else plan, [wipe] if planned else [*faults, wipe])
    stores = [f'at = {at}, kind = "replace_core", on = "store", x = 1.0, how = "oldest"' for at in (4.0, 16.0)]
    wiped = 'at = 10.5, kind = "after_ack_wipe", on = "store", count = 1, for_s = 1.5, how = "oldest"'
    found["loss-stores"] = day("loss-stores", [], [*stores, wiped])
    retire = [f'at = {at}, kind = "retire", for_s = 9.0, how = "wipe"' for at in (4.0, 17.0)]
    added = 'at = 2.0, kind = "add_nodes", on = "store"'
    found["loss-retire"] = day(
        "loss-retire", [added, *retire], [], 'kind = "wipe_after_ack", down_s = 1.2, how = "oldest"'
    )
    roll = [f'at = {at}, kind = "roll_term", on = "core", share = 1.0, x = 1.0, gap_s = 2.0' for at in (4.0, 18.0)]
    wipes = [f'at = {at}, kind = "after_ack_wipe", for_s = 1.0' for at in (15.0, 30.0)]
    found["loss-roll-core"] = day("loss-roll-core", [*roll, *changes(3.0, 1.0, 26)], wipes)
    roll_store = 'at = 4.0, kind = "roll_term", on = "store", share = 1.0, x = 1.0, gap_s = 3.0'
    store_wipe = 'at = 22.0, kind = "after_ack_wipe", on = "store", count = 1, for_s = 1.0'
    found["loss-roll-store"] = day("loss-roll-store", [roll_store], [store_wipe])
    return found


def many_changes() -> dict[str, str]:
    """Point 4: hundreds of changes while members restart, lag or have slow disks."""
    plan = changes(1.0, 0.2, 160)
    kills = [
        f'at = {at}, kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "{how}"'
        for at, how in ((6.0, "leader"), (12.0, "power"), (18.0, "leader race"), (24.0, "seed"))
    ]
    replace = 'at = 14.0, kind = "replace_core", x = 1.0, how = "oldest"'
    disk = [
        f'at = {at}, kind = "{kind}", on = "core", count = 1, for_s = 5.0'
        for at, kind in ((5.0, "disk_slow"), (13.0, "disk_stall"), (21.0, "disk_full"))
    ]
    store_disk = [
        f'at = {at}, kind = "{kind}", on = "store", count = 1, for_s = 5.0'
        for at, kind in ((5.0, "disk_slow"), (13.0, "disk_stall"), (21.0, "disk_full"))
    ]
    slow = 'at = 5.0, kind = "node_slow", on = "core", count = 1, x = 6.0, for_s = 12.0'
    wipe = 'kind = "wipe_after_ack", down_s = 1.2, how = "all"'
    power = 'kind = "power_off_all", down_s = 1.2, how = "all"'
    return {
        "many-kills": day("many-kills", plan, kills, wipe),
        "many-replace": day("many-replace", plan, [replace, kills[0], kills[3]], power),
        "many-disks": day("many-disks", plan, disk, power),
        "many-store-disks": day("many-store-disks", changes(1.0, 1.0, 30), store_disk, wipe),
        "many-slow": day("many-slow", plan, [slow], wipe),
    }


def wrong_caller() -> dict[str, str]:
    """Point 5: lost, duplicated or truncated answers, and connection resets."""
    garble = [
        f'at = {at}, kind = "garble", share = 0.7, x = 0.06, for_s = 6.0, how = "{how}"'
        for at, how in ((3.0, "extra"), (11.0, "unframed"), (19.0, "early"))
    ]
    lost = 'at = 3.0, kind = "answer_lost", share = 0.7, x = 0.08, for_s = 24.0'
    reset = [f'at = {at}, kind = "reset_conns", share = 0.6, x = 0.8' for at in (6.0, 9.0, 12.0, 15.0, 21.0)]
    cut = 'at = 8.0, kind = "node_cut", share = 0.3, for_s = 5.0, how = "servers"'
    reuse = 'at = 12.0, kind = "replace_with_reuse", share = 0.4, how = "dark"'
    hup = 'at = 5.0, kind = "hup", share = 1.0, gap_s = 4.0'
    crash = 'at = 9.0, kind = "srv_crash", share = 0.4, for_s = 3.0'
    return {
        "caller-garble": day("caller-garble", changes(2.0, 3.0, 8), garble),
        "caller-resets": day("caller-resets", [hup, *changes(2.0, 3.0, 8)], [lost, *reset]),
        "caller-cut": day("caller-cut", changes(2.0, 3.0, 8), [cut, lost, reset[0]]),
        "caller-reuse": day("caller-reuse", changes(2.0, 3.0, 8), [reuse, crash, *garble]),
    }


def measure() -> dict[str, str]:
    """A fixed sequence of primary losses, to measure acknowledgement times, time without a primary, and repair."""
    kills = [
        f'at = {4.0 + 4.0 * n}, kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "{how}"'
        for n, how in enumerate(("turn", "power turn", "turn", "power turn", "turn", "power turn"))
    ]
    store = 'at = 27.0, kind = "node_kill", on = "store", count = 1, for_s = 5.0, how = "power"'
    return {"measure": day("measure", changes(1.0, 0.25, 120), [*kills, store])}


def days() -> dict[str, str]:
    """Return the text of all days by name."""
    found: dict[str, str] = {}
    for group in (cut_off, same_order_again, second_loss, many_changes, wrong_caller, measure):
        found |= group()
    return found


if __name__ == "__main__":
    out = Path(sys.argv[1])
    out.mkdir(parents=True, exist_ok=True)
    for name, text in days().items():
        (out / f"{name}.toml").write_text(text)
    print(f"days={len(days())}")
