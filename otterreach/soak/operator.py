"""Operator of a soak: submits configuration changes and tracks the newest acknowledged one."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

from otterreach.cli.caller import Caller
from otterreach.loadtest.plan import Plan, configuration
from otterreach.runtime.codes import Failure

CHANGE_TIMEOUT_S = 6.0
READ_TIMEOUT_S = 6.0
INITIAL_TIMEOUT_S = 30.0


class ConfigurationOperator:
    """Submits one configuration change at a time. `acknowledged`: the newest version that was answered with 200."""

    def __init__(self, plan: Plan, addresses: Callable[[], list[str]], random: Random) -> None:
        self.plan = plan
        self.addresses = addresses
        self.random = random
        self.acknowledged = 0
        self._newest_submitted = 0
        self._in_flight = False

    def _caller(self) -> Caller:
        return Caller(self.addresses(), self.random)

    async def _put(self, version: int, base: int, within_s: float) -> bool:
        body = json.dumps(configuration(self.plan, version)).encode()
        headers = {b"If-Match": b"%d" % base, b"Content-Type": b"application/json"}
        answer = await self._caller().call("PUT", "/config", body, headers, within_s)
        return not isinstance(answer, Failure) and answer.status == 200

    async def submit_initial(self) -> bool:
        """Submit the initial configuration; return True if it was accepted."""
        self._newest_submitted = 1
        if await self._put(1, 0, INITIAL_TIMEOUT_S):
            self.acknowledged = 1
        return self.acknowledged == 1

    async def submit_change(self) -> None:
        """Submit a change on top of the current configuration, unless one is in flight."""
        if self._in_flight:
            return
        self._in_flight = True
        try:
            current = await self.read()
            if current is None:
                return
            self._newest_submitted = max(self._newest_submitted, current) + 1
            if await self._put(self._newest_submitted, current, CHANGE_TIMEOUT_S):
                self.acknowledged = max(self.acknowledged, self._newest_submitted)
        finally:
            self._in_flight = False

    async def read(self) -> int | None:
        """Return the version of the current configuration; None if the read failed."""
        answer = await self._caller().call("GET", "/config", within_s=READ_TIMEOUT_S)
        if isinstance(answer, Failure) or answer.status != 200:
            return None
        return int(json.loads(answer.body)["gen"])
