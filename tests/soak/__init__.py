"""Tests of otterreach.soak."""
