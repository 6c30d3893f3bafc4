"""Tests of the soak test."""
