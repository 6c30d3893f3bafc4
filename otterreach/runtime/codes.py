"""Numbered result codes, and the failure value that carries one. docs/codes.md is generated from the enum."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Code(IntEnum):
    """Result codes. A number never changes its meaning; the comments are the meanings in the table."""

    OK = 0  # done
    UNREACHABLE = 10  # no connection to the other process
    TIMED_OUT = 11  # no answer within the time-out: the request may have been executed
    CLOSED = 12  # the connection ended before the answer: the request may have been executed
    BAD_MESSAGE = 13  # the message, or the result that it reports, is malformed or invalid
    NO_HANDLER = 14  # the other process has no handler for the message
    INTERNAL = 15  # the other process failed while it handled the request, which may have been executed
    NOT_PRIMARY = 20  # the receiver is not the primary, or knows none: retry later or at the primary
    STALE_EPOCH = 21  # the sender's epoch is lower than one already seen
    NOT_SYNCED = 22  # replicas are missing or out of sync: the request can't be acknowledged now
    NO_QUORUM = 23  # too few witnesses answer
    NOT_MEMBER = 24  # the receiver is not the addressed member, e.g. because its disk was replaced: message rejected
    DISK_FAILED = 25  # the disk refused a write: the process acknowledges nothing more
    UNKNOWN_JOB = 30  # no such batch job
    UNKNOWN_ITEM = 31  # no such item in the batch job, or its result is already listed
    JOB_ENDED = 32  # the batch job has ended
    BAD_JOB = 33  # the batch job is malformed or has invalid values
    CONFIG_UNREADABLE = 40  # the configuration can't be read or parsed completely
    CONFIG_FIELD = 41  # a field is missing or has the wrong type
    CONFIG_UNKNOWN_SERVICE = 42  # a route names a service that doesn't exist
    CONFIG_SAME_PLACE = 43  # two routes have the same host and prefix
    CONFIG_NO_WEIGHT = 44  # the weights of a route add up to 0
    CONFIG_NO_TIMEOUT = 45  # a timeoutMs is 0
    CONFIG_OLD_NUMBER = 46  # gen is not higher than the current one
    CONFIG_STALE_MATCH = 47  # If-Match is not the current version
    CONFIG_NAMES = 48  # a name occurs twice
    CONFIG_FORGOTTEN = 49  # If-Match is older than the recorded changes: the change may have been accepted
    UNKNOWN_NODE = 50  # no such job store node
    TOO_FEW_LEFT = 51  # too few job store nodes would be left
    SETTINGS = 60  # the settings file can't be used
    COORDINATION_FIELD = 80  # a field of a call for locks, numbers, keys or watches is missing or can't be used
    COORDINATION_LIMIT = 81  # too many names, bytes or waiting watches: nothing was done
    LOCK_HELD = 82  # another owner may still hold the lock
    LOCK_LOST = 83  # the hold that was to be renewed has ended
    HISTORY_GONE = 84  # the revision to resume from is older than the retained events


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
