"""The list of tests that may fail."""

import pytest

from tests.known_red import KnownRed, read_known_red


def test_lines_are_test_cause_issue() -> None:
    listed = read_known_red('tests/x.py::test_y; lost answer; 9\n\n')
    assert listed == (KnownRed(('tests/x.py::test_y',), 'lost answer', '9'),)


def test_cases_of_one_cause_share_a_line() -> None:
    known = read_known_red('x.py::test_y[1], x.py::test_y[2]; slow; 9\n')[0]
    assert known.tests == ('x.py::test_y[1]', 'x.py::test_y[2]')
    assert str(known) == 'x.py::test_y[1], x.py::test_y[2]: slow (issue 9)'


def test_a_line_names_each_of_its_tests() -> None:
    with pytest.raises(ValueError, match='without a name'):
        read_known_red('x.py::test_y, ; slow; 9')


@pytest.mark.parametrize('line', ['tests/x.py', 'a; b', 'a; ; 9', 'a;b;c;d'])
def test_other_lines_are_refused(line: str) -> None:
    with pytest.raises(ValueError, match='test; cause; issue'):
        read_known_red(line)
