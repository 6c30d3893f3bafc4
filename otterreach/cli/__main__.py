"""Entry point of `python3 -m otterreach.cli`. The exit code is 0 or the number of a result code."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence

from otterreach.cli import configuration_commands, coordination_commands, local_commands, losses, state_commands
from otterreach.cli.app import app
from otterreach.cli.codes import FAULT

__all__ = ["app", "main", "run_command_line"]
COMMANDS = (
    local_commands,
    configuration_commands,
    state_commands,
    coordination_commands,
    losses,
)  # importing a module registers its commands


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    try:
        return int(app(arguments, exit_on_error=False, result_action="return_value") or 0)
    except SystemExit as ended:
        return int(ended.code) if isinstance(ended.code, int) else FAULT
    except Exception as error:
        if type(error).__module__.startswith("cyclopts"):  # cyclopts has printed the argument error
            return FAULT
        raise


def run_command_line() -> None:
    """Run the command line as a program and exit with its code."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)  # exit quietly when the reader of a pipe, such as `head`, closes it
    sys.exit(main())


if __name__ == "__main__":
    run_command_line()
