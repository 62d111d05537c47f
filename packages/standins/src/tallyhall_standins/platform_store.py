"""Stand-in for the users' metadata store: items, watches, leases, faults.

One revision counter, history that can be compacted, and the faults that
such a store has: down, refusing, slow, losing answers.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import enum
import functools
import itertools
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from tallyhall_edge.server_limits import ServerLimits
from tallyhall_edge.exchange import Exchange
from tallyhall_edge.server import HttpServer

_PAGE = 50
_OK = (200, b'OK')
_NOT_FOUND = (404, b'Not Found')
_GONE = (410, b'Gone')
_FAILED = (412, b'Precondition Failed')
_LIMITED = (429, b'Too Many Requests')
_UNAVAILABLE = (503, b'Service Unavailable')
_MILLI = 1000
Fields = dict[str, Any]
# Returns another value for a key and its value.
View = Callable[[str, bytes], bytes]


@enum.unique
class StoreFault(enum.Enum):
    """What is wrong with the store."""

    none = 'none'
    silent = 'silent'
    resets = 'resets'
    refuses = 'refuses'
    limits = 'limits'
    loses_answers = 'loses_answers'


@dataclasses.dataclass(slots=True)
class StoredItem:
    """One key as the store holds it."""

    key: str
    text: str
    revision: int
    created: int
    lease: int

    def as_fields(self) -> dict[str, Any]:
        """Return the published form."""
        return {
            'key': self.key,
            'value': self.text,
            'revision': self.revision,
            'create-revision': self.created,
            'lease': self.lease,
        }


class StoreStandIn:
    """The store and its HTTP interface."""

    def __init__(self) -> None:
        """Start empty and sound."""
        self.fault = StoreFault.none
        self.delay_s: float = 0
        self.calls = 0
        self.watches = 0
        self.revision = 1
        self.oldest = 0
        # Changes what an instance writes, so that tests can put a link between
        # instances, which learn each other's addresses here.
        self.on_write: View = _unchanged
        self._kept: dict[str, StoredItem] = {}
        self._history: list[tuple[int, Fields]] = []
        self._leases: dict[int, asyncio.TimerHandle] = {}
        self._lease_s: dict[int, float] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()
        self._servers: list[HttpServer] = []

    async def listen(
        self, host: str, port: int, view: View | None = None
    ) -> None:
        """Serve on this address.

        view: changes what is read here, given a key and its value, so that
        instances can have different links to the same upstreams.
        """
        server = HttpServer(
            functools.partial(self._answer, view or _unchanged),
            _raise,
            ServerLimits(idle_timeout_s=60),
        )
        self._servers.append(server)
        await server.listen(host, port)

    def close(self) -> None:
        """Stop to serve."""
        for server in self._servers:
            server.close()

    # -- for tests

    def put(self, key: str, fields: dict[str, Any], lease: int = 0) -> int:
        """Write a key as an operator or an upstream does."""
        return self.put_raw(key, json.dumps(fields).encode(), lease)

    def put_raw(self, key: str, content: bytes, lease: int = 0) -> int:
        """Write any bytes."""
        text = base64.b64encode(content).decode()
        self._write(key, text, lease)
        return self.revision

    def put_text(self, key: str, text: str) -> None:
        """Write a value whose encoding is as given."""
        self._write(key, text, 0)

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self._kept.pop(key, None) is None:
            return
        self.revision += 1
        self._note(
            {'key': key, 'revision': self.revision, 'deleted': True},
        )

    def compact(self) -> None:
        """Forget the history and cut the watches."""
        self._history.clear()
        self.oldest = self.revision
        self._wake_watches()

    def keys(self, prefix: str) -> list[str]:
        """Return all keys below a prefix."""
        return sorted(key for key in self._kept if key.startswith(prefix))

    def item(self, key: str) -> StoredItem | None:
        """Return what a key holds, None where it does not exist."""
        return self._kept.get(key)

    # -- inner steps

    def _write(self, key: str, text: str, lease: int) -> None:
        self.revision += 1
        old = self._kept.get(key)
        created = self.revision if old is None else old.created
        entry = StoredItem(key, text, self.revision, created, lease)
        self._kept[key] = entry
        self._note(entry.as_fields())

    def _note(self, event: dict[str, Any]) -> None:
        self._history.append((self.revision, event))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _answer(self, view: View, exchange: Exchange) -> None:
        self.calls += 1
        self.watches += exchange.head.target.startswith(b'/kv-watch')
        if self.fault is StoreFault.silent:
            await asyncio.Event().wait()
        if self.fault is StoreFault.resets:
            exchange.abort()
            return
        if self.fault is StoreFault.refuses:
            exchange.answer(*_UNAVAILABLE, (), b'')
            return
        if self.fault is StoreFault.limits:
            exchange.answer(*_LIMITED, (), b'')
            return
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        status, fields = await self._route(exchange)
        if self.fault is StoreFault.loses_answers:
            exchange.abort()
            return
        headers = ((b'Content-Type', b'application/json'),)
        shown = _as_seen(view, fields)
        exchange.answer(*status, headers, json.dumps(shown).encode())

    async def _route(
        self,
        exchange: Exchange,
    ) -> tuple[tuple[int, bytes], dict[str, Any]]:
        url = urlsplit(exchange.head.target.decode())
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        body = json.loads(exchange.body or b'{}')
        name = url.path.split('/')[1]
        if name == 'kv-watch':
            return await self._watch(query)
        if name in {'kv-range', 'kv-key'}:
            return self._read(name, query)
        if name == 'kv-txn':
            return self._transact(body)
        if name == 'kv-lease':
            return _OK, self._grant(body['ttl-ms'] / _MILLI)
        if name == 'kv-keep':
            return self._keep(int(url.path.split('/')[2]))
        if name == 'kv-lease-end':
            self._expire(int(url.path.split('/')[2]))
            return _OK, {}
        return _NOT_FOUND, {}

    def _read(
        self,
        name: str,
        query: dict[str, str],
    ) -> tuple[tuple[int, bytes], dict[str, Any]]:
        if name == 'kv-range':
            return _OK, self._range(query)
        found = self._kept.get(query['key'])
        if found is None:
            return _NOT_FOUND, {}
        return _OK, {**found.as_fields(), 'as-of': self.revision}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get('after', '')
        keys = [key for key in self.keys(query['prefix']) if key > after]
        return {
            'items': [self._kept[key].as_fields() for key in keys[:_PAGE]],
            'more-pages': len(keys) > _PAGE,
            'as-of': self.revision,
        }

    async def _watch(
        self,
        query: dict[str, str],
    ) -> tuple[tuple[int, bytes], dict[str, Any]]:
        after = int(query['after'])
        prefix = query['prefix']
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query['wait-ms']) / _MILLI
        while True:
            if after < self.oldest:
                return _GONE, {}
            events = [
                event
                for revision, event in self._history
                if revision > after and event['key'].startswith(prefix)
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return _OK, {'events': events, 'as-of': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    def _transact(
        self,
        body: dict[str, Any],
    ) -> tuple[tuple[int, bytes], dict[str, Any]]:
        for row in body['expected-rev']:
            entry = self._kept.get(row['key'])
            revision = 0 if entry is None else entry.revision
            if revision != row['revision']:
                return _FAILED, {'items': []}
        for write in body['writes']:
            lease = write.get('lease', 0)
            if lease and lease not in self._leases:
                return _NOT_FOUND, {}
            content = base64.b64decode(write['value'])
            changed = self.on_write(write['key'], content)
            text = base64.b64encode(changed).decode()
            self._write(write['key'], text, lease)
        for key in body['delete']:
            self.remove(key)
        return _OK, {'revision': self.revision}

    def _grant(self, ttl_s: float) -> dict[str, Any]:
        lease = next(self._lease_ids)
        self._lease_s[lease] = ttl_s
        self._arm(lease)
        return {'lease': lease, 'ttl-ms': int(ttl_s * _MILLI)}

    def _keep(self, lease: int) -> tuple[tuple[int, bytes], dict[str, Any]]:
        timer = self._leases.get(lease)
        if timer is None:
            return _NOT_FOUND, {}
        timer.cancel()
        self._arm(lease)
        return _OK, {'ttl-ms': int(self._lease_s[lease] * _MILLI)}

    def _arm(self, lease: int) -> None:
        loop = asyncio.get_running_loop()
        self._leases[lease] = loop.call_later(
            self._lease_s[lease],
            self._expire,
            lease,
        )

    def _expire(self, lease: int) -> None:
        timer = self._leases.pop(lease, None)
        if timer is None:
            return
        timer.cancel()
        for key, entry in tuple(self._kept.items()):
            if entry.lease == lease:
                self.remove(key)


def _unchanged(key: str, content: bytes) -> bytes:
    return content


def _as_seen(view: View, fields: Fields) -> Fields:
    """Return an answer of the store with the values that a view shows."""
    if view is _unchanged:
        return fields
    seen = dict(fields)
    for name in ('items', 'events'):
        if name in fields:
            seen[name] = [_as_seen(view, item) for item in fields[name]]
    if 'value' in fields:
        content = base64.b64decode(fields['value'])
        seen['value'] = base64.b64encode(view(fields['key'], content)).decode()
    return seen


def _raise(exc: Exception) -> None:
    raise exc
