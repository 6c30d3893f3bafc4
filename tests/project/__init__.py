"""Tests of the pages, the deploy files and the layout of the project."""
