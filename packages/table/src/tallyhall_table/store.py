"""Reads the table from the KV and changes it by compare-and-swap."""

from __future__ import annotations

import datetime
import uuid

from expression import Error, Ok, Result
from tallyhall_sources.kv import KeyValue
from tallyhall_sources.stored import TABLE_KEY, read_text, update_value

from .edits import ChangeInfo, RowEdit, apply_edits, diff_tables, parse_table
from .errors import Conflict
from .model import Table


class _ConflictError(Exception):
    def __init__(self, conflict: Conflict) -> None:
        super().__init__(str(conflict))
        self.conflict = conflict


class TableStore:
    """Access to the table; methods raise PlatformError and TableError."""

    def __init__(self, kv: KeyValue) -> None:
        """Use this key-value service."""
        self._kv = kv

    def read(self) -> Table:
        """Return the current table, an empty one if there is none."""
        text, _ = read_text(self._kv, TABLE_KEY)
        return parse_table(text) if text else Table()

    def change(
        self,
        edits: tuple[RowEdit, ...],
        author: str,
    ) -> Result[Table, Conflict]:
        """Apply row edits to the newest table, or return the conflict.

        If a response is lost, the change id is looked up in the history, so
        that a change is applied once.
        """
        now = datetime.datetime.now(datetime.UTC)
        info = ChangeInfo(
            author, now.isoformat('T', 'seconds'), uuid.uuid4().hex
        )

        def update(text: str) -> str:  # noqa: WPS430
            newest = parse_table(text) if text else Table()
            applied = {change.change_id for change in newest.history}
            if info.change_id in applied:
                return text
            outcome = apply_edits(newest, edits, info)
            if outcome.is_error():
                raise _ConflictError(outcome.error)
            return outcome.ok.model_dump_json()

        try:
            text = update_value(self._kv, TABLE_KEY, update)
        except _ConflictError as exc:
            return Error(exc.conflict)
        return Ok(parse_table(text))

    def replace(
        self,
        wanted: Table,
        read: Table,
        author: str,
    ) -> Result[Table, Conflict]:
        """Apply the differences between the table as read and `wanted`."""
        edits = diff_tables(read, wanted)
        if not edits:
            return Ok(self.read())
        return self.change(edits, author)
