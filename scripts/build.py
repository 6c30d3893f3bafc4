"""Build steps that the deploy files run: python3 -m scripts.build balancer|system.

Libraries are reinstalled if requirements.txt or the Python version has changed; bytecode is always compiled. The file
system is read-only at run time, so without bytecode a process would compile every module at each start. Copying the
tree changes file times, so bytecode of the project is validated by source hash, and that of libraries, which change
only by a new build, not at all.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from pathlib import Path

from scripts.environment import (
    PIP_INSTALL,
    ROOT,
    STAMP,
    create_virtual_environment,
    fingerprint,
    is_current,
    require_python,
    run,
)

REQUIREMENTS = ROOT / "requirements.txt"
TARGET = ROOT / "target"
SIDECAR_SOURCES = ("otterreach/sidecar", "otterreach/balancer", "otterreach/__init__.py")
SYSTEM_SOURCES = ("otterreach",)
# Wheels only, since the target machines may have no compiler: a library without a wheel is an error.
ONLY_WHEELS = ("--only-binary", ":all:", "--requirement", str(REQUIREMENTS))


def compile_sources(python: str | Path, sources: tuple[str, ...]) -> None:
    """Compile modules of the project. Python validates this bytecode by the hash of the source at import."""
    run([python, "-m", "compileall", "-q", "--invalidation-mode", "checked-hash", *sources])


def build_balancer() -> None:
    """Build the sidecar alone, with a virtual environment in `.venv`."""
    python = create_virtual_environment(ROOT / ".venv", REQUIREMENTS, ONLY_WHEELS)
    compile_sources(python, SIDECAR_SOURCES)


def build_system() -> None:
    """Build the whole system, with libraries in `target/deps`, which is on Python's path at run time."""
    stamp = TARGET / STAMP
    if not is_current(stamp, REQUIREMENTS):
        stamp.unlink(missing_ok=True)
        libraries = TARGET / "deps"
        shutil.rmtree(libraries, ignore_errors=True)
        run([sys.executable, *PIP_INSTALL, "--no-compile", "--target", libraries, *ONLY_WHEELS])
        run([sys.executable, "-m", "compileall", "-q", "--invalidation-mode", "unchecked-hash", libraries])
        stamp.write_text(fingerprint(REQUIREMENTS))
    compile_sources(sys.executable, SYSTEM_SOURCES)


def main() -> None:
    """Run the build named on the command line."""
    require_python()
    builds = {"balancer": build_balancer, "system": build_system}
    parser = argparse.ArgumentParser(prog="python3 -m scripts.build", description="Build what a deploy file runs.")
    parser.add_argument("name", choices=sorted(builds))
    builds[parser.parse_args().name]()


if __name__ == "__main__":
    main()
