"""Client of the platform's instance list (EndpointSlice JSON).

The list is eventually consistent: a listed endpoint may be dead, and a live
endpoint may be missing.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol

from .errors import InvalidResponseError
from .http import JsonClient

_PATH = '/apis/discovery.k8s.io/v1/endpointslices'
_SERVICE_LABEL = 'kubernetes.io/service-name'


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Endpoint of a service; a leaving one gets no new requests."""

    service: str
    name: str
    address: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointList:
    """All endpoints at a revision of the list."""

    revision: int
    endpoints: tuple[Endpoint, ...]


class InstanceListClient(Protocol):
    """Interface of an instance list."""

    def fetch(self) -> EndpointList:
        """Return the current list; raise PlatformError."""


class EndpointSliceClient:
    """InstanceListClient for the EndpointSlice API."""

    def __init__(self, base: str, timeout_s: float) -> None:
        """Use the API at this base URL."""
        self._http = JsonClient(base, timeout_s)

    def fetch(self) -> EndpointList:
        """Return the current list; raise PlatformError."""
        answer = self._http.call('GET', _PATH)
        try:
            return _parse(answer)
        except (LookupError, TypeError, ValueError) as exc:
            raise InvalidResponseError('invalid EndpointSlice list') from exc


def _parse(answer: dict[str, Any]) -> EndpointList:
    endpoints = []
    for endpoint_slice in answer['items']:
        service = endpoint_slice['metadata']['labels'][_SERVICE_LABEL]
        port = (
            int(endpoint_slice['ports'][0]['port'])
            if endpoint_slice.get('ports')
            else 0
        )
        for endpoint in endpoint_slice['endpoints']:
            endpoints.append(_endpoint(service, port, endpoint))
    revision = int(answer['metadata']['resourceVersion'])
    return EndpointList(revision, tuple(endpoints))


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
