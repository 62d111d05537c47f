"""Client of the platform's metadata store.

Every call has a timeout, after which its connection is closed and not used
again. It is extended while parts of the answer arrive, since a value of a
megabyte takes seconds on a narrow link. Nothing is retried here, since only the
caller knows whether a call may be repeated.
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
from tallyhall_edge.buffered import BufferedResponse, read_response
from tallyhall_edge.client import ClientConnection
from tallyhall_edge.errors import EdgeError
from tallyhall_edge.messages import encode_head

from .call_counts import CallCause, CallCounts, CallKind, CallOutcome, StoreCall
from .errors import (
    ConditionFailedError,
    DecodeError,
    HistoryCompactedError,
    LeaseEndedError,
    StoreLimitedError,
    StoreRefusedError,
    StoreUnavailableError,
)
from .parse import KebabStruct, parse_json

# A healthy store answers in milliseconds; one that its operators slow down
# deliberately answers within a second.
_CALL_TIMEOUT_S = 1.0
# Time in which some more of an answer must arrive, and longest time for all of
# it.
_PROGRESS_TIMEOUT_S = 1.0
_MAX_ANSWER_S = 10.0
_CONNECT_TIMEOUT_S = 0.5
# Time that a watch may take beyond its requested wait.
_WATCH_GRACE_S = 0.5
_MILLI = 1000
# Every change in the answer to a watch has this field.
_KEY_FIELD = b'"key"'
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_CONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503


_Model = TypeVar('_Model')
_NO_CONDITIONS: Mapping[str, int] = types.MappingProxyType({})
_NO_LEASE = 0


class _Row(KebabStruct, frozen=True):
    """A key with its value, or marked as deleted."""

    key: str
    revision: int
    value: str = ''
    deleted: bool = False
    create_revision: int = 0


class _Page(KebabStruct, frozen=True):
    as_of: int
    items: tuple[_Row, ...]  # noqa: WPS110
    more_pages: bool = False


class _WatchAnswer(KebabStruct, frozen=True):
    as_of: int
    events: tuple[_Row, ...]


class _LeaseAnswer(KebabStruct, frozen=True):
    lease: int


class _WriteAnswer(KebabStruct, frozen=True):
    revision: int


class Item(msgspec.Struct, frozen=True):
    """A key with its value, the revisions of its last change and creation."""

    key: str
    content: bytes
    revision: int
    created: int = 0


class Change(msgspec.Struct, frozen=True):
    """A change of one key; `content` is None if it was deleted.

    created: revision at which the key was created, 0 if unknown.
    """

    key: str
    content: bytes | None
    revision: int
    created: int = 0


class ConditionalWrite(msgspec.Struct, frozen=True):
    """A value to write if its key is at `revision`, 0 if it is new."""

    key: str
    content: bytes
    revision: int


class Snapshot(msgspec.Struct, frozen=True):
    """All items under a prefix, with every change up to `revision`."""

    entries: tuple[Item, ...]
    revision: int


class Changes(msgspec.Struct, frozen=True):
    """Changes after a revision, and the revision to continue from."""

    changes: tuple[Change, ...]
    revision: int


class StoreClient:
    """Makes calls on one kept-alive connection, one at a time."""

    def __init__(
        self,
        address: Listening,
        counts: CallCounts | None = None,
    ) -> None:
        """Connect on the first call; count calls in `counts`."""
        # The cause under which the next calls are counted.
        self.cause = CallCause.start
        self._address = address
        self._counts = counts or CallCounts()
        self._conn: ClientConnection | None = None
        self._call_lock = asyncio.Lock()
        self._last_worked_at = float('-inf')

    @property
    def last_worked_at(self) -> float:
        """Return when the connection of the last call last worked.

        This is the time of its last answer, or the time at which it was
        opened, in seconds of the loop's clock. A failed call does not show
        that connections opened later fail too.
        """
        return self._last_worked_at

    def idle_s(self) -> float:
        """Return how long the open connection has been idle, 0 without one."""
        if self._conn is None or not self._conn.is_open:
            return 0
        return asyncio.get_running_loop().time() - self._last_worked_at

    async def snapshot(self, prefix: str) -> Snapshot:
        """Read all items under a prefix, page by page."""
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
                Item(
                    row.key,
                    _decode_value(row.value),
                    row.revision,
                    row.create_revision,
                )
                for row in page.items
            )
            # Pages are read one after another, so only changes up to the
            # revision of the first are certain to be included.
            revision = revision or page.as_of
            if not page.more_pages or not page.items:
                return Snapshot(tuple(found), revision)
            after = found[-1].key

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, None if the key does not exist."""
        path = f'/kv-key?{urlencode({"key": key})}'
        answer = await self._call(CallKind.get, 'GET', path, None)
        if answer.status == _NOT_FOUND:
            return None
        row = _decode_answer(answer, _Row)
        return Item(row.key, _decode_value(row.value), row.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return changes after a revision, or none after `wait_s`.

        Raises HistoryCompactedError if the store no longer has them.
        """
        wait_ms = str(int(wait_s * _MILLI))
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait-ms': wait_ms},
        )
        answer = await self._read(
            CallKind.watch,
            f'/kv-watch?{query}',
            _WatchAnswer,
            max(wait_s + _WATCH_GRACE_S, _CALL_TIMEOUT_S),
        )
        changes = tuple(_to_change(row) for row in answer.events)
        return Changes(changes, answer.as_of)

    async def put(self, key: str, content: bytes, lease: int) -> None:
        """Write a key under a lease unconditionally."""
        await self._write(key, content, lease, _NO_CONDITIONS)

    async def create(self, key: str, lease: int) -> None:
        """Create a key with an empty value.

        Raises ConditionFailedError if it exists.
        """
        await self._write(key, b'', lease, {key: 0})

    async def compare_and_swap(
        self,
        write: ConditionalWrite,
        also_expected: Mapping[str, int] = _NO_CONDITIONS,
    ) -> int:
        """Write a key if its revision is as expected; return the new one.

        also_expected: revisions that other keys must have. Raises
        ConditionFailedError if any revision differs.
        """
        expected = {write.key: write.revision, **also_expected}
        answer = await self._write(
            write.key,
            write.content,
            _NO_LEASE,
            expected,
        )
        return _decode_answer(answer, _WriteAnswer).revision

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease; return its id."""
        answer = await self._call(
            CallKind.lease,
            'POST',
            '/kv-lease',
            {'ttl-ms': int(ttl_s * _MILLI)},
        )
        return _decode_answer(answer, _LeaseAnswer).lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseEndedError."""
        path = f'/kv-keep/{lease}'
        answer = await self._call(CallKind.renewal, 'POST', path, {})
        if answer.status == _NOT_FOUND:
            raise LeaseEndedError(str(lease))
        _check_status(answer)

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys; no error if it has ended."""
        path = f'/kv-lease-end/{lease}'
        answer = await self._call(CallKind.end, 'DELETE', path, None)
        if answer.status != _NOT_FOUND:
            _check_status(answer)

    def use_address(self, address: Listening) -> None:
        """Use another address, from the next call on."""
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
        wait_s: float = _CALL_TIMEOUT_S,
    ) -> _Model:
        answer = await self._call(kind, 'GET', path, None, wait_s)
        if answer.status == _GONE:
            raise HistoryCompactedError(path)
        return _decode_answer(answer, model)

    async def _write(
        self,
        key: str,
        content: bytes,
        lease: int,
        expected: Mapping[str, int],
    ) -> BufferedResponse:
        """Write a key if all expected keys have the given revisions."""
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
            raise ConditionFailedError('a key is not at its expected revision')
        if answer.status == _NOT_FOUND:
            raise LeaseEndedError('the lease of the write has ended')
        _check_status(answer)
        return answer

    async def _call(
        self,
        kind: CallKind,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        wait_s: float = _CALL_TIMEOUT_S,
    ) -> BufferedResponse:
        raw = b'' if body is None else msgspec.json.encode(body)
        headers = (
            (b'Host', str(self._address).encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', b'%d' % len(raw)),
        )
        line = f'{method} {quote(path, safe="/?=&%-_.")} HTTP/1.1'.encode()
        async with self._call_lock:
            outcome = CallOutcome.lost
            try:
                answer = await self._exchange(
                    encode_head(line, headers) + raw,
                    wait_s,
                )
                outcome = _outcome(kind, answer)
            finally:
                self._counts.record(StoreCall(kind, self.cause, outcome))
            return answer

    async def _exchange(self, raw: bytes, wait_s: float) -> BufferedResponse:
        try:
            async with asyncio.timeout(wait_s) as scope:
                conn = await self._connect()
                conn.on_received = _Extension(scope)
                answer = await read_response(conn, raw)
                conn.on_received = None
        except (EdgeError, TimeoutError) as exc:
            self.close()
            raise StoreUnavailableError(repr(exc)) from exc
        except BaseException:
            self.close()
            raise
        self._last_worked_at = asyncio.get_running_loop().time()
        if not conn.reusable:
            self.close()
        return answer

    async def _connect(self) -> ClientConnection:
        conn = self._conn
        if conn is None or not conn.is_open:
            self._last_worked_at = asyncio.get_running_loop().time()
            conn = await ClientConnection.open(
                self._address.host,
                self._address.port,
                _CONNECT_TIMEOUT_S,
            )
            self._conn = conn
        return conn


class _Extension:
    """Extends the timeout of a call whenever a part of its answer arrives."""

    def __init__(self, scope: asyncio.Timeout) -> None:
        """Extend this timeout, which has been entered."""
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._max_due_at = self._due_at + _MAX_ANSWER_S

    def __call__(self, conn: ClientConnection) -> None:
        """Extend the timeout, up to the longest time for an answer."""
        extended_at = self._loop.time() + _PROGRESS_TIMEOUT_S
        if self._due_at < extended_at and not self._scope.expired():
            self._scope.reschedule(min(extended_at, self._max_due_at))

    @property
    def _due_at(self) -> float:
        return self._scope.when() or 0


def _outcome(kind: CallKind, answer: BufferedResponse) -> CallOutcome:
    if answer.status == _TOO_MANY_REQUESTS:
        return CallOutcome.limited
    if answer.status == _SERVICE_UNAVAILABLE:
        return CallOutcome.refused
    if kind is CallKind.watch and _KEY_FIELD in answer.body:
        return CallOutcome.changed
    return CallOutcome.answered


def _check_status(answer: BufferedResponse) -> None:
    if answer.status == _TOO_MANY_REQUESTS:
        raise StoreLimitedError(f'status {answer.status}')
    if answer.status == _SERVICE_UNAVAILABLE:
        raise StoreRefusedError(f'status {answer.status}')
    if answer.status != _OK:
        raise StoreUnavailableError(f'status {answer.status}')


def _decode_answer(answer: BufferedResponse, model: type[_Model]) -> _Model:
    _check_status(answer)
    try:
        return parse_json(answer.body, model)
    except DecodeError as exc:
        raise StoreUnavailableError(f'malformed answer: {exc}') from exc


def _to_change(row: _Row) -> Change:
    content = None if row.deleted else _decode_value(row.value)
    return Change(row.key, content, row.revision, row.create_revision)


def _decode_value(text: str) -> bytes:
    """Decode a base64 value; return b'' if it is invalid.

    One invalid value must not prevent all others from being read.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b''
