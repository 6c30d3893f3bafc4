"""Tests of the decisions of the sidecar."""
