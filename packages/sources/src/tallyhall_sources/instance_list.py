"""The platform's instance list, spoken as EndpointSlice JSON.

The list lags behind the truth and is only a hint: what it shows as serving
may be dead, what it lacks may be alive.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol

from .errors import BadAnswerError
from .http import JsonCaller

_PATH = '/apis/discovery.k8s.io/v1/endpointslices'
_SERVICE_LABEL = 'kubernetes.io/service-name'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint of a service; leaving ones take no new work."""

    service: str
    name: str
    address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointList:
    """All endpoints at one revision of the list."""

    revision: int
    endpoints: tuple[Endpoint, ...]


class InstanceLister(Protocol):
    """What the product needs of an instance list."""

    def fetch(self) -> EndpointList:
        """Return the present list; raise a PlatformError."""


class EndpointSliceLister:
    """An InstanceLister over EndpointSlice JSON."""

    def __init__(self, base: str, timeout_s: float) -> None:
        """Speak to the list at this base address."""
        self._http = JsonCaller(base, timeout_s)

    def fetch(self) -> EndpointList:
        """Return the present list; raise a PlatformError."""
        answer = self._http.call('GET', _PATH)
        try:
            return _parse(answer)
        except (LookupError, TypeError, ValueError) as exc:
            raise BadAnswerError('endpoint slices of a wrong form') from exc


def _parse(answer: dict[str, Any]) -> EndpointList:
    found = []
    for piece in answer['items']:
        service = piece['metadata']['labels'][_SERVICE_LABEL]
        port = int(piece['ports'][0]['port']) if piece.get('ports') else 0
        for endpoint in piece['endpoints']:
            found.append(_endpoint(service, port, endpoint))
    revision = int(answer['metadata']['resourceVersion'])
    return EndpointList(revision, tuple(found))


def _endpoint(service: str, port: int, endpoint: dict[str, Any]) -> Endpoint:
    conditions = endpoint.get('conditions', {})
    ready = conditions.get('ready', True)
    terminating = conditions.get('terminating', False)
    host = endpoint['addresses'][0]
    return Endpoint(
        service,
        endpoint['targetRef']['name'],
        f'{host}:{port}',
        leaving=bool(terminating or not ready),
    )
