"""Client for the control calls of a model server: its report, and orders to load weights.

Both calls name the intended server, so that another server at its address executes neither. An order also names the
number of orders that the server has accepted so far, so that a server accepts at most one of two copies of an order.
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

CALL_TIMEOUT_S = 1.0


class Client(Protocol):
    """The subset of otterreach.runtime.http_client.JsonClient that is used here."""

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
    """An order to load a version of a model's weights."""

    model: str
    gen: int
    owner: str
    fence: int
    expect: int | None  # orders that the server has accepted so far; None: unknown
    op: str = "gen"
    method: str = "wait"

    def encode(self) -> bytes:
        """Return the body of `POST /order`."""
        return json.dumps({name: value for name, value in asdict(self).items() if value is not None}).encode()


class OrderResult(Enum):
    """The result of an order."""

    ACCEPTED = auto()  # the server is executing it
    ALREADY_LOADED = auto()  # the server has that version already
    CONFLICT = auto()  # rejected: another order is in progress, or `expect` does not match
    FENCED = auto()  # rejected: the server has seen a higher fencing token
    WRONG_SERVER = auto()  # rejected: the address belongs to another server
    REJECTED = auto()  # rejected: the server does not know such an order
    NOT_SENT = auto()  # no byte of it was written
    UNCLEAR = auto()  # possibly accepted: the server's report shows the outcome


BY_STATUS: dict[int, OrderResult] = {
    HTTPStatus.OK: OrderResult.ALREADY_LOADED,
    HTTPStatus.ACCEPTED: OrderResult.ACCEPTED,
    HTTPStatus.BAD_REQUEST: OrderResult.REJECTED,
    HTTPStatus.CONFLICT: OrderResult.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: OrderResult.FENCED,
    HTTPStatus.MISDIRECTED_REQUEST: OrderResult.WRONG_SERVER,
}


@dataclass(frozen=True, slots=True)
class Report:
    """A server's state, possibly several hundred ms old."""

    busy: bool  # an order is in progress
    calls: int | None  # orders accepted since the server's start; None if not reported
    versions: Mapping[str, int]  # by model


def read_report(body: bytes) -> Report | None:
    """Parse a report; return None if it is malformed."""
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
        """Return the server's report, or None if there is no valid answer."""
        # The answer to an identical earlier call will do: any report may be several hundred ms old, and `expect`
        # protects an order against outdated ones.
        reply = await self._client.call(
            self.address, "GET", "/report", b"", CALL_TIMEOUT_S, headers=self._headers, interchangeable=True
        )
        if isinstance(reply, Failure) or reply.status != HTTPStatus.OK:
            return None
        return read_report(reply.body)

    async def order(self, order: Order, may_write: Callable[[], bool]) -> tuple[OrderResult, int]:
        """Send an order and return its result and the status, which is 0 without an answer.

        `may_write` is called right before the order is written.
        """
        reply = await self._client.call(
            self.address, "POST", "/order", order.encode(), CALL_TIMEOUT_S, may_write, self._headers
        )
        if isinstance(reply, Failure):
            not_sent = reply.code in (Code.UNREACHABLE, Code.STALE_EPOCH)
            return OrderResult.NOT_SENT if not_sent else OrderResult.UNCLEAR, 0
        return BY_STATUS.get(reply.status, OrderResult.UNCLEAR), reply.status
