"""Tests that fail for a known fault, as KNOWN-RED.txt lists them.

One line each: test, cause, issue, separated by semicolons; cases of one cause
share a line that names each, separated by commas. A listed test runs and may
fail; one that is listed and does not exist is an error.
"""

import dataclasses
import pathlib

LIST = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_FIELDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class KnownRed:
    """One cause, and the tests that fail for it."""

    tests: tuple[str, ...]
    cause: str
    issue: str

    def __str__(self) -> str:
        """Return the line that is printed after a run."""
        return f'{", ".join(self.tests)}: {self.cause} (issue {self.issue})'


def read_known_red(text: str) -> tuple[KnownRed, ...]:
    """Return the listed tests; raise ValueError on a line of another form."""
    listed = []
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(';')]
        if len(fields) != _FIELDS or not all(fields):
            raise ValueError(f'KNOWN-RED.txt: test; cause; issue: {line!r}')
        tests = tuple(test.strip() for test in fields[0].split(','))
        if not all(tests):
            raise ValueError(f'KNOWN-RED.txt: a test without a name: {line!r}')
        listed.append(KnownRed(tests, *fields[1:]))
    return tuple(listed)
