"""The operator of a soak: changes of the configuration, and what must be in force at the end."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random

from otterreach.cli.caller import Caller
from otterreach.loadtest.plan import Plan, configuration
from otterreach.runtime.codes import Failure

CHANGE_WITHIN_S = 6.0
READ_WITHIN_S = 6.0
FIRST_WITHIN_S = 30.0


class ConfigurationOperator:
    """Sends one change after the other. `acknowledged`: the newest one that was answered 200."""

    def __init__(self, plan: Plan, addresses: Callable[[], list[str]], random: Random) -> None:
        self.plan = plan
        self.addresses = addresses
        self.random = random
        self.acknowledged = 0
        self._sent = 0
        self._busy = False

    def _caller(self) -> Caller:
        return Caller(self.addresses(), self.random)

    async def _put(self, number: int, over: int, within_s: float) -> bool:
        body = json.dumps(configuration(self.plan, number)).encode()
        headers = {b"If-Match": b"%d" % over, b"Content-Type": b"application/json"}
        answer = await self._caller().call("PUT", "/config", body, headers, within_s)
        return not isinstance(answer, Failure) and answer.status == 200

    async def first(self) -> bool:
        """The first configuration; whether it was accepted."""
        self._sent = 1
        if await self._put(1, 0, FIRST_WITHIN_S):
            self.acknowledged = 1
        return self.acknowledged == 1

    async def change(self) -> None:
        """One change on top of the present configuration, if none is under way."""
        if self._busy:
            return
        self._busy = True
        try:
            present = await self.read()
            if present is None:
                return
            self._sent = max(self._sent, present) + 1
            if await self._put(self._sent, present, CHANGE_WITHIN_S):
                self.acknowledged = max(self.acknowledged, self._sent)
        finally:
            self._busy = False

    async def read(self) -> int | None:
        """The number of the present configuration; None without an answer."""
        answer = await self._caller().call("GET", "/config", within_s=READ_WITHIN_S)
        if isinstance(answer, Failure) or answer.status != 200:
            return None
        return int(json.loads(answer.body)["gen"])
