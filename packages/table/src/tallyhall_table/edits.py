"""Edits of single rows, applied to the newest table.

An edit contains the row as its operator read it. Concurrent edits of different
rows are both applied. For concurrent edits of the same row, the second
operator gets a conflict with both rows, and none of that operator's edits is
applied.
"""

from __future__ import annotations

import dataclasses
import types
from collections.abc import Mapping
from typing import Literal

import pydantic
from expression import Error, Ok, Result

from .errors import Conflict, TableError
from .model import (
    HISTORY_KEPT,
    Change,
    LimitRow,
    Row,
    ServiceRow,
    Table,
    TierRow,
)

Section = Literal['tiers', 'services', 'limits']
SECTIONS: tuple[Section, ...] = ('tiers', 'services', 'limits')

_SUMMARY_CHARS = 200
_ROW_TYPES: Mapping[Section, type[Row]] = types.MappingProxyType(
    {
        'tiers': TierRow,
        'services': ServiceRow,
        'limits': LimitRow,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RowEdit:
    """Replaces, adds (no `before`) or removes (no `after`) a row."""

    section: Section
    key: str
    before: Row | None
    after: Row | None

    def __str__(self) -> str:
        """Return a short summary for the history."""
        if self.after is None:
            return f'remove {self.section}/{self.key}'
        verb = 'set' if self.before else 'add'
        return f'{verb} {self.section}/{self.key}'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeInfo:
    """Author, id and wall clock time (for display) of a change."""

    author: str
    at: str
    change_id: str


def row_key(row: Row) -> str:
    """Return the key of a row within its section."""
    if isinstance(row, LimitRow):
        return f'{row.workspace}/{row.service}'
    if isinstance(row, (TierRow, ServiceRow)):
        return row.name
    raise TypeError(type(row).__name__)


def rows_by_key(table: Table, section: Section) -> dict[str, Row]:
    """Return the rows of a section by key, in table order."""
    rows: tuple[Row, ...] = getattr(table, section)
    return {row_key(row): row for row in rows}


def diff_tables(old: Table, new: Table) -> tuple[RowEdit, ...]:
    """Return the row edits that turn `old` into `new`."""
    edits = []
    for section in SECTIONS:
        before = rows_by_key(old, section)
        after = rows_by_key(new, section)
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) == after.get(key):
                continue
            edits.append(RowEdit(section, key, before.get(key), after.get(key)))
    return tuple(edits)


def apply_edits(
    newest: Table,
    edits: tuple[RowEdit, ...],
    info: ChangeInfo,
) -> Result[Table, Conflict]:
    """Return the table with all edits applied, or the first conflict.

    Raises TableError if the resulting table is inconsistent, for example if a
    limit refers to a service that another operator has removed.
    """
    sections = {name: rows_by_key(newest, name) for name in SECTIONS}
    for edit in edits:
        rows = sections[edit.section]
        current = rows.get(edit.key)
        if current not in {edit.before, edit.after}:
            return Error(
                Conflict(
                    f'{edit.section}/{edit.key}',
                    _row_json(edit.before),
                    _row_json(current),
                    _row_json(edit.after),
                ),
            )
        if edit.after is None:
            rows.pop(edit.key, None)
        else:
            rows[edit.key] = edit.after
    change = Change(
        revision=newest.revision + 1,
        change_id=info.change_id,
        author=info.author,
        at=info.at,
        summary=', '.join(map(str, edits))[:_SUMMARY_CHARS],
    )
    rebuilt = {name: list(rows.values()) for name, rows in sections.items()}
    history = (*newest.history, change)[-HISTORY_KEPT:]
    return Ok(_build_table(change.revision, rebuilt, history))


def parse_row(section: Section, fields: dict[str, object]) -> Row:
    """Validate the fields of a row; raise TableError."""
    try:
        return _ROW_TYPES[section].model_validate(fields)
    except pydantic.ValidationError as exc:
        raise TableError(format_errors(exc)) from exc


def parse_table(text: str) -> Table:
    """Parse and validate a table in JSON; raise TableError."""
    try:
        return Table.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise TableError(format_errors(exc)) from exc


def format_errors(exc: pydantic.ValidationError) -> str:
    """Return the validation errors as `location: message, got value`."""
    lines = []
    for error in exc.errors():
        location = '.'.join(str(part) for part in error['loc']) or 'table'
        lines.append(f'{location}: {error["msg"]}, got {error["input"]!r:.80}')
    return '; '.join(lines)


def _row_json(row: Row | None) -> str:
    return row.model_dump_json() if row else ''


def _build_table(
    revision: int,
    sections: dict[Section, list[Row]],
    history: tuple[Change, ...],
) -> Table:
    try:
        return Table.model_validate(
            {'revision': revision, 'history': history, **sections},
        )
    except pydantic.ValidationError as exc:
        raise TableError(format_errors(exc)) from exc
