"""Tests of otterreach."""
