"""Ignores SIGHUP while a process starts; a role imports this module before all others.

A role handles SIGHUP once its event loop runs. Before that, while modules are imported and the journal is read, the
default action would terminate the process. No reload is lost: the settings are read afterwards, and again whenever
their file has changed.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
