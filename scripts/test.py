"""Run linter, formatter, type checker and tests: python3 -m scripts.test [--venv DIR] [options of pytest].

The tests run in one process per core, with work stealing between the processes. The tests of crowds come after them,
one at a time: they bound the memory of real processes, which other load would delay.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

from scripts.environment import ROOT, development_environment, run

PARALLEL = ("-m", "not crowd", "--numprocesses", "auto", "--dist", "worksteal")
ONE_AT_A_TIME = ("-m", "crowd", "--numprocesses", "0")
NO_TESTS_COLLECTED = 5  # exit code of pytest: the arguments select only tests of the other group


def run_tests(python: Path, arguments: Sequence[str]) -> int:
    """Run both groups of tests, the second one only if the first one passes; return the exit code."""
    codes = []
    for group in (PARALLEL, ONE_AT_A_TIME):
        command = [python, "-m", "pytest", *group, *arguments]
        codes.append(subprocess.run(command, cwd=ROOT, check=False).returncode)
        if codes[-1] not in (0, NO_TESTS_COLLECTED):
            return codes[-1]
    return min(codes)


def main() -> None:
    """Run each check; exit at the first failure."""
    python, arguments = development_environment("python3 -m scripts.test", "Check the source and run the tests.")
    run([python, "-m", "ruff", "check", "."])
    run([python, "-m", "ruff", "format", "--check", "."])
    run([python, "-m", "mypy"])
    sys.exit(run_tests(python, arguments))


if __name__ == "__main__":
    main()
