"""RPC messages from proxies to the primary controller about the servers whose order leases they hold."""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.runtime.codec import Request, message
from otterreach.runtime.rpc import Done


@message(90)
@dataclass(slots=True)
class ModelLoaded(Request[Done]):
    """A server has a version of a model now."""

    server: str
    model: str
    version: int


@message(91)
@dataclass(slots=True)
class LeaseRelease(Request[Done]):
    """The holder of a server's order lease gives it back."""

    node: str
    server: str
    since_last_order_ms: int
