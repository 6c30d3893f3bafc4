"""What a coordination call raises."""

from __future__ import annotations


class CoordinationError(Exception):
    """Any failure of a call."""


class UnavailableError(CoordinationError):
    """No address took the call in time. It has not been done and never will be."""


class OutcomeUnknownError(CoordinationError):
    """No clear answer came in time. The call may have been done, or may be done later."""


class RequestRejectedError(CoordinationError):
    """The service does not accept the call as it stands. Nothing was done."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"{status}: {reason}")
        self.status = status
        self.reason = reason


class LockHeldError(CoordinationError):
    """Another holder had the lock for the whole time that the caller was ready to wait."""


class LeaseLostError(CoordinationError):
    """The lock is not held any more, or can't be held for long enough to go on."""


class RevisionConflictError(CoordinationError):
    """The key is not at the expected revision. The value was not stored and never will be."""

    def __init__(self, name: str, expected: int, actual: int) -> None:
        super().__init__(f"{name} is at revision {actual}, not {expected}")
        self.name = name
        self.expected = expected
        self.actual = actual
