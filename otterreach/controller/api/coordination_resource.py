"""Base class of the lock, number, key and watch resources, which rejects invalid calls."""

from __future__ import annotations

from abc import ABC, abstractmethod

from otterreach.controller.api.coordination_answers import refusal
from otterreach.controller.api.coordination_fields import FieldError
from otterreach.controller.messages import ApiCall, ApiResponse


class CoordinationResource(ABC):
    """Handles the calls of one resource on the primary."""

    async def handle(self, call: ApiCall) -> ApiResponse:
        """Return the response. 400 names the invalid field, in which case nothing has been changed."""
        try:
            return await self.decide(call)
        except FieldError as error:
            return refusal(error.failure)

    @abstractmethod
    async def decide(self, call: ApiCall) -> ApiResponse:
        """Return the response to a call. Raise FieldError before anything is changed."""
