"""Result codes of the command line alone. Its exit codes are these and those of otterreach.runtime.codes."""

from __future__ import annotations

from enum import IntEnum

FAULT = 1  # of this program or its arguments


class ExitCode(IntEnum):
    """Each number keeps its meaning for ever; the comment is what it means."""

    DATA_TORN = 70  # the end of a data file is not whole: normal after a loss of power
    DATA_DAMAGED = 71  # a record of a data file is bad, though it had been synced
    DATA_MISSING = 72  # the data file can't be opened
    DIFFERENT = 73  # the two configurations differ
    NOT_THERE = 74  # nothing of that name, or no configuration yet
    OTHER_REVISION = 75  # the key is not at the expected revision: nothing was stored
