"""Linearizability checker for operators' histories.

Tests hand-written histories, linearizable or not, and compares the verdict on small random histories with an exhaustive
search over all orders.
"""

from __future__ import annotations

import unittest
from itertools import permutations
from math import inf
from random import Random

from otterreach.simulation.linearizability import Change, Outcome, Read, find_violation

ACKNOWLEDGED, REFUSED, INDETERMINATE = Outcome.ACKNOWLEDGED, Outcome.REFUSED, Outcome.INDETERMINATE


def change(base: int, gen: int, mark: str, called: float, answered: float, outcome: Outcome) -> Change:
    return Change(base, gen, mark, True, called, answered, outcome)


class HistoryTest(unittest.TestCase):
    first = change(0, 1, "a", 0.0, 1.0, ACKNOWLEDGED)

    def assert_good(self, changes: list[Change], reads: list[Read]) -> None:
        self.assertEqual("", find_violation(changes, reads))

    def assert_bad(self, changes: list[Change], reads: list[Read], words: str) -> None:
        self.assertIn(words, find_violation(changes, reads))

    def test_empty(self) -> None:
        self.assert_good([], [])

    def test_read_after_acknowledgement(self) -> None:
        self.assert_good([self.first], [Read(1, ("a",), 2.0, 3.0)])
        self.assert_bad([self.first], [Read(0, (), 2.0, 3.0)], "was not current before")

    def test_read_during_a_change_may_have_either(self) -> None:
        self.assert_good([self.first], [Read(0, (), 0.5, 0.9), Read(1, ("a",), 0.2, 0.6)])

    def test_reads_do_not_go_back_while_the_change_is_unclear(self) -> None:
        second = change(1, 2, "b", 2.0, inf, INDETERMINATE)
        newer, older = Read(2, ("b",), 3.0, 4.0), Read(1, ("a",), 5.0, 6.0)
        self.assert_bad([self.first, second], [newer, older], "was not current before")

    def test_unclear_change_may_take_effect_late_or_never(self) -> None:
        second = change(1, 2, "b", 2.0, inf, INDETERMINATE)
        self.assert_good([self.first, second], [Read(1, ("a",), 50.0, 51.0)])
        self.assert_good([self.first, second], [Read(1, ("a",), 50.0, 51.0), Read(2, ("b",), 52.0, 53.0)])

    def test_read_before_the_change_was_sent(self) -> None:
        self.assert_bad([self.first], [Read(1, ("a",), -2.0, -1.0)], "was not current before")

    def test_two_on_one_version(self) -> None:
        two = [change(1, 2, "b", 2.0, 3.0, ACKNOWLEDGED), change(1, 3, "c", 2.0, 3.0, ACKNOWLEDGED)]
        self.assert_bad([self.first, *two], [], "two changes on one version")

    def test_acknowledged_and_another_read_on_one_version(self) -> None:
        two = [change(1, 2, "b", 2.0, 3.0, ACKNOWLEDGED), change(1, 3, "c", 2.0, inf, INDETERMINATE)]
        self.assert_bad([self.first, *two], [Read(3, ("c",), 4.0, 5.0)], "two changes on one version")

    def test_two_of_one_number(self) -> None:
        """One of two changes to the same version is based on a version that was never current."""
        other = [change(0, 2, "b", 0.0, inf, INDETERMINATE), change(1, 3, "c", 2.0, 3.0, ACKNOWLEDGED)]
        self.assert_bad([self.first, *other, change(2, 3, "d", 2.0, 3.0, ACKNOWLEDGED)], [], "no chain")

    def test_refused_while_its_base_was_current(self) -> None:
        refused = change(1, 2, "b", 2.0, 3.0, REFUSED)
        self.assert_bad([self.first, refused], [], "was not current before")
        self.assert_bad([change(0, 1, "a", 0.0, 1.0, REFUSED)], [], "no other version was current")

    def test_refused_for_another_change(self) -> None:
        refused = change(1, 2, "b", 2.0, 3.0, REFUSED)
        self.assert_good([self.first, refused, change(1, 2, "c", 2.5, 9.0, ACKNOWLEDGED)], [])
        self.assert_good([self.first, refused, change(1, 2, "c", 2.5, inf, INDETERMINATE)], [])
        self.assert_bad([self.first, refused, change(1, 2, "c", 3.5, 9.0, ACKNOWLEDGED)], [], "was not current")

    def test_refused_then_other_version_still_read(self) -> None:
        """The refusal implies that the other change was applied, but a later read does not include it."""
        refused, other = change(1, 2, "b", 2.0, 3.0, REFUSED), change(1, 2, "c", 1.5, inf, INDETERMINATE)
        self.assert_bad([self.first, refused, other], [Read(1, ("a",), 4.0, 5.0)], "was not current before")

    def test_refused_is_never_read(self) -> None:
        refused = change(0, 1, "b", 0.0, 3.0, REFUSED)
        self.assert_bad([self.first, refused], [Read(1, ("b",), 4.0, 5.0)], "was refused")

    def test_read_of_what_was_never_sent(self) -> None:
        self.assert_bad([self.first], [Read(7, ("x",), 4.0, 5.0)], "no such change was sent")

    def test_addition_keeps_the_content(self) -> None:
        addition = Change(1, 2, "b", False, 2.0, 3.0, ACKNOWLEDGED)
        self.assert_good([self.first, addition], [Read(2, ("a", "b"), 4.0, 5.0)])
        self.assert_bad([self.first, addition], [Read(2, ("b",), 4.0, 5.0)], "but version 2 consists of")


