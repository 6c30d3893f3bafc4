"""Tests of the simulation and its checkers."""
