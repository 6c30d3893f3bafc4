"""Tests of the control plane."""
