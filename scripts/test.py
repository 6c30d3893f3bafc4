"""Run linter, formatter, type checker and tests: python3 -m scripts.test [--venv DIR] [options of pytest].

The tests run in one process per core, with work stealing between the processes.
"""

from __future__ import annotations

from scripts.environment import development_environment, run

PARALLEL = ("--numprocesses", "auto", "--dist", "worksteal")


def main() -> None:
    """Run each check; exit at the first failure."""
    python, arguments = development_environment("python3 -m scripts.test", "Check the source and run the tests.")
    run([python, "-m", "ruff", "check", "."])
    run([python, "-m", "ruff", "format", "--check", "."])
    run([python, "-m", "mypy"])
    run([python, "-m", "pytest", *PARALLEL, *arguments])


if __name__ == "__main__":
    main()
