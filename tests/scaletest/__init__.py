"""Tests of the scale test."""
