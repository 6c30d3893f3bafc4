"""python3 -m otterreach.cli: the operator's command line. It ends with 0, or with the number of a result code."""

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
)  # importing them adds their commands


def main(arguments: Sequence[str] | None = None) -> int:
    """The exit code."""
    try:
        return int(app(arguments, exit_on_error=False, result_action="return_value") or 0)
    except SystemExit as ended:
        return int(ended.code) if isinstance(ended.code, int) else FAULT
    except Exception as error:
        if type(error).__module__.startswith("cyclopts"):  # it has told what is wrong with the arguments
            return FAULT
        raise


def run_command_line() -> None:
    """The program."""
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)  # its output may go to `head`
    sys.exit(main())


if __name__ == "__main__":
    run_command_line()
