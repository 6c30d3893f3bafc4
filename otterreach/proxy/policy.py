"""Switches for the mechanisms of server selection; docs/policy.md lists the measured effect of each.

All mechanisms are enabled in production. Switches exist for measurements with one mechanism disabled, and for tests.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Policy:
    """The mechanisms that are enabled."""

    load_in_draw: bool = True  # weigh servers by L_i, their current load
    response_time_in_draw: bool = True  # weigh servers by x_i, their recent response times
    prefer_idle_connections: bool = True  # favour servers that have an idle connection
    share_slots: bool = True  # limit the items of one proxy at a server to its share of the slots
    avoid_failed_server: bool = True  # send the next attempt of an item to a different server
    end_stalled_attempts: bool = True  # end an attempt of an item whose server has stopped sending data


PRODUCTION_POLICY = Policy()
