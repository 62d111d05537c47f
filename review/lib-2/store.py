"""Stand-in of the platform's metadata store (PROTOCOL.md, "metadata store").

Sound: linearizable, loses nothing. Each address that it listens at may have a
view, which changes what is read there, so that a link can be put between one
instance and one engine.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
from collections.abc import Callable
from urllib.parse import parse_qsl, urlsplit

from http11 import encode, read_head, read_request_body

View = Callable[[str, bytes], bytes]
PHRASES = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed'}


def same(key: str, content: bytes) -> bytes:
    return content


class Store:
    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        # Changes of the last `history_s` seconds, each with its time.
        self.history: list[tuple[float, dict]] = []
        self.history_s = 20.0
        # The newest revision whose change is no longer kept.
        self.forgotten = 0
        self.leases: dict[int, tuple[float, asyncio.TimerHandle]] = {}
        self.lease_ids = itertools.count(1)
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []

    async def listen(self, port: int, view: View = same) -> None:
        async def serve(reader, writer):
            await self._serve(reader, writer, view)

        self.servers.append(await asyncio.start_server(serve, '127.0.0.1', port))

    # -- for the operator and the engines

    def put(self, key: str, fields: dict) -> int:
        self._write(key, json.dumps(fields).encode(), 0)
        return self.revision

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({'key': key, 'revision': self.revision, 'deleted': True})

    # -- calls

    async def _serve(self, reader, writer, view: View) -> None:
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_request_body(reader, head)
                method, target, _ = head.line.split(' ')
                status, fields = await self._answer(method, target, body)
                raw = json.dumps(self._seen(view, fields)).encode()
                pairs = [
                    ('Content-Type', 'application/json'),
                    ('Content-Length', str(len(raw))),
                ]
                line = f'HTTP/1.1 {status} {PHRASES[status]}'
                writer.write(encode(line, pairs, raw))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _seen(self, view: View, fields: dict) -> dict:
        if view is same:
            return fields
        shown = dict(fields)
        for name in ('items', 'events'):
            if name in shown:
                shown[name] = [self._seen(view, one) for one in shown[name]]
        if 'value' in shown:
            content = view(shown['key'], base64.b64decode(shown['value']))
            shown['value'] = base64.b64encode(content).decode()
        return shown

    async def _answer(self, method: str, target: str, body: bytes):
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        name, _, number = url.path.strip('/').partition('/')
        if name == 'kv-key':
            found = self.items.get(query['key'])
            if found is None:
                return 404, {}
            return 200, {**found, 'as-of': self.revision}
        if name == 'kv-range':
            return 200, self._range(query)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._transact(json.loads(body))
        if name == 'kv-lease':
            ttl_s = json.loads(body)['ttl-ms'] / 1000
            lease = next(self.lease_ids)
            self._arm(lease, ttl_s)
            return 200, {'lease': lease, 'ttl-ms': int(ttl_s * 1000)}
        if name == 'kv-keep':
            known = self.leases.get(int(number))
            if known is None:
                return 404, {}
            known[1].cancel()
            self._arm(int(number), known[0])
            return 200, {'ttl-ms': int(known[0] * 1000)}
        if name == 'kv-lease-end':
            return (200 if self._expire(int(number)) else 404), {}
        return 404, {}

    def _range(self, query: dict) -> dict:
        prefix, after = query['prefix'], query.get('after', '')
        keys = sorted(key for key in self.items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        return {
            'items': [self.items[key] for key in keys[:500]],
            'more-pages': len(keys) > 500,
            'as-of': self.revision,
        }

    async def _watch(self, query: dict):
        loop = asyncio.get_running_loop()
        after, prefix = int(query['after']), query['prefix']
        ends_at = loop.time() + int(query['wait-ms']) / 1000
        while True:
            self._forget(loop.time())
            if after < self.forgotten:
                return 410, {}
            events = [
                one
                for _, one in self.history
                if one['revision'] > after and one['key'].startswith(prefix)
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'as-of': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, body: dict):
        for row in body.get('expected-rev', ()):
            known = self.items.get(row['key'])
            if row['revision'] != (known['revision'] if known else 0):
                return 412, {'items': []}
        for write in body.get('writes', ()):
            if write.get('lease') and write['lease'] not in self.leases:
                return 404, {}
        for write in body.get('writes', ()):
            content = base64.b64decode(write['value'])
            self._write(write['key'], content, write.get('lease', 0))
        for key in body.get('delete', ()):
            self.remove(key)
        return 200, {'revision': self.revision}

    # -- state

    def _write(self, key: str, content: bytes, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'create-revision': known['create-revision'] if known else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def _note(self, event: dict) -> None:
        self.history.append((asyncio.get_running_loop().time(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _forget(self, now: float) -> None:
        while self.history and now - self.history[0][0] > self.history_s:
            self.forgotten = self.history.pop(0)[1]['revision']

    def _arm(self, lease: int, ttl_s: float) -> None:
        loop = asyncio.get_running_loop()
        self.leases[lease] = ttl_s, loop.call_later(ttl_s, self._expire, lease)

    def _expire(self, lease: int) -> bool:
        known = self.leases.pop(lease, None)
        if known is None:
            return False
        known[1].cancel()
        for key in [k for k, one in self.items.items() if one['lease'] == lease]:
            self.remove(key)
        return True
