"""Virtual environments and library directories, recreated when the Python or the file they depend on has changed."""

from __future__ import annotations

import argparse
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_DIRECTORY = ROOT / ".venv"
MIN_PYTHON = (3, 11)
STAMP = "installed.txt"
PIP_INSTALL = ("-m", "pip", "install", "--quiet", "--disable-pip-version-check")


def run(command: Sequence[str | Path]) -> None:
    """Run a command in the root directory; if it fails, exit this program with the same exit code."""
    done = subprocess.run(command, cwd=ROOT, check=False)
    if done.returncode != 0:
        print(f"command failed with exit code {done.returncode}: {' '.join(map(str, command))}", file=sys.stderr)
        sys.exit(done.returncode if done.returncode > 0 else 1)


def require_python() -> None:
    """Exit with an error message if the Python version is not supported."""
    if sys.version_info < MIN_PYTHON:
        sys.exit(f"Python {'.'.join(map(str, MIN_PYTHON))} or newer is required, found {sys.version.split()[0]}")


def fingerprint(source: Path) -> str:
    """Return the inputs of an installation: the Python version and the content of the file that lists the libraries."""
    return f"# Python {sys.version}\n{source.read_text()}"


def is_current(stamp: Path, source: Path) -> bool:
    """Return True if the installation beside `stamp` was made by this Python from the present content of `source`."""
    return stamp.is_file() and stamp.read_text() == fingerprint(source)


def create_virtual_environment(directory: Path, source: Path, requirements: Sequence[str]) -> Path:
    """Create the virtual environment unless it is current; return the path of its Python."""
    python = directory / "bin" / "python"
    stamp = directory / STAMP
    if is_current(stamp, source):
        return python
    stamp.unlink(missing_ok=True)
    run([sys.executable, "-m", "venv", directory])
    (directory / ".gitignore").write_text("*\n")  # makes git and linters ignore the directory, whatever its name
    run([python, *PIP_INSTALL, *requirements])
    stamp.write_text(fingerprint(source))
    return python


def development_environment(program: str, description: str) -> tuple[Path, list[str]]:
    """Parse `--venv` from the command line; return the environment's Python and the remaining arguments."""
    require_python()
    parser = argparse.ArgumentParser(
        prog=program,
        description=f"{description} All other arguments are passed through.",
        add_help=False,
        allow_abbrev=False,
    )
    parser.add_argument("--venv", type=Path, default=DEFAULT_DIRECTORY, help="directory of the virtual environment")
    options, others = parser.parse_known_args()
    directory = options.venv.absolute()
    return create_virtual_environment(directory, ROOT / "pyproject.toml", ["--editable", f"{ROOT}[dev]"]), others
