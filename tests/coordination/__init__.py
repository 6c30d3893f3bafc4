"""Tests of otterreach.coordination."""
