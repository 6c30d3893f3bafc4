"""Locks, counters, compare-and-put keys and watches as pure state machines: no I/O, time and state handed in."""
