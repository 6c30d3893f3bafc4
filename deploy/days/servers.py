"""Days for the users' bench with network faults between proxies and model servers.

They test that items are assigned to model servers that can be reached.

python3 deploy/days/servers.py OUT writes one TOML file per day. The days are independent of the site.
"""

from __future__ import annotations

import sys
from pathlib import Path

from control import changes, day

CUTS = 'kind = "srv_cut", share = 0.5, for_s = 5.0'
LOSSY_CUTS = 'kind = "srv_cut", share = 0.6, for_s = 6.0'


def proxies_cut_off() -> dict[str, str]:
    """Some proxies can't reach any model server, or can't reach any of the counted machines."""
    servers = [f'at = {at}, kind = "node_cut", share = 0.4, for_s = 4.0, how = "servers"' for at in (4.0, 14.0, 24.0)]
    counted = [f'at = {at}, kind = "node_cut", share = 0.3, for_s = 3.0' for at in (6.0, 17.0)]
    others = [f'at = {at}, kind = "node_cut", share = 0.3, for_s = 3.0, how = "all"' for at in (9.0, 21.0)]
    return {
        "servers-proxies": day("servers-proxies", [], servers),
        "servers-proxies-counted": day("servers-proxies-counted", changes(3.0, 2.0, 10), [*servers, *counted, *others]),
    }


def servers_cut_off() -> dict[str, str]:
    """Some model servers lose the connection to some proxies, or packets on it."""
    found = {}
    for how in ("fronts", "some", "some lossy", "some reset", "fronts one_way"):
        cuts = [f'at = {at}, {CUTS}, how = "{how}"' for at in (4.0, 13.0, 22.0)]
        name = "servers-" + how.replace(" ", "-").replace("_", "-")
        found[name] = day(name, [], cuts)
    return found


def cuts_and_losses() -> dict[str, str]:
    """Both kinds of network partition, while a job store node or proxies that run items are lost."""
    both = [
        'at = 5.0, kind = "node_cut", share = 0.5, for_s = 4.0, how = "servers"',
        f'at = 5.5, {CUTS}, how = "some"',
        f'at = 16.0, {LOSSY_CUTS}, how = "some lossy"',
    ]
    stores = [
        'at = 6.5, kind = "node_kill", on = "store", count = 1, for_s = 2.0, how = "power"',
        'at = 18.0, kind = "node_freeze", on = "store", count = 1, for_s = 3.0',
    ]
    proxies = [
        'at = 7.0, kind = "node_kill", share = 0.3, for_s = 2.0, how = "power"',
        'at = 19.0, kind = "node_freeze", share = 0.3, for_s = 3.0',
    ]
    return {
        "servers-and-stores": day("servers-and-stores", [], [*both, *stores]),
        "servers-and-proxies": day("servers-and-proxies", [], [*both, *proxies]),
    }


def days() -> dict[str, str]:
    """Return the text of all days by name."""
    return proxies_cut_off() | servers_cut_off() | cuts_and_losses()


if __name__ == "__main__":
    out = Path(sys.argv[1])
    out.mkdir(parents=True, exist_ok=True)
    for name, text in days().items():
        (out / f"{name}.toml").write_text(text)
    print(f"days={len(days())}")
