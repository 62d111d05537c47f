"""The key-value service, spoken as the etcd v3 JSON interface.

Keys and values are base64 in that interface; revisions are decimal texts.
"""

from __future__ import annotations

import base64
import dataclasses
from typing import Any, Protocol

import urllib3

from .errors import BadAnswerError
from .http import JsonCaller


@dataclasses.dataclass(frozen=True, slots=True)
class Versioned:
    """A value with the revision of its last change; 0 where it is absent."""

    content: bytes
    mod_revision: int


class KeyValue(Protocol):
    """What the product needs of a key-value service."""

    def get(self, key: str) -> Versioned:
        """Return the value; raise a PlatformError."""

    def swap(self, key: str, seen: int, content: bytes) -> bool:
        """Write if the value's revision is still `seen`; 0 means absent.

        Returns whether it was written. UnavailableError leaves that open.
        """

    def wait_change(self, prefix: str, after: int, wait_s: float) -> bool:
        """Wait for a change below the prefix; return whether one came."""

    def grant_lease(self, ttl_s: int) -> str:
        """Return the id of a new lease."""

    def swap_leased(self, key: str, content: bytes, lease: str) -> bool:
        """Create the key under a lease if it is absent."""

    def keep_lease(self, lease: str) -> bool:
        """Renew a lease; return whether it still stood."""


class EtcdKeyValue:
    """A KeyValue over the etcd v3 JSON interface."""

    def __init__(self, base: str, timeout_s: float) -> None:
        """Speak to the service at this base address."""
        self._http = JsonCaller(base, timeout_s)

    def get(self, key: str) -> Versioned:
        """Return the value; raise a PlatformError."""
        answer = self._http.call(
            'POST',
            '/v3/kv/range',
            {'key': _encode(key.encode())},
        )
        found = answer.get('kvs') or []
        if not found:
            return Versioned(b'', 0)
        return _versioned(found[0])

    def swap(self, key: str, seen: int, content: bytes) -> bool:
        """Write if the value's revision is still `seen`."""
        return self._swap(key, seen, {'value': _encode(content)})

    def swap_leased(self, key: str, content: bytes, lease: str) -> bool:
        """Create the key under a lease if it is absent."""
        return self._swap(key, 0, {'value': _encode(content), 'lease': lease})

    def wait_change(self, prefix: str, after: int, wait_s: float) -> bool:
        """Wait for a change below the prefix; return whether one came."""
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
            raise BadAnswerError(f'watch: {exc}') from exc
        finally:
            resp.close()

    def grant_lease(self, ttl_s: int) -> str:
        """Return the id of a new lease."""
        answer = self._http.call('POST', '/v3/lease/grant', {'TTL': ttl_s})
        return _field(answer, 'ID')

    def keep_lease(self, lease: str) -> bool:
        """Renew a lease; return whether it still stood."""
        answer = self._http.call('POST', '/v3/lease/keepalive', {'ID': lease})
        kept = answer.get('result')
        if not isinstance(kept, dict):
            raise BadAnswerError('lease answer without a result')
        return int(kept.get('TTL', 0)) > 0

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
    # The first line says that the watch stands; later ones carry events.
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
        raise BadAnswerError(f'answer without {name}')
    return str(answer[name])


def _versioned(entry: dict[str, Any]) -> Versioned:
    try:
        return Versioned(
            base64.b64decode(entry.get('value', '')),
            int(_field(entry, 'mod_revision')),
        )
    except ValueError as exc:
        raise BadAnswerError('range answer of a wrong form') from exc
