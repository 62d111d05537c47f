"""The platform's values, decoded once into the product's types.

Each model here has the platform's names; a comment stands where one of them
says little. Numbers in milliseconds become seconds.
"""

from __future__ import annotations

import types
from collections.abc import Mapping
from typing import Annotated, Literal, TypeVar

import msgspec
from tallyhall_dispatch.desired import (
    DesiredState,
    Limits,
    Route,
    RouteKind,
    Service,
    Target,
    Upstream,
    Workspace,
)

from .addresses import listening
from .errors import DecodeError
from .parse import Count, Millis, Name, Part, parsed

_MILLI = 1000
# Used where a route states no time limit, no objective or no pause.
_TIMEOUT_MS = 30_000
_OBJECTIVE_MS = 1000
# More places than any engine has; a number above it is no count of places.
_MOST_SLOTS = 100_000
_Kept = TypeVar('_Kept')


class _Split(Part, frozen=True):
    service: str
    weight: Count = 1


class _Route(Part, frozen=True):
    name: str
    host: str
    prefix: Annotated[str, msgspec.Meta(pattern='^/')]
    kind: Literal['safe', 'non_idempotent', 'streaming']
    timeout_ms: Millis = _TIMEOUT_MS
    # The time to the first byte that earns the full benefit.
    slo_ms: Millis = _OBJECTIVE_MS
    priority: int = 0
    service: str | None = None
    split: tuple[_Split, ...] = ()
    attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    public: bool = False
    # Says that the route's requests carry prompt parts, not that they must
    # stay with one engine.
    sticky: bool = False
    resumable: bool = False
    # The longest pause between two events of an answer that is on time.
    gap_target_ms: Millis = 0


class _Engine(Part, frozen=True):
    # How many tokens one event holds.
    stride: int = 1


class _Service(Part, frozen=True):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(Part, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: Millis = 3000
    idle_timeout_ms: Millis = 15_000


class _Tenant(Part, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = 'requests'
    plain_tokens: int = 1
    # Both in `unit`; left out or 0 means that nothing is limited.
    rate_per_s: float = 0
    burst: float = 0


class _Config(Part, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Server(Part, frozen=True):
    """An upstream's entry; one of another writer lacks some of it."""

    service: Name
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)]
    state: Literal['ready', 'draining']
    seq: Count
    cold_left_ms: Millis
    # Where the platform states no start, an id is new at each start.
    born: Count = 0


def decode_state(raw: bytes) -> DesiredState:
    """Return the desired state; raise DecodeError."""
    config = parsed(raw, _Config)
    workspaces = [_workspace(tenant) for tenant in config.tenants or ()]
    by_name = {workspace.name: workspace for workspace in workspaces}
    keys = {
        key: by_name[tenant.name]
        for tenant in config.tenants or ()
        for key in tenant.api_keys
    }
    return DesiredState(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        services=_frozen({svc.name: _service(svc) for svc in config.services}),
        limits=Limits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / _MILLI,
            config.limits.idle_timeout_ms / _MILLI,
        ),
        workspaces=_frozen(by_name),
        keys=_frozen(keys),
        checks_keys=config.tenants is not None,
    )


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream, and which of its start's reports tells of it."""

    upstream: Upstream
    serial: int


def decode_upstream(name: str, raw: bytes) -> UpstreamEntry:
    """Return an upstream from its entry in the store; raise DecodeError."""
    entry = parsed(raw, _Server)
    try:
        address = listening(entry.address)
    except ValueError as exc:
        raise DecodeError(f'address: {exc}') from exc
    upstream = Upstream(
        name,
        entry.service,
        address.host,
        address.port,
        entry.zone,
        entry.slots,
        leaving=entry.state != 'ready',
        started_ms=entry.born,
        version=entry.version,
    )
    return UpstreamEntry(upstream, entry.seq)


def _frozen(table: dict[str, _Kept]) -> Mapping[str, _Kept]:
    return types.MappingProxyType(table)


def _route(raw: _Route) -> Route:
    targets = tuple(Target(part.service, part.weight) for part in raw.split)
    if not targets:
        targets = (Target(raw.service or '', 1),)
    return Route(
        name=raw.name,
        host=raw.host,
        prefix=raw.prefix,
        kind=RouteKind(raw.kind),
        targets=targets,
        timeout_s=raw.timeout_ms / _MILLI,
        objective_s=raw.slo_ms / _MILLI,
        priority=raw.priority,
        attempts=raw.attempts,
        public=raw.public,
        sticky=raw.sticky,
        resumable=raw.resumable,
        gap_s=raw.gap_target_ms / _MILLI,
    )


def _service(raw: _Service) -> Service:
    stride = 0 if raw.engine is None else raw.engine.stride
    return Service(raw.name, raw.max_conns, stride)


def _workspace(raw: _Tenant) -> Workspace:
    return Workspace(
        raw.name,
        raw.priority,
        raw.rate_per_s,
        raw.burst,
        raw.unit == 'tokens',
        raw.plain_tokens,
    )
