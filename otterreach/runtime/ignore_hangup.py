"""Importing this first keeps a SIGHUP from ending a process that is still starting.

A role handles SIGHUP once its loop runs. Before that, while modules are imported and the journal is read, the default
would end the process. Nothing is missed: the settings are read after this, and again when their file has changed.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
