"""Clients and the operator. Clients come at random, however the system answers."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from otterreach.cli.caller import ask
from otterreach.loadtest.ground_truth import body_of
from otterreach.loadtest.latency import Latencies
from otterreach.loadtest.plan import HOST, Clients, configuration
from otterreach.loadtest.scene import Scene
from otterreach.runtime.codes import Failure
from otterreach.sidecar import http1

FINAL = (400, 401, 404, 413, 431)  # besides a success: not asked again
PROMISES = (408, 421, 429, 503)
RETRY_S = 0.05


@dataclass
class Tally:
    """What came of the requests of one kind. `by_second`: asked, served in time, by the second they were asked in."""

    name: str
    latencies: Latencies = field(default_factory=Latencies)
    asked: int = 0
    served: int = 0
    late: int = 0
    statuses: dict[str, int] = field(default_factory=dict)  # the last word where it was no success
    by_second: dict[int, list[int]] = field(default_factory=dict)

    def record(self, second: int, took_s: float, target_s: float, word: str) -> None:
        """One request is over; `word`: nothing for a success."""
        self.asked += 1
        row = self.by_second.setdefault(second, [0, 0])
        row[0] += 1
        if word:
            self.statuses[word] = self.statuses.get(word, 0) + 1
            return
        self.served += 1
        self.latencies.add(took_s)
        in_time = took_s <= target_s
        self.late += not in_time
        row[1] += in_time


class Callers:
    """The clients of one row of the plan."""

    def __init__(self, scene: Scene, row: Clients, started_at: float, faults: list[str]) -> None:
        self.scene = scene
        self.row = row
        self.started_at = started_at
        self.faults = faults
        self.route = scene.plan.route_named(row.route)
        self.tally = Tally(row.route)
        self.sent: dict[str, bool] = {}  # on a mutating route: by id, whether it was refused
        self._open: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Until the play stops; then until the last one has its answer."""
        count = 0
        while not self.scene.stopping:
            await asyncio.sleep(self.scene.random.expovariate(self.row.rate))
            count += 1
            task = asyncio.ensure_future(self._client(f"client-{count % 50}"))
            self._open.add(task)
            task.add_done_callback(self._open.discard)
        if self._open:
            await asyncio.wait(self._open)

    async def _client(self, client: str) -> None:
        scene = self.scene
        begun = self.scene.now()
        zone = scene.random.choice(scene.plan.zones)
        end = begun + self.row.deadline_ms / 1000
        word = ""
        path = f"{self.route.prefix}{scene.random.getrandbits(24):x}"
        for turn in range(self.row.retries + 1):
            ident = scene.ident()
            body = scene.random.randbytes(self.row.body_bytes)
            left = end - scene.now()
            if left <= 0:
                break
            headers = {b"Request-Id": ident.encode(), b"Deadline-Ms": b"%d" % (left * 1000)}
            address = scene.entry.pick(zone, f"{client} {turn}")
            answer = await ask(address, "POST", path, body, headers, left, HOST)
            word = self._judge(ident, body, answer)
            if self.route.kind == "mutating":
                self.sent[ident] = not isinstance(answer, Failure) and answer.status in PROMISES
            if not word or not self._again(answer):
                break
            await asyncio.sleep(min(self._pause(answer), max(0.0, (end - scene.now()) / 3)))
        second = int(begun - self.started_at)
        self.tally.record(second, scene.now() - begun, self.route.target_ms / 1000, word)

    def _pause(self, answer: http1.Response | Failure) -> float:
        told = b"" if isinstance(answer, Failure) else answer.headers.get(b"retry-after", b"")
        try:
            return float(told or RETRY_S)
        except ValueError:
            return RETRY_S

    def _again(self, answer: http1.Response | Failure) -> bool:
        if isinstance(answer, Failure):
            return self.route.kind == "idem"
        return answer.status in PROMISES or self.route.kind == "idem" and answer.status not in FINAL

    def _judge(self, ident: str, body: bytes, answer: http1.Response | Failure) -> str:
        """Nothing for a success that is what a server made of this request; a wrong one is a fault of the system."""
        if isinstance(answer, Failure):
            return answer.code.name.lower()
        if not 200 <= answer.status < 300:
            return str(answer.status)
        sealed = self.scene.ground_truth.seals.get(answer.headers.get(b"reply-seal", b"").decode("latin-1"))
        if sealed is None or sealed.request != ident or answer.body != body_of(ident, body):
            self.faults.append(f"{self.row.route}: {ident} was answered with what is not its server's answer")
            return "wrong"
        return ""


class Operator:
    """Sends the configuration, and reads it back at the end."""

    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.sent = configuration(scene.plan)

    async def put(self, within_s: float) -> bool:
        """The first configuration: sent until it is taken."""
        body = json.dumps(self.sent).encode()
        headers = {b"If-Match": b"0", b"Content-Type": b"application/json"}
        answer = await self.scene.ctl.call("PUT", "/config", body, headers, within_s)
        return not isinstance(answer, Failure) and answer.status == 200

    async def read_back(self) -> str:
        """What is wrong with the configuration that comes back; nothing if it is the one that was sent."""
        answer = await self.scene.ctl.call("GET", "/config", within_s=self.scene.seconds("contactMs") + 3)
        if isinstance(answer, Failure):
            return f"the configuration does not come back: {answer.reason}"
        if answer.status != 200:
            return f"the configuration does not come back: {answer.status}"
        got: dict[str, Any] = json.loads(answer.body)
        return "" if got == self.sent else f"the configuration that comes back is another one, gen {got.get('gen')}"
