"""Tests of the coordination library."""
