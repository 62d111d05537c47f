"""Errors of the table layer."""

from __future__ import annotations

import dataclasses


class TableError(ValueError):
    """A text that is no valid table; the message says what is wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator changed the same row first.

    Texts are the JSON of the row: as the operator read it, as it now stands,
    and as the operator wants it; empty where there is no such row.
    """

    key: str
    read: str
    current: str
    wanted: str

    def __str__(self) -> str:
        """Return one line for an operator."""
        return (
            f'{self.key} was changed by another operator: '
            f'you read {self.read or "no row"}, '
            f'it now is {self.current or "no row"}, '
            f'you want {self.wanted or "no row"}'
        )
