"""Errors of the table package."""

from __future__ import annotations

import dataclasses


class TableError(ValueError):
    """Invalid table or row; the message lists the errors."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Another operator has changed the same row.

    read, current, wanted: JSON of the row as the operator read it, as it is
    now and as the operator wants it; empty if there is no row.
    """

    key: str
    read: str
    current: str
    wanted: str

    def __str__(self) -> str:
        """Return the message for the operator."""
        return (
            f'{self.key} was changed by another operator: '
            f'you read {self.read or "no row"}, '
            f'it now is {self.current or "no row"}, '
            f'you want {self.wanted or "no row"}'
        )
