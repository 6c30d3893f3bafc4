"""Property tests of counters: the values returned under one name strictly increase, whatever was stored before."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from otterreach.coordination.counters import next_value


@given(st.none() | st.integers(min_value=0), st.lists(st.booleans(), max_size=50))
def test_values_rise_and_a_value_that_was_not_stored_is_not_given_out(last: int | None, stored: list[bool]) -> None:
    given_out: list[int] = []
    for is_stored in stored:
        value = next_value(last)
        assert last is None or value > last
        if is_stored:
            last = value
            given_out.append(value)
    assert given_out == sorted(set(given_out))


def test_the_first_value_is_1() -> None:
    assert next_value(None) == 1
