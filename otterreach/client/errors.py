"""Exceptions raised by calls of the coordination service."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of all failures of a call."""


class UnavailableError(CoordinationError):
    """No address accepted the call in time. The call was not executed and never will be."""


class OutcomeUnknownError(CoordinationError):
    """No conclusive answer arrived in time. The call may have been executed, or may still be executed later."""


class RequestRejectedError(CoordinationError):
    """The service rejected the call as invalid. Nothing was executed."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class LockHeldError(CoordinationError):
    """Another owner, or another task of this process, held the lock for the caller's whole wait time."""


class LeaseLostError(CoordinationError):
    """The lease has expired or was lost, or too little of it remains to continue."""


class RevisionConflictError(CoordinationError):
    """The key is not at the expected revision. The value was not stored and never will be."""

    def __init__(self, name: str, expected: int, actual: int) -> None:
        super().__init__(f"{name} is at revision {actual}, not {expected}")
        self.name = name
        self.expected = expected
        self.actual = actual
