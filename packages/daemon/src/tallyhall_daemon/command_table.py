"""`tallyhall table ...`: the operators' way to the table."""

from __future__ import annotations

import getpass
import json
import os
import pathlib
import shlex
import subprocess
import tempfile

import urllib3
from cleo.helpers import argument, option
from expression import Result
from tallyhall_client.http import new_pool
from tallyhall_sources.kv import EtcdKeyValue
from tallyhall_table.edits import (
    SECTIONS,
    RowEdit,
    Section,
    parse_row,
    parse_table,
    rows_by_key,
)
from tallyhall_table.errors import Conflict, TableError
from tallyhall_table.model import Table
from tallyhall_table.store import TableStore

from .command_base import EXIT_CONFLICT, EXIT_USAGE, OperatorCommand
from .errors import OperatorError

_TIMEOUT_S = 5.0
_HTTP_S = 2.0
_OK = 200
_KV_HELP = 'Address of the key-value service, such as http://10.0.0.1:2379'
_KV = option('kv', None, _KV_HELP, flag=False)
_JSON = option('json', None, 'Print JSON')


class TableCommand(OperatorCommand):
    """What the table commands share."""

    def store(self) -> TableStore:
        """Return the table in the KV that the option names."""
        address = self.option('kv') or os.environ.get('TALLYHALL_KV')
        if not address:
            raise OperatorError(
                'Say where the key-value service is: --kv or TALLYHALL_KV.',
                EXIT_USAGE,
            )
        return TableStore(EtcdKeyValue(address, _TIMEOUT_S))

    def report(self, outcome: Result[Table, Conflict]) -> int:
        """Tell what became of a change and return the exit code."""
        if outcome.is_error():
            self.line_error(str(outcome.error), style='error')
            self.line_error('Nothing was changed; read the row and try again.')
            return EXIT_CONFLICT
        self.line(f'revision {outcome.ok.revision} accepted')
        return 0


class ShowCommand(TableCommand):
    """Prints the table."""

    name = 'table show'
    description = 'Print the table; with --json, the form that apply takes.'
    options = [_KV, _JSON]

    def execute_command(self) -> int:
        """Print."""
        table = self.store().read()
        if self.option('json'):
            self.print_json(table.model_dump())
            return 0
        self.line(f'revision {table.revision}')
        for section in SECTIONS:
            for key, row in rows_by_key(table, section).items():
                self.line(f'{section}/{key} {row.model_dump_json()}')
        return 0


class SetCommand(TableCommand):
    """Sets fields of one row."""

    name = 'table set'
    description = 'Set fields of one row, or add it; --remove removes it.'
    arguments = [
        argument('section', f'One of {", ".join(SECTIONS)}'),
        argument('key', 'Name of the row; workspace/service for limits'),
        argument('fields', 'field=JSON value', optional=True, multiple=True),
    ]
    options = [_KV, option('remove', None, 'Remove the row')]

    def execute_command(self) -> int:
        """Read the row, change it, write it."""
        section = _section(self.argument('section'))
        key = self.argument('key')
        store = self.store()
        before = rows_by_key(store.read(), section).get(key)
        after = None
        if not self.option('remove'):
            fields = (
                before.model_dump() if before else _key_fields(section, key)
            )
            fields.update(map(_field, self.argument('fields')))
            after = parse_row(section, fields)
        edit = RowEdit(section, key, before, after)
        return self.report(store.change((edit,), _author()))


class ApplyCommand(TableCommand):
    """Applies a file."""

    name = 'table apply'
    description = (
        'Apply a JSON file made from `table show --json`. Rows that others '
        'changed meanwhile are kept; the same row is a conflict.'
    )
    arguments = [argument('file', 'The changed copy')]
    options = [
        _KV,
        option('base', None, 'The copy as it was read', flag=False),
    ]

    def execute_command(self) -> int:
        """Work out the changed rows and write them."""
        store = self.store()
        wanted = _read_table(self.argument('file'))
        base = store.read()
        if self.option('base'):
            base = _read_table(self.option('base'))
        elif wanted.revision not in {0, base.revision}:
            raise OperatorError(
                f'The file was made from revision {wanted.revision}, the '
                f'table is at {base.revision}. Give the copy as you read it '
                'with --base, or start from `table show --json` again.',
                EXIT_CONFLICT,
            )
        return self.report(store.replace(wanted, base, _author()))


