"""Tests of the job store."""
