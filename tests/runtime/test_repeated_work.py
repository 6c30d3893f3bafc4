"""Steps repeated without progress are counted and logged at each doubling; progress resets the count."""

from __future__ import annotations

import unittest
from unittest import mock

from otterreach.runtime import repeated_work
from otterreach.runtime.repeated_work import FIRST_WARNING, MAX_SUBJECTS, RepeatedWork


class RepeatedWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.work = RepeatedWork("step")

    def warnings(self, times: int) -> list[int]:
        with mock.patch.object(repeated_work, "log") as log:
            for _ in range(times + 1):  # the first call is not a repetition
                self.work.record("a", 1)
        return [call.kwargs["times"] for call in log.call_args_list]

    def test_logged_at_each_doubling(self) -> None:
        self.assertEqual([FIRST_WARNING, 2 * FIRST_WARNING, 4 * FIRST_WARNING], self.warnings(5 * FIRST_WARNING))
        self.assertEqual((5 * FIRST_WARNING, 5 * FIRST_WARNING), (self.work.total, self.work.max_repetitions()))

    def test_progress_is_not_a_repetition(self) -> None:
        with mock.patch.object(repeated_work, "log") as log:
            for number in range(1000):
                self.work.record("a", number)
        log.assert_not_called()
        self.assertEqual((0, 0), (self.work.total, self.work.max_repetitions()))

    def test_subjects_are_independent(self) -> None:
        for number in range(FIRST_WARNING):
            self.work.record(f"subject {number}", 1)
        self.assertEqual(0, self.work.total)

    def test_recorded_subjects_are_bounded(self) -> None:
        for number in range(3 * MAX_SUBJECTS):
            self.work.record(f"subject {number}", 1)
        self.assertEqual(MAX_SUBJECTS, len(self.work._subjects))


if __name__ == "__main__":
    unittest.main()
