"""Linter, formatter, types and tests: python3 -m scripts.test [--venv DIR] [options of pytest].

The tests run in one process for each core; whoever is free takes over tests of one that is not.
"""

from __future__ import annotations

from scripts.environment import development_environment, run

PARALLEL = ("--numprocesses", "auto", "--dist", "worksteal")


def main() -> None:
    """Runs each check; ends at the first that fails."""
    python, arguments = development_environment("python3 -m scripts.test", "Checks the source and runs the tests.")
    run([python, "-m", "ruff", "check", "."])
    run([python, "-m", "ruff", "format", "--check", "."])
    run([python, "-m", "mypy"])
    run([python, "-m", "pytest", *PARALLEL, *arguments])


if __name__ == "__main__":
    main()
