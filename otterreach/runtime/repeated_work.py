"""Work that is done again and again without progress: counted, and logged before it costs a process its time.

Whoever may repeat a step notes each time what it was for and how far that has come. The same progress as before is a
repetition. A loop that spins shows as a count that rises; one that is merely busy does not.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from otterreach.runtime.log import log

FIRST_WARNING = 16  # repetitions; then at each doubling
MAX_SUBJECTS = 500  # those noted longest ago are forgotten


class Repetition:
    """How often a step was done for one subject at the same progress."""

    __slots__ = ("progress", "times")

    def __init__(self, progress: Hashable) -> None:
        self.progress = progress
        self.times = 0


class RepeatedWork:
    """The repetitions of one kind of step. `name` stands in log lines and figures."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.total = 0
        self._subjects: OrderedDict[str, Repetition] = OrderedDict()

    def note(self, subject: str, progress: Hashable) -> None:
        """The step is about to be done for a subject that has come so far."""
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

    def most(self) -> int:
        """The repetitions of the subject that has most."""
        return max((known.times for known in self._subjects.values()), default=0)
