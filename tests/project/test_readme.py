"""The README's example runs as printed, and its commands are those of CI."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
README = (ROOT / "README.md").read_text()


def test_the_readmes_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", README, re.DOTALL)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})


def test_the_readmes_two_commands_are_there() -> None:
    commands = re.findall(r"^    (python3 -m scripts\.[a-z]+)$", README, re.MULTILINE)
    assert commands == ["python3 -m scripts.play", "python3 -m scripts.test"]
    for command in commands:
        assert (ROOT / "scripts" / f"{command.rpartition('.')[2]}.py").is_file()


def test_ci_runs_the_readmes_test_command() -> None:
    lines = [line for line in (ROOT / ".ci" / "run").read_text().splitlines() if not line.startswith("#")]
    assert lines[-1] == "exec python3 -m scripts.test"
