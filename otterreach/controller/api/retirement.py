"""POST and GET /retire/NODE: a store machine is emptied before it is taken away."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from otterreach.controller.api.resource import (
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNCLEAR,
    ControlState,
    encode_item,
    last_segment,
    refusal,
    when_committed,
    write,
)
from otterreach.controller.messages import Operate, Operated
from otterreach.controller.planner import Stores, attainable
from otterreach.controller.survival import Place, SurviveLimits
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.identity import member
from otterreach.runtime.log import log
from otterreach.runtime.store import ReplicatedStore

SERVING = Operated(200, b'{"state":"serving"}')
DONE = Operated(200, b'{"state":"done"}')


class RetirementResource:
    """Orders to empty a store machine. An order is for the disk that the machine has when it comes."""

    def __init__(
        self,
        control: ControlState,
        published: ReplicatedStore,
        stores: Callable[[], Stores | None],
        limits: SurviveLimits,
    ) -> None:
        self.control = control
        self.published = published  # what all copies have
        self.stores = stores  # store machines that were heard of lately; None while that is not known
        self.limits = limits  # what may be lost at once

    async def handle(self, call: Operate) -> Operated:
        node = last_segment(call.path)
        if call.method == "POST":
            return await self._begin(node)
        if call.method != "GET":
            return METHOD_NOT_ALLOWED
        if not await self.control.confirm():
            return UNCLEAR
        return self._progress(node)

    def _progress(self, node: str) -> Operated:
        known = _store_member(self.published, node)
        order = self.published.get(f"retire/{node}")
        if not _is_for(order, known):
            return SERVING if known else NOT_FOUND
        return DONE if self._is_given_on(member(node, order["disk"])) else SERVING

    def _is_given_on(self, name: str) -> bool:
        """Whether every partition is at full strength without this disk, by the records that all copies have.

        Primary and backups hold every acknowledged write on disk; learners may not, and who is silent doesn't count.
        """
        stores = self.stores()
        if stores is None:
            return False
        limits = stores.attainable(self.limits)
        for partition in self.published.named("part").values():
            members = [partition["primary"], *partition["backups"]]
            if name in (*members, *partition["joining"]) or not stores.outlast(members, limits):
                return False
        return True

    async def _begin(self, node: str) -> Operated:
        state = self.control.state
        known, order = _store_member(state, node), state.get(f"retire/{node}")
        if _is_for(order, known):
            return await when_committed(self.control, OK)
        if known is None:
            return await when_committed(self.control, refusal(Failure(Code.UNKNOWN_NODE, node)))
        staying = self._staying(node)
        leaving = Place(known.get("zone", ""), known.get("region", ""))
        reason = self._too_few(staying, leaving)
        if reason:
            return await when_committed(self.control, refusal(Failure(Code.TOO_FEW_LEFT, reason)))
        stores = self.stores()
        if stores is None or self._too_few({m: p for m, p in staying.items() if m in stores.places}, leaving):
            return UNCLEAR  # some are silent just now: whether too few would be left is not known
        done = await write(self.control, [(f"retire/{node}", encode_item({"disk": known["disk"]}))])
        log("retire", store=node, done=done)
        return OK if done else UNCLEAR

    def _too_few(self, staying: dict[str, Place], leaving: Place) -> str:
        """Why those that stay can't keep what there is as safe as it is; empty if they can."""
        if len(staying) <= self.limits.nodes:
            return f"{len(staying)} others"
        now = attainable([*staying.values(), leaving], self.limits)
        then = attainable(staying.values(), self.limits)
        if then != now:
            return f"the others outlast the loss of {then.zones} zones and {then.regions} regions only"
        return ""

    def _staying(self, node: str) -> dict[str, Place]:
        """The places of the other store machines, as node#disk, less those that are being emptied."""
        state = self.control.state
        orders = state.named("retire")
        return {
            member(name, known["disk"]): Place(known.get("zone", ""), known.get("region", ""))
            for name, known in state.named("member").items()
            if name != node and known["role"] == "store" and not _is_for(orders.get(name), known)
        }


def _store_member(state: ReplicatedStore, node: str) -> dict[str, Any] | None:
    known: dict[str, Any] | None = state.get(f"member/{node}")
    return known if known and known["role"] == "store" else None


def _is_for(order: dict[str, Any] | None, known: dict[str, Any] | None) -> bool:
    """Whether the order is for the disk of the machine that is known now; a machine that has gone keeps its order."""
    return order is not None and (known is None or order["disk"] == known["disk"])
