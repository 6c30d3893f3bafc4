"""Tests of the data plane."""
