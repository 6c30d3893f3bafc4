"""What the resources of locks, numbers, keys and watches have in common: a call that can't be read is refused."""

from __future__ import annotations

from abc import ABC, abstractmethod

from otterreach.controller.api.coordination_answers import refusal
from otterreach.controller.api.coordination_fields import FieldError
from otterreach.controller.messages import ApiCall, ApiResponse


class CoordinationResource(ABC):
    """Handles the calls of one kind, at the primary."""

    async def handle(self, call: ApiCall) -> ApiResponse:
        """The answer; 400 names the field that can't be used, and nothing was changed."""
        try:
            return await self.decide(call)
        except FieldError as error:
            return refusal(error.failure)

    @abstractmethod
    async def decide(self, call: ApiCall) -> ApiResponse:
        """The answer to a call. Raises FieldError before anything is changed."""
