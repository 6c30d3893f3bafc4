"""Tests of the load test."""
