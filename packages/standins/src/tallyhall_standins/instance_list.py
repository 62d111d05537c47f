"""A stand-in for the instance list: EndpointSlice JSON that lags.

PUT /standin/endpoints sets the truth; readers see it `lag_s` later.
"""

from __future__ import annotations

import threading
import time
from typing import Any

from .web import Request, Response, json_response, not_found

_SLICES = '/apis/discovery.k8s.io/v1/endpointslices'
_UNAVAILABLE = 503


# when it became true, revision, endpoints
_Version = tuple[float, int, list[dict[str, Any]]]


class InstanceListStandIn:
    """The list's state and its handler."""

    def __init__(self, lag_s: float) -> None:
        """Start with an empty list."""
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._versions: list[_Version] = [(0, 1, [])]
        self._down = False

    def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path == '/standin/endpoints':
            return self._set(req.json())
        if req.path != _SLICES:
            return not_found()
        if self._down:
            return json_response({'error': 'outage'}, _UNAVAILABLE)
        with self._lock:
            seen = time.monotonic() - self._lag_s
            shown = [one for one in self._versions if one[0] <= seen]
            _, revision, endpoints = (shown or self._versions[:1])[-1]
        return json_response(
            {
                'kind': 'EndpointSliceList',
                'apiVersion': 'discovery.k8s.io/v1',
                'metadata': {'resourceVersion': str(revision)},
                'items': [_slice(endpoint) for endpoint in endpoints],
            },
        )

    def _set(self, body: dict[str, Any]) -> Response:
        with self._lock:
            self._down = bool(body.get('down', False))
            if 'endpoints' in body:
                revision = self._versions[-1][1] + 1
                self._versions.append(
                    (time.monotonic(), revision, body['endpoints']),
                )
        return json_response({'revision': self._versions[-1][1]})


def _slice(endpoint: dict[str, Any]) -> dict[str, Any]:
    leaving = bool(endpoint.get('leaving', False))
    host, _, port = endpoint['address'].rpartition(':')
    return {
        'metadata': {
            'name': endpoint['name'],
            'labels': {'kubernetes.io/service-name': endpoint['service']},
        },
        'addressType': 'IPv4',
        'ports': [{'port': int(port)}],
        'endpoints': [
            {
                'addresses': [host],
                'zone': endpoint.get('zone', 'a'),
                'targetRef': {'kind': 'Pod', 'name': endpoint['name']},
                'conditions': {
                    'ready': not leaving,
                    'serving': True,
                    'terminating': leaving,
                },
            },
        ],
    }
