"""The builds that the deploy files name: python3 -m scripts.build balancer|system.

Libraries are installed anew whenever requirements.txt or Python has changed; bytecode is compiled always. The file
system is read-only at run time, so a process without bytecode would compile every module at each start. A copied tree
has new times, so bytecode is checked by hash (our own) or not at all (libraries, which change only by a new build).
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
# Each library has a wheel, so that no compiler is needed; one without is an error, not a build from source.
ONLY_WHEELS = ("--only-binary", ":all:", "--requirement", str(REQUIREMENTS))


def compile_sources(python: str | Path, sources: tuple[str, ...]) -> None:
    """Compiles our own modules; Python checks them by the hash of their source when it starts."""
    run([python, "-m", "compileall", "-q", "--invalidation-mode", "checked-hash", *sources])


def build_balancer() -> None:
    """The sidecar alone: a virtual environment `.venv`."""
    python = create_virtual_environment(ROOT / ".venv", REQUIREMENTS, ONLY_WHEELS)
    compile_sources(python, SIDECAR_SOURCES)


def build_system() -> None:
    """The whole system: libraries in `target/deps`, which is on Python's path at run time."""
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
    """Builds what the command line names."""
    require_python()
    builds = {"balancer": build_balancer, "system": build_system}
    parser = argparse.ArgumentParser(prog="python3 -m scripts.build", description="Builds what a deploy file runs.")
    parser.add_argument("name", choices=sorted(builds))
    builds[parser.parse_args().name]()


if __name__ == "__main__":
    main()