class AllOrdersTest(unittest.TestCase):
    """The checker's verdict on small histories equals that of a search over all orders of the calls."""

    def test_same_verdict(self) -> None:
        verdicts = {True: 0, False: 0}
        for seed in range(3000):
            changes, reads = draw(Random(seed))
            expected = any_order(changes, reads)
            verdicts[expected] += 1
            self.assertEqual(expected, find_violation(changes, reads) == "", f"seed {seed}: {changes} {reads}")
        self.assertGreater(min(verdicts.values()), 300, "too few linearizable or too few violating histories")


def draw(random: Random) -> tuple[list[Change], list[Read]]:
    """Draw calls whose start and end times are distinct integers, so that their real-time order is unambiguous."""
    moments = random.sample(range(20), 10)
    spans = [(float(min(pair)), float(max(pair))) for pair in zip(moments[::2], moments[1::2], strict=True)]
    count = random.randint(1, 4)
    changes = []
    for number, (called, answered) in enumerate(spans[:count]):
        base = random.choice([0, 0, 1, 2])
        outcome = random.choice([ACKNOWLEDGED, REFUSED, INDETERMINATE])
        end = inf if outcome is INDETERMINATE else answered
        changes.append(Change(base, base + random.randint(1, 2), f"m{number}", True, called, end, outcome))
    reads = []
    for called, answered in spans[count:]:
        seen = random.choice([None, *changes])
        reads.append(Read(seen.gen if seen else 0, (seen.mark,) if seen else (), called, answered))
    return changes, reads


def any_order(changes: list[Change], reads: list[Read]) -> bool:
    """Return True if an order consistent with real time explains all answers; unclear changes may be omitted."""
    unclear = [c for c in changes if c.outcome is INDETERMINATE]
    clear = [c for c in changes if c.outcome is not INDETERMINATE]
    for chosen in range(2 ** len(unclear)):
        taken = [c for n, c in enumerate(unclear) if chosen >> n & 1]
        calls: list[Change | Read] = [*clear, *taken, *reads]
        if any(fits(order) for order in permutations(calls)):
            return True
    return False


def fits(order: tuple[Change | Read, ...]) -> bool:
    for place, call in enumerate(order):
        if any(later.answered < call.called for later in order[place + 1 :]):
            return False
    gen, marks = 0, tuple[str, ...]()
    for call in order:
        if isinstance(call, Read):
            if (call.gen, call.marks) != (gen, marks):
                return False
        elif call.outcome is REFUSED:
            if call.base == gen:
                return False
        elif call.base != gen:
            return False
        else:
            gen, marks = call.gen, (call.mark,)
    return True
