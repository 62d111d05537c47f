"""Edits of single rows, rebased on whatever table is newest.

An edit remembers the row as its operator read it. Two operators who change
different rows both get their way; for the same row the second is told of the
conflict with both rows and nothing of that edit is applied.
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
    """Replace, add (no `before`) or remove (no `after`) one row."""

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
class Author:
    """Who makes a change and when (text of a wall clock, for people)."""

    name: str
    at: str
    change_id: str


def row_key(row: Row) -> str:
    """Return the key of a row within its section."""
    if isinstance(row, LimitRow):
        return f'{row.workspace}/{row.service}'
    if isinstance(row, (TierRow, ServiceRow)):
        return row.name
    raise TypeError(type(row).__name__)


def rows_of(table: Table, section: Section) -> dict[str, Row]:
    """Return the rows of one section by key, in order."""
    rows: tuple[Row, ...] = getattr(table, section)
    return {row_key(row): row for row in rows}


def edits_between(old: Table, new: Table) -> tuple[RowEdit, ...]:
    """Return the row edits that turn `old` into `new`."""
    edits = []
    for section in SECTIONS:
        before = rows_of(old, section)
        after = rows_of(new, section)
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) == after.get(key):
                continue
            edits.append(RowEdit(section, key, before.get(key), after.get(key)))
    return tuple(edits)


def rebase(
    newest: Table,
    edits: tuple[RowEdit, ...],
    author: Author,
) -> Result[Table, Conflict]:
    """Return the table with all edits applied, or the first conflict.

    Raises TableError where the rows conflict with each other, such as a limit
    whose service another operator has just removed.
    """
    sections = {name: rows_of(newest, name) for name in SECTIONS}
    for edit in edits:
        rows = sections[edit.section]
        current = rows.get(edit.key)
        if current not in {edit.before, edit.after}:
            return Error(
                Conflict(
                    f'{edit.section}/{edit.key}',
                    _text(edit.before),
                    _text(current),
                    _text(edit.after),
                ),
            )
        if edit.after is None:
            rows.pop(edit.key, None)
        else:
            rows[edit.key] = edit.after
    change = Change(
        revision=newest.revision + 1,
        change_id=author.change_id,
        author=author.name,
        at=author.at,
        summary=', '.join(map(str, edits))[:_SUMMARY_CHARS],
    )
    rebuilt = {name: list(rows.values()) for name, rows in sections.items()}
    history = (*newest.history, change)[-HISTORY_KEPT:]
    return Ok(_build(change.revision, rebuilt, history))


def parse_row(section: Section, fields: dict[str, object]) -> Row:
    """Check one row given as fields; raise TableError."""
    try:
        return _ROW_TYPES[section].model_validate(fields)
    except pydantic.ValidationError as exc:
        raise TableError(describe(exc)) from exc


def parse_table(text: str) -> Table:
    """Read a whole table from JSON; raise TableError."""
    try:
        return Table.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise TableError(describe(exc)) from exc


def describe(exc: pydantic.ValidationError) -> str:
    """Return each fault of a model as `where: what, got value`."""
    lines = []
    for fault in exc.errors():
        where = '.'.join(str(part) for part in fault['loc']) or 'table'
        lines.append(f'{where}: {fault["msg"]}, got {fault["input"]!r:.80}')
    return '; '.join(lines)


def _text(row: Row | None) -> str:
    return row.model_dump_json() if row else ''


def _build(
    revision: int,
    sections: dict[Section, list[Row]],
    history: tuple[Change, ...],
) -> Table:
    try:
        return Table.model_validate(
            {'revision': revision, 'history': history, **sections},
        )
    except pydantic.ValidationError as exc:
        raise TableError(describe(exc)) from exc
