"""Client of the platform's metadata store, the only one there is.

Every call has a time limit; a connection on which an answer is missing is
closed, since nothing more comes on it. Nothing is retried here: only the
caller knows whether a call may be made twice.
"""

from __future__ import annotations

import asyncio
import base64
import types
from collections.abc import Mapping
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
from tallyhall_dispatch.options import Listening
from tallyhall_edge.client import ClientConnection
from tallyhall_edge.errors import EdgeError
from tallyhall_edge.messages import head_bytes
from tallyhall_edge.whole import WholeAnswer, read_whole

from .calls import Call, CallCause, CallCounts, CallKind, CallOutcome
from .errors import (
    ConditionFailedError,
    DecodeError,
    HistoryGoneError,
    LeaseEndedError,
    StoreLimitedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from .parse import Part, parsed

# A store that works answers in milliseconds; one that is slow by design of
# its operators answers within a second.
_CALL_S = 1.0
_CONNECT_S = 0.5
# What a watch may take beyond the time that it was asked to wait.
_WATCH_EXTRA_S = 0.5
_MILLI = 1000
# Each change in the answer to a watch names its key.
_KEY_FIELD = b'"key"'
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_LIMITED = 429
_REFUSED = 503


_Model = TypeVar('_Model')
_NOTHING: Mapping[str, int] = types.MappingProxyType({})
_NO_LEASE = 0


class _Row(Part, frozen=True):
    """A key with its value, or with the sign that it is gone."""

    key: str
    revision: int
    value: str = ''
    deleted: bool = False


class _Page(Part, frozen=True):
    as_of: int
    items: tuple[_Row, ...]  # noqa: WPS110
    more_pages: bool = False


class _News(Part, frozen=True):
    as_of: int
    events: tuple[_Row, ...]


class _Lease(Part, frozen=True):
    lease: int


class _Written(Part, frozen=True):
    revision: int


class Item(msgspec.Struct, frozen=True):
    """A key with its value; the revision is that of its last change."""

    key: str
    content: bytes
    revision: int


class Change(msgspec.Struct, frozen=True):
    """A change of one key; `content` is None where it was deleted."""

    key: str
    content: bytes | None
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A value for a key that stands at a revision, 0 for one that is new."""

    key: str
    content: bytes
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """All items below a prefix; nothing before `revision` is missing."""

    entries: tuple[Item, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes after a revision, and where to go on from."""

    changes: tuple[Change, ...]
    revision: int


class StoreClient:
    """Calls on one kept connection, one at a time."""

    def __init__(
        self,
        address: Listening,
        counts: CallCounts | None = None,
    ) -> None:
        """Connect at the first call; count calls in `counts`."""
        # Why the next call is made, for the counts.
        self.cause = CallCause.start
        self._address = address
        self._counts = counts or CallCounts()
        self._conn: ClientConnection | None = None
        self._turn = asyncio.Lock()
        self._proved_at = float('-inf')

    @property
    def proved_at(self) -> float:
        """Return when the connection of the last call was last known to work.

        That is its last answer, or the moment at which it was opened; a lost
        call says nothing about connections that are opened later. In seconds
        of the loop's clock.
        """
        return self._proved_at

    def idle_s(self) -> float:
        """Return how long nothing was heard on a kept connection, else 0."""
        if self._conn is None or not self._conn.is_open:
            return 0
        return asyncio.get_running_loop().time() - self._proved_at

    async def snapshot(self, prefix: str) -> Snapshot:
        """Return all items below a prefix, page by page."""
        found: list[Item] = []
        revision = 0
        after = ''
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = await self._read(
                CallKind.scan,
                f'/kv-range?{urlencode(query)}',
                _Page,
            )
            found.extend(
                Item(row.key, _content(row.value), row.revision)
                for row in page.items
            )
            # Pages are read one after another: only what stood at the first
            # one is certain to be in all of them.
            revision = revision or page.as_of
            if not page.more_pages or not page.items:
                return Snapshot(tuple(found), revision)
            after = found[-1].key

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, None where there is none."""
        path = f'/kv-key?{urlencode({"key": key})}'
        answer = await self._call(CallKind.get, 'GET', path, None)
        if answer.status == _NOT_FOUND:
            return None
        row = _checked(answer, _Row)
        return Item(row.key, _content(row.value), row.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision, or none after `wait_s`.

        Raises HistoryGoneError where the store no longer holds them.
        """
        wait_ms = str(int(wait_s * _MILLI))
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait-ms': wait_ms},
        )
        answer = await self._read(
            CallKind.watch,
            f'/kv-watch?{query}',
            _News,
            max(wait_s + _WATCH_EXTRA_S, _CALL_S),
        )
        changes = tuple(_change(row) for row in answer.events)
        return Changes(changes, answer.as_of)

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Write a key under a lease, whatever it holds now."""
        await self._write(key, content, lease, _NOTHING)

    async def create(self, key: str, lease: int) -> None:
        """Write an empty key that does not exist yet.

        Raises ConditionFailedError where it exists.
        """
        await self._write(key, b'', lease, {key: 0})

    async def swap(
        self,
        write: Write,
        beside: Mapping[str, int] = _NOTHING,
    ) -> int:
        """Write a key where it stands at a revision; return its new one.

        beside: other keys that must stand at their revisions. Raises
        ConditionFailedError where one of them does not.
        """
        expected = {write.key: write.revision, **beside}
        answer = await self._write(
            write.key,
            write.content,
            _NO_LEASE,
            expected,
        )
        return _checked(answer, _Written).revision

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        answer = await self._call(
            CallKind.lease,
            'POST',
            '/kv-lease',
            {'ttl-ms': int(ttl_s * _MILLI)},
        )
        return _checked(answer, _Lease).lease

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseEndedError."""
        path = f'/kv-keep/{lease}'
        answer = await self._call(CallKind.renewal, 'POST', path, {})
        if answer.status == _NOT_FOUND:
            raise LeaseEndedError(str(lease))
        _check_status(answer)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys; one that has ended is no error."""
        path = f'/kv-lease-end/{lease}'
        answer = await self._call(CallKind.end, 'DELETE', path, None)
        if answer.status != _NOT_FOUND:
            _check_status(answer)

    def move(self, address: Listening) -> None:
        """Use another address from the next call on."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    async def _read(
        self,
        kind: CallKind,
        path: str,
        model: type[_Model],
        wait_s: float = _CALL_S,
    ) -> _Model:
        answer = await self._call(kind, 'GET', path, None, wait_s)
        if answer.status == _GONE:
            raise HistoryGoneError(path)
        return _checked(answer, model)

    async def _write(
        self,
        key: str,
        content: bytes,
        lease: int,
        expected: Mapping[str, int],
    ) -> WholeAnswer:
        """Write a key where all that is expected stands at its revision."""
        text = base64.b64encode(content).decode()
        body = {
            'expected-rev': [
                {'key': other, 'revision': revision}
                for other, revision in expected.items()
            ],
            'writes': [{'key': key, 'value': text, 'lease': lease}],
            'delete': [],
        }
        answer = await self._call(CallKind.write, 'POST', '/kv-txn', body)
        if answer.status == _CONDITION_FAILED:
            raise ConditionFailedError('the keys have changed')
        if answer.status == _NOT_FOUND:
            raise LeaseEndedError('the lease of a write has ended')
        _check_status(answer)
        return answer

    async def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        wait_s: float = _CALL_S,
    ) -> WholeAnswer:
        raw = b'' if body is None else msgspec.json.encode(body)
        headers = (
            (b'Host', str(self._address).encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', b'%d' % len(raw)),
        )
        line = f'{method} {quote(path, safe="/?=&%-_.")} HTTP/1.1'.encode()
        async with self._turn:
            outcome = CallOutcome.lost
            try:
                answer = await self._exchange(
                    head_bytes(line, headers) + raw,
                    wait_s,
                )
                outcome = _outcome(kind, answer)
            finally:
                self._counts.note(Call(kind, self.cause, outcome))
            return answer

    async def _exchange(self, raw: bytes, wait_s: float) -> WholeAnswer:
        try:
            async with asyncio.timeout(wait_s):
                conn = await self._connected()
                answer = await read_whole(conn, raw)
        except (EdgeError, TimeoutError) as exc:
            self.close()
            raise StoreUnavailableError(repr(exc)) from exc
        except BaseException:
            self.close()
            raise
        self._proved_at = asyncio.get_running_loop().time()
        if not conn.reusable:
            self.close()
        return answer

    async def _connected(self) -> ClientConnection:
        conn = self._conn
        if conn is None or not conn.is_open:
            self._proved_at = asyncio.get_running_loop().time()
            conn = await ClientConnection.open(
                self._address.host,
                self._address.port,
                _CONNECT_S,
            )
            self._conn = conn
        return conn


def _outcome(kind: CallKind, answer: WholeAnswer) -> CallOutcome:
    if answer.status == _LIMITED:
        return CallOutcome.limited
    if answer.status == _REFUSED:
        return CallOutcome.refused
    if kind is CallKind.watch and _KEY_FIELD in answer.body:
        return CallOutcome.changed
    return CallOutcome.answered


def _check_status(answer: WholeAnswer) -> None:
    if answer.status == _LIMITED:
        raise StoreLimitedError(f'status {answer.status}')
    if answer.status == _REFUSED:
        raise StoreRefusedError(f'status {answer.status}')
    if answer.status != _OK:
        raise StoreUnavailableError(f'status {answer.status}')


def _checked(answer: WholeAnswer, model: type[_Model]) -> _Model:
    _check_status(answer)
    try:
        return parsed(answer.body, model)
    except DecodeError as exc:
        raise StoreUnavailableError(f'no answer in its form: {exc}') from exc


def _change(row: _Row) -> Change:
    content = None if row.deleted else _content(row.value)
    return Change(row.key, content, row.revision)


def _content(text: str) -> bytes:
    """Return a value, without bytes where it cannot be read.

    The value of one key must not keep those of all others from being read.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b''
