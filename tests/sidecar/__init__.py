"""Tests of the sidecar in service."""
