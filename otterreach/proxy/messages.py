"""What proxies tell the primary controller about the servers whose weights they have in hand."""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.runtime.codec import message


@message(90)
@dataclass(slots=True)
class Loaded:
    """A server has a version of a model now. Done, or a Failure."""

    server: str
    model: str
    gen: int


@message(91)
@dataclass(slots=True)
class Release:
    """The holder of a server's orders gives them up; its last order went out so long ago. Done, or a Failure."""

    node: str
    server: str
    ordered_ms: int
