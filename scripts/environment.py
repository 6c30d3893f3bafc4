"""Virtual environments and library folders, made anew whenever what they were made from has changed."""

from __future__ import annotations

import argparse
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_DIRECTORY = ROOT / ".venv"
OLDEST_PYTHON = (3, 11)
STAMP = "installed.txt"
PIP_INSTALL = ("-m", "pip", "install", "--quiet", "--disable-pip-version-check")


def run(command: Sequence[str | Path]) -> None:
    """Runs a command at the root; its failure ends this program with the same exit code."""
    done = subprocess.run(command, cwd=ROOT, check=False)
    if done.returncode != 0:
        print(f"failed with exit code {done.returncode}: {' '.join(map(str, command))}", file=sys.stderr)
        sys.exit(done.returncode if done.returncode > 0 else 1)


def require_python() -> None:
    """Ends the program with a clear message on a Python that is too old."""
    if sys.version_info < OLDEST_PYTHON:
        sys.exit(f"Python {'.'.join(map(str, OLDEST_PYTHON))} or newer is needed, this is {sys.version.split()[0]}")


def fingerprint(source: Path) -> str:
    """What an installation depends on: this Python and the file that lists the libraries."""
    return f"# Python {sys.version}\n{source.read_text()}"


def is_current(stamp: Path, source: Path) -> bool:
    """True where the installation beside `stamp` was made by this Python from `source` as it is now."""
    return stamp.is_file() and stamp.read_text() == fingerprint(source)


def create_virtual_environment(directory: Path, source: Path, requirements: Sequence[str]) -> Path:
    """Makes the virtual environment unless it is current; returns its Python."""
    python = directory / "bin" / "python"
    stamp = directory / STAMP
    if is_current(stamp, source):
        return python
    stamp.unlink(missing_ok=True)
    run([sys.executable, "-m", "venv", directory])
    (directory / ".gitignore").write_text("*\n")  # whatever its name, linters and git pass over it
    run([python, *PIP_INSTALL, *requirements])
    stamp.write_text(fingerprint(source))
    return python


def development_environment(program: str, description: str) -> tuple[Path, list[str]]:
    """Reads `--venv` from the command line; returns the environment's Python and the arguments that are left."""
    require_python()
    parser = argparse.ArgumentParser(
        prog=program,
        description=f"{description} All other arguments are passed on.",
        add_help=False,
        allow_abbrev=False,
    )
    parser.add_argument("--venv", type=Path, default=DEFAULT_DIRECTORY, help="the virtual environment's folder")
    options, others = parser.parse_known_args()
    directory = options.venv.absolute()
    return create_virtual_environment(directory, ROOT / "pyproject.toml", ["--editable", f"{ROOT}[dev]"]), others
