"""The mechanisms of the proxy's decisions, each with a switch: docs/policy.md tells what each is worth.

All are on in service. A switch serves measurements, in which one is off, and tests.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """Which mechanisms are on."""

    load_in_draw: bool = True  # L_i of the draw: what a server has to do already
    response_time_in_draw: bool = True  # x_i of the draw: how long its answers took of late
    prefer_idle_connections: bool = True  # servers that can be reached without a new connection have better odds
    share_slots: bool = True  # no proxy fills a server's queue with items by itself
    avoid_failed_server: bool = True  # the next attempt of an item goes elsewhere
    end_stalled_attempts: bool = True  # an item's attempt ends when its server says nothing for long


IN_SERVICE = Policy()
