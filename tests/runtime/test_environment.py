"""scripts.environment: an environment is installed once, and again after its sources have changed."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from scripts import build, environment
from scripts.environment import STAMP, create_virtual_environment, fingerprint, is_current


@pytest.fixture
def commands(monkeypatch: pytest.MonkeyPatch) -> list[list[str]]:
    """Replace the execution of commands; return the list of the recorded ones."""
    seen: list[list[str]] = []

    def record(command: Sequence[str | Path]) -> None:
        seen.append([str(word) for word in command])
        if "venv" in seen[-1]:
            Path(command[-1]).mkdir(parents=True, exist_ok=True)
        if "--target" in seen[-1]:
            Path(seen[-1][seen[-1].index("--target") + 1]).mkdir(parents=True, exist_ok=True)

    monkeypatch.setattr(environment, "run", record)
    monkeypatch.setattr(build, "run", record)
    return seen


def test_a_virtual_environment_is_made_once(tmp_path: Path, commands: list[list[str]]) -> None:
    source, directory = tmp_path / "source", tmp_path / "any name"
    source.write_text("one==1\n")
    python = create_virtual_environment(directory, source, ["one==1"])
    assert python == directory / "bin" / "python"
    assert [command[1:3] for command in commands] == [["-m", "venv"], ["-m", "pip"]]
    assert commands[1][0] == str(python)
    assert (directory / ".gitignore").read_text() == "*\n"
    create_virtual_environment(directory, source, ["one==1"])
    assert len(commands) == 2


@pytest.mark.parametrize("change", ["source", "python", "broken off"])
def test_it_is_made_again_after_a_change(
    tmp_path: Path, commands: list[list[str]], monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    source, directory = tmp_path / "source", tmp_path / "venv"
    source.write_text("one==1\n")
    create_virtual_environment(directory, source, [])
    if change == "source":
        source.write_text("one==2\n")
    elif change == "python":
        monkeypatch.setattr(sys, "version", "3.99")
    else:
        (directory / STAMP).write_text("")
    create_virtual_environment(directory, source, [])
    assert len(commands) == 4


def test_an_installation_that_failed_is_not_current(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    source, directory = tmp_path / "source", tmp_path / "venv"
    source.write_text("one==1\n")
    directory.mkdir()
    (directory / STAMP).write_text(fingerprint(source))
    source.write_text("one==2\n")

    def fail(command: Sequence[str | Path]) -> None:
        raise SystemExit(1)

    monkeypatch.setattr(environment, "run", fail)
    with pytest.raises(SystemExit):
        create_virtual_environment(directory, source, [])
    source.write_text(
        "one==1\n"
    )  # the first source again, but the failed installation may have left a part of the second one
    assert not is_current(directory / STAMP, source)


def test_the_system_build_installs_libraries_once(
    tmp_path: Path, commands: list[list[str]], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(build, "TARGET", tmp_path)
    (tmp_path / "deps").mkdir()
    (tmp_path / "deps" / "old.py").touch()
    build.build_system()
    assert [command[2] for command in commands] == ["pip", "compileall", "compileall"]
    assert not (tmp_path / "deps" / "old.py").exists()
    build.build_system()
    assert [command[2] for command in commands[3:]] == ["compileall"]


def test_a_failed_command_ends_the_program_with_its_code(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        environment.run([sys.executable, "-c", "raise SystemExit(7)"])
    assert ended.value.code == 7
    assert "exit code 7" in capsys.readouterr().err


def test_an_old_python_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sys, "version_info", (3, 10, 12))
    with pytest.raises(SystemExit, match=r"Python 3\.11 or newer"):
        environment.require_python()
