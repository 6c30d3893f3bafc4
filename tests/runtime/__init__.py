"""Tests of what all roles share."""
