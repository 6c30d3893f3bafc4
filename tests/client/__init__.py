"""Tests of otterreach.client."""