class EditCommand(TableCommand):
    """Opens the table in an editor."""

    name = 'table edit'
    description = 'Edit the table in $EDITOR and apply the changed rows.'
    options = [_KV]

    def execute_command(self) -> int:
        """Write a copy, start the editor, apply the difference."""
        store = self.store()
        base = store.read()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'table.json'
            path.write_text(base.model_dump_json(indent=2), encoding='utf-8')
            editor = shlex.split(os.environ.get('EDITOR', 'vi'))
            ended = subprocess.run([*editor, str(path)], check=False)
            if ended.returncode:
                raise OperatorError('The editor failed; nothing was changed.')
            wanted = _read_table(str(path))
        return self.report(store.replace(wanted, base, _author()))


class HistoryCommand(TableCommand):
    """Prints the last changes."""

    name = 'table history'
    description = 'Print the last changes: revision, time, author, rows.'
    options = [_KV, _JSON]

    def execute_command(self) -> int:
        """Print."""
        history = self.store().read().history
        if self.option('json'):
            self.print_json([change.model_dump() for change in history])
            return 0
        for change in history:
            self.line(
                f'{change.revision} {change.at} {change.author}: '
                f'{change.summary}',
            )
        return 0


class TableStatusCommand(OperatorCommand):
    """Shows the revision in force on each instance."""

    name = 'table status'
    description = 'Print the table revision in force on each instance.'
    arguments = [
        argument('entries', 'HTTP addresses of instances', multiple=True),
    ]
    options = [_JSON]

    def execute_command(self) -> int:
        """Ask each instance; exit 1 if one lags or does not answer."""
        states = {
            address: instance_status(address)
            for address in self.argument('entries')
        }
        revisions = {
            address: state['table_revision'] if state else None
            for address, state in states.items()
        }
        if self.option('json'):
            self.print_json(revisions)
        else:
            for address, revision in revisions.items():
                self.line(f'{address} {revision or "does not answer"}')
        agreed = len(set(revisions.values())) == 1
        return 0 if agreed and None not in revisions.values() else 1


def instance_status(address: str) -> dict[str, object] | None:
    """Return an instance's status, None if it does not answer."""
    http = new_pool(timeout=_HTTP_S)
    try:
        resp = http.request('GET', f'http://{address}/status')
        state: dict[str, object] = json.loads(resp.data)
    except (urllib3.exceptions.HTTPError, ValueError):
        return None
    return state if resp.status == _OK else None


def _section(text: str) -> Section:
    for section in SECTIONS:
        if section == text:
            return section
    raise OperatorError(
        f'No section {text!r}; use one of {", ".join(SECTIONS)}.',
        EXIT_USAGE,
    )


def _key_fields(section: Section, key: str) -> dict[str, object]:
    if section != 'limits':
        return {'name': key}
    workspace, _, service = key.partition('/')
    return {'workspace': workspace, 'service': service}


def _field(text: str) -> tuple[str, object]:
    name, equals, raw = text.partition('=')
    if not equals:
        raise OperatorError(f'{text!r}: use field=value.', EXIT_USAGE)
    try:
        return name, json.loads(raw)
    except ValueError:
        return name, raw


def _read_table(name: str) -> Table:
    try:
        text = pathlib.Path(name).read_text(encoding='utf-8')
    except OSError as exc:
        raise OperatorError(
            f'{name}: cannot be read ({exc.strerror}).',
            EXIT_USAGE,
        ) from exc
    try:
        return parse_table(text)
    except TableError as exc:
        raise OperatorError(f'{name}: {exc}', EXIT_USAGE) from exc


def _author() -> str:
    return getpass.getuser()
