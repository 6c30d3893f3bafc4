"""What a proxy asks of a model server besides requests: its report, and an order to load weights.

Both name the server that is meant, so that another one at its address does neither. An order also names how many
orders the server has taken by its last report: of two copies of one order a server takes at most one.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from enum import Enum, auto
from http import HTTPStatus
from typing import Protocol

from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.http import Reply

CALL_S = 1.0


class Client(Protocol):
    """What is used of otterreach.runtime.http_client.JsonClient."""

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        may_write: Callable[[], bool] = ...,
        headers: Mapping[str, str] = ...,
        interchangeable: bool = ...,
    ) -> Reply | Failure:
        """See JsonClient.call."""


@dataclass(frozen=True, slots=True)
class Order:
    """Bring a model to a version of its weights."""

    model: str
    gen: int
    owner: str
    fence: int
    expect: int | None  # orders that the server has taken so far; None: not known
    op: str = "gen"
    method: str = "wait"

    def encode(self) -> bytes:
        """The body of `POST /order`."""
        return json.dumps({name: value for name, value in asdict(self).items() if value is not None}).encode()


class OrderResult(Enum):
    """What became of an order."""

    TAKEN = auto()  # the server is doing it
    HOLDS = auto()  # the server had that version already
    CONFLICT = auto()  # not taken: another one is under way, or it has taken others than was expected
    FENCED = auto()  # not taken: the server has seen a higher fence
    WRONG_SERVER = auto()  # not taken: the address belongs to another server
    REJECTION_SAMPLE = auto()  # not taken: no such order
    NOT_SENT = auto()  # never written whole
    UNCLEAR = auto()  # it may have been taken: the report tells


BY_STATUS: dict[int, OrderResult] = {
    HTTPStatus.OK: OrderResult.HOLDS,
    HTTPStatus.ACCEPTED: OrderResult.TAKEN,
    HTTPStatus.BAD_REQUEST: OrderResult.REJECTION_SAMPLE,
    HTTPStatus.CONFLICT: OrderResult.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: OrderResult.FENCED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderResult.WRONG_SERVER,
}


@dataclass(frozen=True, slots=True)
class Report:
    """A server's state, as it was some hundred ms ago."""

    busy: bool  # an order is under way
    calls: int | None  # orders taken since its start; None where it doesn't tell
    versions: Mapping[str, int]  # by model


def read_report(body: bytes) -> Report | None:
    """None if it can't be read."""
    try:
        raw = json.loads(body)
        versions = {str(model["name"]): int(model["gen"]) for model in raw["models"]}
        calls = raw.get("calls")
        return Report(bool(raw["busy"]), calls if isinstance(calls, int) else None, versions)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


class ModelServer:
    """One incarnation of a server, at its address."""

    def __init__(self, client: Client, ident: str, address: str) -> None:
        self.ident = ident
        self.address = address
        self._client = client
        self._headers = {"Expect-Server": ident}

    async def report(self) -> Report | None:
        """None if this server gives none that can be read."""
        # An earlier report does as well: each is some hundred ms old, and an order guards itself by `expect`.
        reply = await self._client.call(
            self.address, "GET", "/report", b"", CALL_S, headers=self._headers, interchangeable=True
        )
        if isinstance(reply, Failure) or reply.status != HTTPStatus.OK:
            return None
        return read_report(reply.body)

    async def order(self, order: Order, may_write: Callable[[], bool]) -> tuple[OrderResult, int]:
        """What became of it, and the status; 0 without an answer. `may_write` is asked right before it is written."""
        reply = await self._client.call(
            self.address, "POST", "/order", order.encode(), CALL_S, may_write, self._headers
        )
        if isinstance(reply, Failure):
            not_sent = reply.code in (Code.UNREACHABLE, Code.STALE_EPOCH)
            return OrderResult.NOT_SENT if not_sent else OrderResult.UNCLEAR, 0
        return BY_STATUS.get(reply.status, OrderResult.UNCLEAR), reply.status
