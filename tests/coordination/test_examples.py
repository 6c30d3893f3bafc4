"""Runs the doctests of otterreach.coordination."""

from __future__ import annotations

import doctest
import importlib
import pkgutil

import pytest

from otterreach import coordination

MODULES = sorted(module.name for module in pkgutil.iter_modules(coordination.__path__))


@pytest.mark.parametrize("name", MODULES)
def test_each_module_has_examples_that_hold(name: str) -> None:
    result = doctest.testmod(importlib.import_module(f"otterreach.coordination.{name}"))
    assert result.attempted > 0
    assert result.failed == 0
