"""Messages of the RPC protocol itself: the reply to a failed request, and the reply without a result."""

from __future__ import annotations

from dataclasses import dataclass

from otterreach.runtime.codec import message
from otterreach.runtime.codes import Code, Failure


@message(1)
@dataclass(slots=True)
class FailureReply:
    """The wire form of a Failure."""

    code: int
    reason: str


@message(2)
@dataclass(slots=True)
class Done:
    """The reply to a request that has no other result."""

    ok: bool = True


def to_failure(reply: FailureReply) -> Failure:
    """Convert a received failure.

    A newer version may send a code that is unknown here. It becomes INTERNAL, since the request may have been handled.
    """
    try:
        return Failure(Code(reply.code), reply.reason)
    except ValueError:
        return Failure(Code.INTERNAL, f"code {reply.code}: {reply.reason}")
