"""Locks, counters, compare-and-put keys and watches as pure state machines without I/O.

The caller passes time and state as arguments.
"""
