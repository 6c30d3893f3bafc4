"""Numbered result codes, and the failure value that carries one. docs/codes.md is generated from the enum."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Code(IntEnum):
    """Result codes. A number never changes its meaning; the comments are the meanings in the table."""

    OK = 0  # done
    UNREACHABLE = 10  # no connection to the other process
    TIMED_OUT = 11  # no answer within the time given: it may have been done
    CLOSED = 12  # the connection ended before the answer: it may have been done
    BAD_MESSAGE = 13  # a message that can't be read
    NO_HANDLER = 14  # the other process does not take this message
    INTERNAL = 15  # the other process failed at it: it may have been done
    NOT_PRIMARY = 20  # another process decides this; ask again later or there
    STALE_EPOCH = 21  # the sender's epoch is lower than one already seen
    NOT_SYNCED = 22  # copies are missing: nothing is promised now
    NO_QUORUM = 23  # too few witnesses answer
    NOT_MEMBER = 24  # no part of the record, so it may not take part
    DISK_FAILED = 25  # the disk refused a write: nothing more is promised from here
    UNKNOWN_JOB = 30  # no such batch job
    UNKNOWN_ITEM = 31  # no such item in the batch job, or it is listed already
    JOB_ENDED = 32  # the batch job has been ended
    BAD_JOB = 33  # a batch job that can't be read
    CONFIG_UNREADABLE = 40  # the configuration can't be read whole
    CONFIG_FIELD = 41  # a field is missing or has the wrong type
    CONFIG_UNKNOWN_SERVICE = 42  # a route names a service that is not there
    CONFIG_SAME_PLACE = 43  # two routes have the same host and prefix
    CONFIG_NO_WEIGHT = 44  # the weights of a route add up to 0
    CONFIG_NO_TIMEOUT = 45  # a timeoutMs is 0
    CONFIG_OLD_NUMBER = 46  # gen is not higher than the current one
    CONFIG_STALE_MATCH = 47  # If-Match is not the current version
    CONFIG_NAMES = 48  # a name stands twice
    CONFIG_FORGOTTEN = 49  # If-Match is older than the changes that are remembered: it may have been accepted
    UNKNOWN_NODE = 50  # no such store machine
    TOO_FEW_LEFT = 51  # too few store machines would be left
    SETTINGS = 60  # the settings file can't be used
    COORDINATION_FIELD = 80  # a field of a call for locks, numbers, keys or watches is missing or can't be used
    COORDINATION_LIMIT = 81  # too many names, bytes or waiting watches: nothing was done
    LOCK_HELD = 82  # another owner may hold the lock still
    LOCK_LOST = 83  # the hold that was to be renewed has ended
    HISTORY_GONE = 84  # the revision to resume from is older than the events that are kept


@dataclass(frozen=True, slots=True)
class Failure:
    """The result of a call that failed; false in a boolean context."""

    code: Code
    reason: str

    def __bool__(self) -> bool:
        """Return False, so that a reply can be tested for failure."""
        return False

    @property
    def maybe_done(self) -> bool:
        """True if the request may have been executed despite the failure."""
        return self.code in (Code.TIMED_OUT, Code.CLOSED, Code.INTERNAL)
