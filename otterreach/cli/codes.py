"""Result codes specific to the command line. Its exit codes are these and those of otterreach.runtime.codes."""

from __future__ import annotations

from enum import IntEnum

FAULT = 1  # exit code of an internal error or of invalid arguments


class ExitCode(IntEnum):
    """Exit codes. A number never changes its meaning; the comment beside it states the meaning."""

    DATA_TORN = 70  # the last record of a data file is incomplete: expected after a power loss
    DATA_DAMAGED = 71  # a record of a data file is corrupt although it had been synced
    DATA_MISSING = 72  # the data file can't be opened
    DIFFERENT = 73  # the two configurations differ
    NOT_THERE = 74  # no object of that name, or no configuration yet
    OTHER_REVISION = 75  # the key is not at the expected revision; nothing was stored
