"""KNOWN-RED.txt: the run passes over just the tests that it lists, and says so."""

from __future__ import annotations

import pytest

from tests.known_red import FILE, KnownRed, KnownRedError, parse

pytest_plugins = ["pytester"]
CONFTEST = "from tests.conftest import pytest_configure\n"
TESTS = """
def test_red():
    assert False

def test_other_red():
    assert False

def test_green():
    pass
"""


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    """A project of its own that uses this one's conftest."""
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_project=TESTS)
    return pytester


def line(test: str, seen: str = "what") -> str:
    """A line of the file for a test of the project above."""
    return f"test_project.py::{test} | pytest -k {test}, seed 1 | {seen} | issue 1"


def list_tests(project: pytest.Pytester, *lines: str) -> None:
    (project.path / FILE).write_text("".join(f"{line}\n" for line in lines))


def test_without_the_file_every_failure_counts(project: pytest.Pytester) -> None:
    result = project.runpytest_inprocess()
    result.assert_outcomes(passed=1, failed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert FILE not in result.stdout.str()


def test_listed_tests_are_passed_over_and_printed(project: pytest.Pytester) -> None:
    list_tests(project, line("test_red"), line("test_other_red", seen="other"))
    result = project.runpytest_inprocess()
    result.assert_outcomes(passed=1, xfailed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(["test_project.py::test_red: fails as known | what | issue 1"])


def test_a_failure_that_is_not_listed_still_counts(project: pytest.Pytester) -> None:
    list_tests(project, line("test_red"))
    result = project.runpytest_inprocess()
    result.assert_outcomes(passed=1, failed=1, xfailed=1)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_is_reported(project: pytest.Pytester) -> None:
    list_tests(project, line("test_green"))
    result = project.runpytest_inprocess("-k", "green")
    result.stdout.fnmatch_lines(["test_project.py::test_green: PASSES: take its line out | what | issue 1"])


@pytest.mark.parametrize("test_id", ["test_project.py::test_gone", "test_gone.py::test_red"])
def test_a_listed_test_that_is_not_there_is_an_error(project: pytest.Pytester, test_id: str) -> None:
    list_tests(project, f"{test_id} | pytest, seed 1 | what | issue 1")
    result = project.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"*not there: {test_id}"])


def test_more_than_three_lines_are_an_error(project: pytest.Pytester) -> None:
    list_tests(project, *(line(f"test_{number}") for number in range(4)))
    result = project.runpytest_inprocess()
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*4 lines, at most 3*"])


def test_lines() -> None:
    assert parse("") == parse("\n \n") == []
    line = "a.py::b | pytest, seed 3 | two holders | issue 9\n\n"
    assert parse(line) == [KnownRed("a.py::b", "pytest, seed 3", "two holders", "issue 9")]


@pytest.mark.parametrize(
    "text",
    [
        "a.py::b",
        "a.py::b | two holders | issue 9",
        "a.py::b | pytest, seed 3 | | issue 9",
        "a.py::b | pytest, seed 3 | two holders | issue 9 | more",
        "a.py::b | pytest | two holders | issue 9",
        "a.py::b | pytest, seed 3 | two holders | later",
        "a.py::b | pytest, seed 3 | two holders | issue 9\na.py::b | pytest, seed 4 | no holder | issue 8",
    ],
)
def test_bad_lines_are_refused(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse(text)


CROWD_FOLDER = "tests/crowds"


def crowd_line(test: str, path: str = f"{CROWD_FOLDER}/test_crowd.py") -> str:
    """A line of the file for a test of a crowd."""
    return f"{path}::{test} | pytest -k {test}, no seed | what | issue 1"


def test_lines_of_crowds_do_not_count(project: pytest.Pytester) -> None:
    folder = project.path / CROWD_FOLDER
    folder.mkdir(parents=True)
    names = [f"test_{number}" for number in range(5)]
    (folder / "test_crowd.py").write_text("".join(f"def {name}():\n    assert False\n\n" for name in names))
    list_tests(project, line("test_red"), line("test_other_red"), *(crowd_line(name) for name in names))
    result = project.runpytest_inprocess()
    result.assert_outcomes(passed=1, xfailed=7)
    result.stdout.fnmatch_lines([f"{CROWD_FOLDER}/test_crowd.py::test_4: fails as known | what | issue 1"])


def test_other_lines_still_count_beside_crowds() -> None:
    lines = [crowd_line("test_crowd"), *(line(f"test_{number}") for number in range(4))]
    with pytest.raises(KnownRedError, match="4 lines, at most 3"):
        parse("\n".join(lines))


@pytest.mark.parametrize("path", ["tests/crowds", "tests/crowds/test_crowd.py"])
def test_a_line_of_a_crowd_names_a_single_test(path: str) -> None:
    with pytest.raises(KnownRedError, match="expected a single test"):
        parse(f"{path}/ | pytest, no seed | what | issue 1")


@pytest.mark.parametrize("path", ["tests/crowd/test_a.py", "other/tests/crowds/test_a.py", "tests/crowds.py"])
def test_only_the_folder_of_crowds_is_uncounted(path: str) -> None:
    with pytest.raises(KnownRedError, match="4 lines, at most 3"):
        parse("\n".join(crowd_line(f"test_{number}", path) for number in range(4)))


def test_a_missing_test_of_a_crowd_is_an_error(project: pytest.Pytester) -> None:
    list_tests(project, crowd_line("test_gone"))
    assert project.runpytest_inprocess().ret == pytest.ExitCode.USAGE_ERROR
