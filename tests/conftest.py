"""Pytest configuration: generated cases are the same in every run, and known faults are reported separately."""

import pytest
from hypothesis import settings

from tests import known_red

settings.register_profile("repeatable", derandomize=True, deadline=None)
settings.load_profile("repeatable")


def pytest_configure(config: pytest.Config) -> None:
    try:
        entries = known_red.load(config.rootpath)
    except known_red.KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
    config.pluginmanager.register(known_red.KnownRedPlugin(entries, config.rootpath))
