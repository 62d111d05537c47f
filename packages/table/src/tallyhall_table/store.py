"""The table in the KV: read, change by compare-and-swap, settle doubts."""

from __future__ import annotations

import datetime
import uuid

from expression import Error, Ok, Result
from tallyhall_sources.kv import KeyValue
from tallyhall_sources.stored import TABLE_KEY, change_text, read_text

from .edits import Author, RowEdit, edits_between, parse_table, rebase
from .errors import Conflict
from .model import Table


class _ConflictFound(Exception):
    def __init__(self, conflict: Conflict) -> None:
        super().__init__(str(conflict))
        self.conflict = conflict


class TableStore:
    """The operators' way to the table; raises PlatformError, TableError."""

    def __init__(self, kv: KeyValue) -> None:
        """Use this key-value service."""
        self._kv = kv

    def read(self) -> Table:
        """Return the table as it stands, an empty one if there is none."""
        text, _ = read_text(self._kv, TABLE_KEY)
        return parse_table(text) if text else Table()

    def change(
        self,
        edits: tuple[RowEdit, ...],
        author: str,
    ) -> Result[Table, Conflict]:
        """Apply row edits to the newest table, or return the conflict.

        A lost answer is settled by looking for this change's id in the
        history, so a change is made once.
        """
        now = datetime.datetime.now(datetime.UTC)
        stamp = Author(author, now.isoformat('T', 'seconds'), uuid.uuid4().hex)

        def next_text(text: str) -> str:  # noqa: WPS430
            newest = parse_table(text) if text else Table()
            made = {change.change_id for change in newest.history}
            if stamp.change_id in made:
                return text
            outcome = rebase(newest, edits, stamp)
            if outcome.is_error():
                raise _ConflictFound(outcome.error)
            return outcome.ok.model_dump_json()

        try:
            text = change_text(self._kv, TABLE_KEY, next_text)
        except _ConflictFound as exc:
            return Error(exc.conflict)
        return Ok(parse_table(text))

    def replace(
        self,
        wanted: Table,
        read: Table,
        author: str,
    ) -> Result[Table, Conflict]:
        """Make the changes that lead from the table as read to `wanted`."""
        edits = edits_between(read, wanted)
        if not edits:
            return Ok(self.read())
        return self.change(edits, author)
