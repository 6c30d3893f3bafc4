"""Simulated clients and operator. Clients arrive at random, whatever the answers (open loop)."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from otterreach.cli.caller import send_request
from otterreach.loadtest.latency import Latencies
from otterreach.loadtest.plan import HOST, Clients, configuration
from otterreach.loadtest.play_context import PlayContext
from otterreach.loadtest.verify import check_success
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

FINAL_STATUSES = (400, 401, 404, 413, 431)  # final as a success is: a request with such an answer is not retried
NOT_RUN_STATUSES = (408, 421, 429, 503)  # guarantee that the request has not run
RETRY_S = 0.05


@dataclass
class Tally:
    """Outcomes of the requests of one route. `by_second`: numbers sent and served in time, by second of sending."""

    name: str
    latencies: Latencies = field(default_factory=Latencies)
    asked: int = 0
    served: int = 0
    late: int = 0
    statuses: dict[str, int] = field(default_factory=dict)  # final status of the requests without success
    by_second: dict[int, list[int]] = field(default_factory=dict)

    def record(self, second: int, took_s: float, target_s: float, failure: str) -> None:
        """Count a finished request; `failure` is empty for a success."""
        self.asked += 1
        row = self.by_second.setdefault(second, [0, 0])
        row[0] += 1
        if failure:
            self.statuses[failure] = self.statuses.get(failure, 0) + 1
            return
        self.served += 1
        self.latencies.add(took_s)
        in_time = took_s <= target_s
        self.late += not in_time
        row[1] += in_time


class Callers:
    """The clients of one `clients` row of the plan."""

    def __init__(self, context: PlayContext, row: Clients, started_at: float, faults: list[str]) -> None:
        self.context = context
        self.row = row
        self.started_at = started_at
        self.faults = faults
        self.route = context.plan.route_named(row.route)
        self.tally = Tally(row.route)
        self.sent: dict[str, bool] = {}  # requests of a mutating route: id -> whether it was refused
        self._open: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until the play stops, then wait for the outstanding answers."""
        count = 0
        while not self.context.stopping:
            await asyncio.sleep(self.context.random.expovariate(self.row.rate))
            count += 1
            task = asyncio.ensure_future(self._client(f"client-{count % 50}"))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        if self._open:
            await asyncio.wait(self._open)

    async def _client(self, client: str) -> None:
        context = self.context
        begun = self.context.now()
        zone = context.random.choice(context.plan.zones)
        end = begun + self.row.deadline_ms / 1000
        failure = ""
        path = f"{self.route.prefix}{context.random.getrandbits(24):x}"
        for attempt in range(self.row.retries + 1):
            ident = context.ident()
            body = context.random.randbytes(self.row.body_bytes)
            remaining_s = end - context.now()
            if remaining_s <= 0:
                break
            headers = {b"Request-Id": ident.encode(), b"Deadline-Ms": b"%d" % (remaining_s * 1000)}
            address = context.entry.pick(zone, f"{client} {attempt}")
            answer = await send_request(address, "POST", path, body, headers, remaining_s, HOST)
            failure = self._classify(ident, body, answer)
            if self.route.kind == "mutating":
                self.sent[ident] = not isinstance(answer, Failure) and answer.status in NOT_RUN_STATUSES
            if not failure or not self._may_retry(answer):
                break
            await asyncio.sleep(min(self._retry_delay_s(answer), max(0.0, (end - context.now()) / 3)))
        second = int(begun - self.started_at)
        self.tally.record(second, context.now() - begun, self.route.target_ms / 1000, failure)

    def _retry_delay_s(self, answer: http1.Response | Failure) -> float:
        retry_after = b"" if isinstance(answer, Failure) else answer.headers.get(b"retry-after", b"")
        try:
            return float(retry_after or RETRY_S)
        except ValueError:
            return RETRY_S

    def _may_retry(self, answer: http1.Response | Failure) -> bool:
        if isinstance(answer, Failure):
            return self.route.kind == "idem"
        return answer.status in NOT_RUN_STATUSES or self.route.kind == "idem" and answer.status not in FINAL_STATUSES

    def _classify(self, ident: str, body: bytes, answer: http1.Response | Failure) -> str:
        """Return the failure, or "" for a success. Record a fault if no server made the body or seal for it."""
        if isinstance(answer, Failure):
            return answer.code.name.lower()
        if not 200 <= answer.status < 300:
            return str(answer.status)
        if fault := check_success(ident, body, answer, self.context.ground_truth):
            self.faults.append(f"{self.row.route}: {fault}")
            return "wrong"
        return ""


class Operator:
    """Simulated operator: puts the configuration, and reads it back at the end."""

    def __init__(self, context: PlayContext) -> None:
        self.context = context
        self.sent = configuration(context.plan)

    async def put(self, within_s: float) -> bool:
        """Put the first configuration; retry until it is accepted. Return whether it was."""
        body = json.dumps(self.sent).encode()
        headers = {b"If-Match": b"0", b"Content-Type": b"application/json"}
        answer = await self.context.ctl.call("PUT", "/config", body, headers, within_s)
        return not isinstance(answer, Failure) and answer.status == 200

    async def read_back(self) -> str:
        """Return how the configuration read back differs from the one sent; empty if it does not."""
        answer = await self.context.ctl.call("GET", "/config", within_s=self.context.seconds("contactMs") + 3)
        if isinstance(answer, Failure):
            return f"configuration cannot be read back: {answer.reason}"
        if answer.status != 200:
            return f"configuration cannot be read back: expected status 200, got {answer.status}"
        got: dict[str, Any] = json.loads(answer.body)
        return "" if got == self.sent else f"configuration read back differs from the one sent: gen {got.get('gen')}"
