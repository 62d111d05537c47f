"""Client of the key-value service (etcd v3 JSON API).

The API encodes keys and values in base64 and revisions as decimal strings.
"""

from __future__ import annotations

import base64
import dataclasses
from typing import Any, Protocol

import urllib3

from .errors import InvalidResponseError
from .http import JsonClient


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedValue:
    """Value and revision of its last change; 0 if the key is absent."""

    content: bytes
    mod_revision: int


class KeyValue(Protocol):
    """Interface of a key-value service."""

    def get(self, key: str) -> VersionedValue:
        """Return the value of a key; raise PlatformError."""

    def compare_and_swap(self, key: str, seen: int, content: bytes) -> bool:
        """Write if the revision of the key is `seen`, where 0 means absent.

        Returns whether it was written. After UnavailableError this is unknown.
        """

    def wait_for_change(self, prefix: str, after: int, wait_s: float) -> bool:
        """Wait for a change under a prefix; return whether there was one."""

    def grant_lease(self, ttl_s: int) -> str:
        """Create a lease and return its id."""

    def create_with_lease(self, key: str, content: bytes, lease: str) -> bool:
        """Create a key with a lease if it is absent; return if created."""

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""


class EtcdKeyValue:
    """KeyValue for the etcd v3 JSON API."""

    def __init__(self, base: str, timeout_s: float) -> None:
        """Use the API at this base URL."""
        self._http = JsonClient(base, timeout_s)

    def get(self, key: str) -> VersionedValue:
        """Return the value of a key; raise PlatformError."""
        answer = self._http.call(
            'POST',
            '/v3/kv/range',
            {'key': _encode(key.encode())},
        )
        found = answer.get('kvs') or []
        if not found:
            return VersionedValue(b'', 0)
        return _decode_entry(found[0])

    def compare_and_swap(self, key: str, seen: int, content: bytes) -> bool:
        """Write if the revision of the key is `seen`."""
        return self._swap(key, seen, {'value': _encode(content)})

    def create_with_lease(self, key: str, content: bytes, lease: str) -> bool:
        """Create a key with a lease if it is absent; return if created."""
        return self._swap(key, 0, {'value': _encode(content), 'lease': lease})

    def wait_for_change(self, prefix: str, after: int, wait_s: float) -> bool:
        """Wait for a change under a prefix; return whether there was one."""
        raw = prefix.encode()
        end = raw[:-1] + bytes([raw[-1] + 1])
        request = {
            'key': _encode(raw),
            'range_end': _encode(end),
            'start_revision': str(after + 1),
        }
        resp = self._http.stream(
            '/v3/watch',
            {'create_request': request},
            wait_s,
        )
        try:
            return _has_events(resp)
        except urllib3.exceptions.ReadTimeoutError:
            return False
        except urllib3.exceptions.HTTPError as exc:
            raise InvalidResponseError(f'watch: {exc}') from exc
        finally:
            resp.close()

    def grant_lease(self, ttl_s: int) -> str:
        """Create a lease and return its id."""
        answer = self._http.call('POST', '/v3/lease/grant', {'TTL': ttl_s})
        return _field(answer, 'ID')

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return False if it has expired."""
        answer = self._http.call('POST', '/v3/lease/keepalive', {'ID': lease})
        renewed = answer.get('result')
        if not isinstance(renewed, dict):
            raise InvalidResponseError(
                'lease keepalive response without a result'
            )
        return int(renewed.get('TTL', 0)) > 0

    def _swap(self, key: str, seen: int, put: dict[str, str]) -> bool:
        name = _encode(key.encode())
        answer = self._http.call(
            'POST',
            '/v3/kv/txn',
            {
                'compare': [
                    {
                        'key': name,
                        'target': 'MOD',
                        'result': 'EQUAL',
                        'mod_revision': str(seen),
                    },
                ],
                'success': [{'request_put': {'key': name, **put}}],
            },
        )
        return bool(answer.get('succeeded', False))


def _has_events(resp: urllib3.BaseHTTPResponse) -> bool:
    # The first line confirms that the watch was created; events follow.
    pending = b''
    for part in resp.stream(amt=None):
        pending += part
        *lines, pending = pending.split(b'\n')
        if any(b'"events"' in line for line in lines):
            return True
    return False


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _field(answer: dict[str, Any], name: str) -> str:
    if name not in answer:
        raise InvalidResponseError(f'response without the field {name}')
    return str(answer[name])


def _decode_entry(entry: dict[str, Any]) -> VersionedValue:
    try:
        return VersionedValue(
            base64.b64decode(entry.get('value', '')),
            int(_field(entry, 'mod_revision')),
        )
    except ValueError as exc:
        raise InvalidResponseError('invalid range response') from exc
