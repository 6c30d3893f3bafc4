"""Days for the users' bench: each kind of fault alone, repeated, and paired with another at the same time.

python3 deploy/days/generate.py OUT writes one TOML file per day. The days are independent of the site.
"""

from __future__ import annotations

import sys
from itertools import combinations
from pathlib import Path

FAULTS = {
    "srv_crash": 'kind = "srv_crash", share = 0.3, for_s = 4.0',
    "srv_dark": 'kind = "srv_crash", share = 0.3, for_s = 4.0, how = "dark"',
    "srv_gone": 'kind = "srv_crash", share = 0.2, how = "gone"',
    "srv_slow": 'kind = "srv_slow", share = 0.4, x = 5.0, for_s = 6.0',
    "srv_cut": 'kind = "srv_cut", share = 0.5, for_s = 8.0',
    "srv_cut_fronts": 'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "fronts"',
    "srv_cut_one_way": 'kind = "srv_cut", share = 0.3, for_s = 6.0, how = "one_way"',
    "answer_lost": 'kind = "answer_lost", share = 0.7, x = 0.08, for_s = 8.0',
    "garble": 'kind = "garble", share = 0.7, x = 0.06, for_s = 8.0, how = "extra late"',
    "kill_front": 'kind = "node_kill", share = 0.3, for_s = 3.0',
    "power_front": 'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"',
    "kill_leader": 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race drain hard"',
    "power_leader": 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "power leader meet drain"',
    "kill_seed": 'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "seed race"',
    "kill_store": 'kind = "node_kill", on = "store", count = 1, for_s = 3.0',
    "power_store": 'kind = "node_kill", on = "store", count = 1, for_s = 3.0, how = "power"',
    "freeze_front": 'kind = "node_freeze", share = 0.3, for_s = 4.0',
    "freeze_core": 'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader"',
    "freeze_store": 'kind = "node_freeze", on = "store", count = 1, for_s = 4.0',
    "replace_core": 'kind = "replace_core", x = 1.5',
    "replace_leader": 'kind = "replace_core", x = 1.5, how = "leader"',
    "replace_store": 'kind = "replace_core", on = "store", x = 1.5',
    "kill_after_ack": 'kind = "after_ack_kill", for_s = 3.0',
    "kill_timed": 'kind = "after_ack_kill", for_s = 3.0, how = "timed"',
    "kill_taken": 'kind = "after_ack_kill", for_s = 3.0, how = "taken"',
    "wipe_after_ack": 'kind = "after_ack_wipe", for_s = 3.0',
    "store_kill_after_ack": 'kind = "after_ack_kill", on = "store", count = 1, for_s = 2.0, how = "kill"',
    "store_wipe_after_ack": 'kind = "after_ack_wipe", on = "store", count = 1, for_s = 2.0',
    "cut_core": 'kind = "core_cut", count = 1, for_s = 5.0, how = "leader race drain"',
    "cut_core_one_way": 'kind = "core_cut", count = 1, for_s = 5.0, how = "one_way leader race"',
    "cut_core_reset": 'kind = "core_cut", count = 1, for_s = 5.0, how = "reset"',
    "cut_store": 'kind = "core_cut", on = "store", count = 1, for_s = 5.0',
    "cut_store_one_way": 'kind = "core_cut", on = "store", count = 1, for_s = 5.0, how = "one_way"',
}
PLANS = {
    "release": 'kind = "release", share = 1.0, x = 1.0, gap_s = 0.8',
    "roll_term": 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0',
    "roll_busy": 'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.0, how = "busy"',
    "add_front": 'kind = "add_nodes"',
    "add_store": 'kind = "add_nodes", on = "store"',
    "planned_core": 'kind = "replace_core", how = "planned"',
    "retire": 'kind = "retire", for_s = 9.0, how = "wipe"',
    "config_route": 'kind = "config_change", how = "route"',
    "config_weights": 'kind = "config_change", how = "weights"',
    "config_timeout": 'kind = "config_change", how = "timeout"',
    "config_idle": 'kind = "config_change", how = "idle"',
    "config_race": 'kind = "config_race", count = 4, gap_s = 1.0',
    "bad_config": 'kind = "bad_config", count = 8, gap_s = 0.6',
}
CLOSINGS = {
    "power_all": 'kind = "power_off_all", down_s = 1.0, how = "all"',
    "power_timed": 'kind = "power_off_all", down_s = 1.0, how = "timed"',
    "power_taken": 'kind = "power_off_all", down_s = 1.0, how = "taken"',
    "wipe": 'kind = "wipe_after_ack", down_s = 1.2, how = "all"',
    "wipe_taken": 'kind = "wipe_after_ack", down_s = 1.2, how = "taken"',
    "kill_all": 'kind = "kill_all", down_s = 1.0',
}


def day(name: str, faults: list[str], plan: list[str], closing: str = "") -> str:
    """Return the TOML text of one day; entries are placed at times with traffic."""

    def rows(entries: list[str], at: list[float]) -> str:
        return "".join(f"  {{ at = {t}, {e} }},\n" for e, t in zip(entries, at, strict=False))

    closing_row = f"closing = {{ {closing} }}\n" if closing else ""
    return (
        f'name = "{name}"\nslot = "trouble"\nseed = {sum(name.encode()) * 7919}\n{closing_row}'
        f"plan = [\n{rows(plan, [4.0, 14.0, 22.0])}]\nfaults = [\n{rows(faults, [10.0, 10.4, 18.0])}]\n"
    )


def days() -> dict[str, str]:
    """Return the text of all days by name."""
    found: dict[str, str] = {}
    for name, entry in FAULTS.items():
        found[f"one-{name}"] = day(f"one-{name}", [entry], [])
        found[f"two-{name}"] = day(f"two-{name}", [entry, entry, entry], [])
    for name, entry in PLANS.items():
        found[f"plan-{name}"] = day(f"plan-{name}", [], [entry, entry])
    for name, entry in CLOSINGS.items():
        found[f"end-{name}"] = day(f"end-{name}", [], [PLANS["config_timeout"]], entry)
    for (one, first), (other, second) in combinations(FAULTS.items(), 2):
        found[f"pair-{one}-{other}"] = day(f"pair-{one}-{other}", [first, second], [])
    for one, first in FAULTS.items():
        for other, second in PLANS.items():
            text = day(f"with-{one}-{other}", [first], [])
            found[f"with-{one}-{other}"] = text.replace("plan = [\n]", f"plan = [\n  {{ at = 9.5, {second} }},\n]")
    return found


if __name__ == "__main__":
    out = Path(sys.argv[1])
    out.mkdir(parents=True, exist_ok=True)
    for name, text in days().items():
        (out / f"{name}.toml").write_text(text)
    print(f"days={len(days())}")
