"""Run the load test in a virtual environment: python3 -m scripts.play [--venv DIR] [options of the load test]."""

from __future__ import annotations

from scripts.environment import development_environment, run


def main() -> None:
    """Run the load test of the whole system on this machine."""
    python, arguments = development_environment("python3 -m scripts.play", "Run the whole system on this machine.")
    run([python, "-m", "otterreach.loadtest", "play", *arguments])


if __name__ == "__main__":
    main()
