"""RPC messages from proxies to the primary controller about the servers whose order leases they hold."""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.runtime.codec import Request, message
from otterreach.runtime.rpc_messages import Done


@message(90)
@dataclass(slots=True)
class ModelLoaded(Request[Done]):
    """A report that a server has loaded a version of a model."""

    server: str
    model: str
    version: int


@message(91)
@dataclass(slots=True)
class LeaseRelease(Request[Done]):
    """The release of a server's order lease by its holder."""

    node: str
    server: str
    since_last_order_ms: int
