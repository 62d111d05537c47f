"""A stand-in for the key-value service: the etcd v3 JSON interface.

Range, put, txn with one compare, leases and watches over one sorted map with
a revision. POST /standin/faults sets outages, delays, lost answers and rate
limits; GET /standin/counts tells the calls made.
"""

from __future__ import annotations

import base64
import dataclasses
import json
import threading
import time
from collections.abc import Iterator
from typing import Any

from .web import (
    CutError,
    Request,
    Response,
    json_response,
    not_found,
)

_MAX_VALUE = 1_000_000
_UNAVAILABLE = 503
_TOO_MANY = 429
_BAD = 400
_BEAT_S = 0.5
_HISTORY = 10_000


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong now. lose_answers: share of answers lost, by count."""

    down: bool = False
    delay_s: float = 0
    lose_every: int = 0
    writes_per_s: float = 1000.0
    reads_per_s: float = 4000.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    content: str
    created: int
    modified: int
    lease: str = ''


class KvStandIn:
    """The service's state and its handlers."""

    def __init__(self) -> None:
        """Start empty at revision 1."""
        self._cond = threading.Condition()
        self._entries: dict[bytes, _Entry] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._changes: list[tuple[int, bytes, _Entry | None]] = []
        self._revision = 1
        self._faults = Faults()
        self._counts = {'reads': 0, 'writes': 0, 'watches': 0}
        self._next_lease = 1
        self._budget: dict[str, float] = {'reads': 0, 'writes': 0}
        self._budget_at = time.monotonic()

    def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path.startswith('/standin/'):
            return self._control(req)
        handlers = {
            '/v3/kv/range': (self._range, 'reads'),
            '/v3/kv/put': (self._put, 'writes'),
            '/v3/kv/txn': (self._txn, 'writes'),
            '/v3/watch': (self._watch, 'watches'),
            '/v3/lease/grant': (self._grant, 'writes'),
            '/v3/lease/keepalive': (self._keep, 'writes'),
            '/v3/lease/revoke': (self._revoke, 'writes'),
        }
        if req.path not in handlers:
            return not_found()
        respond, kind = handlers[req.path]
        self._counts[kind] += 1
        faults = self._faults
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.down:
            return json_response({'error': 'outage'}, _UNAVAILABLE)
        if not self._within_rate(kind):
            return json_response({'error': 'rate'}, _TOO_MANY)
        resp = respond(req.json())
        lost = faults.lose_every and kind == 'writes'
        if lost and self._counts[kind] % faults.lose_every == 0:
            return Response(_UNAVAILABLE, _cut())
        return resp

    # -- key-value

    def _range(self, body: dict[str, Any]) -> Response:
        with self._cond:
            self._expire()
            first = _decode(body['key'])
            last = _decode(body.get('range_end', ''))
            found = [
                _kv(key, entry)
                for key, entry in sorted(self._entries.items())
                if key == first or (last and first <= key < last)
            ]
            return json_response({'header': self._header(), 'kvs': found})

    def _put(self, body: dict[str, Any]) -> Response:
        with self._cond:
            return self._write(body)

    def _txn(self, body: dict[str, Any]) -> Response:
        with self._cond:
            self._expire()
            matches = all(map(self._compare, body.get('compare', [])))
            branch = 'success' if matches else 'failure'
            for step in body.get(branch, []):
                resp = self._step(step)
                if resp.status == _BAD:
                    return resp
            answer = {'header': self._header(), 'succeeded': matches}
            return json_response(answer)

    def _step(self, step: dict[str, Any]) -> Response:
        if 'request_put' in step:
            return self._write(step['request_put'])
        self._delete(_decode(step['request_delete_range']['key']))
        return Response()

    def _compare(self, rule: dict[str, Any]) -> bool:
        entry = self._entries.get(_decode(rule['key']))
        if rule['target'] == 'MOD':
            seen = entry.modified if entry else 0
            return seen == int(rule['mod_revision'])
        if rule['target'] == 'CREATE':
            seen = entry.created if entry else 0
            return seen == int(rule['create_revision'])
        content = entry.content if entry else ''
        return content == str(rule['value'])

    def _write(self, body: dict[str, Any]) -> Response:
        content = body.get('value', '')
        if len(base64.b64decode(content)) > _MAX_VALUE:
            return json_response({'error': 'too large'}, _BAD)
        key = _decode(body['key'])
        self._revision += 1
        old = self._entries.get(key)
        created = old.created if old else self._revision
        entry = _Entry(content, created, self._revision, body.get('lease', ''))
        self._entries[key] = entry
        self._record(key, entry)
        return json_response({'header': self._header()})

    def _delete(self, key: bytes) -> None:
        if self._entries.pop(key, None) is not None:
            self._revision += 1
            self._record(key, None)

    def _record(self, key: bytes, entry: _Entry | None) -> None:
        self._changes.append((self._revision, key, entry))
        self._changes = self._changes[-_HISTORY:]
        self._cond.notify_all()

    # -- watches

    def _watch(self, body: dict[str, Any]) -> Response:
        request = body['create_request']
        return Response(body=self._watch_lines(request))

    def _watch_lines(self, request: dict[str, Any]) -> Iterator[bytes]:
        first = _decode(request['key'])
        last = _decode(request.get('range_end', ''))
        following = int(request.get('start_revision') or self._revision + 1)
        yield _line({'result': {'created': True}})
        while not self._faults.down:
            with self._cond:
                self._expire()
                events = [
                    _event(key, entry)
                    for revision, key, entry in self._changes
                    if revision >= following
                    and (key == first or (last and first <= key < last))
                ]
                following = self._revision + 1
                if not events:
                    self._cond.wait(_BEAT_S)
            if events:
                yield _line({'result': {'events': events}})

    # -- leases

    def _grant(self, body: dict[str, Any]) -> Response:
        with self._cond:
            lease = str(self._next_lease)
            self._next_lease += 1
            ttl = float(body['TTL'])
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return json_response({'ID': lease, 'TTL': str(int(ttl))})

    def _keep(self, body: dict[str, Any]) -> Response:
        with self._cond:
            self._expire()
            lease = str(body['ID'])
            known = self._leases.get(lease)
            ttl: float = 0
            if known is not None:
                ttl = known[0]
                self._leases[lease] = (ttl, time.monotonic() + ttl)
            return json_response(
                {'result': {'ID': lease, 'TTL': str(int(ttl))}}
            )

    def _revoke(self, body: dict[str, Any]) -> Response:
        with self._cond:
            lease = str(body['ID'])
            if lease in self._leases:
                self._leases[lease] = (0, 0)
            self._expire()
            return json_response({'header': self._header()})

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until) in list(self._leases.items()):
            if now < until:
                continue
            self._leases.pop(lease)
            for key, entry in list(self._entries.items()):
                if entry.lease == lease:
                    self._delete(key)

    # -- control

    def _control(self, req: Request) -> Response:
        if req.path == '/standin/faults':
            for name, setting in req.json().items():
                setattr(self._faults, name, setting)
            return json_response(dataclasses.asdict(self._faults))
        return json_response(dict(self._counts))

    def _within_rate(self, kind: str) -> bool:
        if kind == 'watches':
            return True
        rates = {
            'reads': self._faults.reads_per_s,
            'writes': self._faults.writes_per_s,
        }
        with self._cond:
            now = time.monotonic()
            elapsed = now - self._budget_at
            self._budget_at = now
            for name, rate in rates.items():
                grown = self._budget[name] + rate * elapsed
                self._budget[name] = min(rate, grown)
            if self._budget[kind] < 1:
                return False
            self._budget[kind] -= 1
            return True

    def _header(self) -> dict[str, str]:
        return {'revision': str(self._revision)}


def _cut() -> Iterator[bytes]:
    yield b'{'
    raise CutError


def _line(content: object) -> bytes:
    return f'{json.dumps(content)}\n'.encode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _kv(key: bytes, entry: _Entry) -> dict[str, str]:
    return {
        'key': base64.b64encode(key).decode(),
        'value': entry.content,
        'create_revision': str(entry.created),
        'mod_revision': str(entry.modified),
    }


def _event(key: bytes, entry: _Entry | None) -> dict[str, Any]:
    if entry is None:
        name = base64.b64encode(key).decode()
        return {'type': 'DELETE', 'kv': {'key': name}}
    return {'type': 'PUT', 'kv': _kv(key, entry)}
