"""Detection of work that is repeated without progress, which is counted and logged.

Code that may repeat a step records each execution with its subject and the subject's progress. Unchanged progress makes
it a repetition. A loop that spins shows as a rising count; one that is merely busy does not.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from otterreach.runtime.log import log

FIRST_WARNING = 16  # number of repetitions at which the first warning is logged; the next ones follow at each doubling
MAX_SUBJECTS = 500  # limit of the recorded subjects; the oldest ones are evicted


class Repetition:
    """The number of times a step was repeated for one subject at the same progress."""

    __slots__ = ("progress", "times")

    def __init__(self, progress: Hashable) -> None:
        self.progress = progress
        self.times = 0


class RepeatedWork:
    """The repetitions of one kind of step, which log lines and metrics identify by `name`."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.total = 0
        self._subjects: OrderedDict[str, Repetition] = OrderedDict()

    def record(self, subject: str, progress: Hashable) -> None:
        """Record that the step is about to be executed for a subject at this progress."""
        known = self._subjects.get(subject)
        if known is None or known.progress != progress:
            self._subjects[subject] = Repetition(progress)
            self._subjects.move_to_end(subject)
            if len(self._subjects) > MAX_SUBJECTS:
                self._subjects.popitem(last=False)
            return
        known.times += 1
        self.total += 1
        if known.times >= FIRST_WARNING and known.times & (known.times - 1) == 0:
            log("no_progress", level="WARNING", work=self.name, subject=subject, times=known.times)

    def max_repetitions(self) -> int:
        """Return the highest number of repetitions of a single subject."""
        return max((known.times for known in self._subjects.values()), default=0)
