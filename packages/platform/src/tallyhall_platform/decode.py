"""Decodes the platform's stored values into the product's types.

The models use the platform's field names, with a comment where a name is not
clear. Milliseconds are converted to seconds.
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

from .addresses import parse_address
from .errors import DecodeError
from .parse import (
    KebabStruct,
    Milliseconds,
    NonEmptyStr,
    NonNegativeInt,
    parse_json,
)

_MILLI = 1000
# Defaults for a route without a timeout or an objective.
_DEFAULT_TIMEOUT_MS = 30_000
_DEFAULT_OBJECTIVE_MS = 1000
# More slots than any engine has; a larger number is invalid.
_MAX_SLOTS = 100_000
_Kept = TypeVar('_Kept')


class _Split(KebabStruct, frozen=True):
    service: str
    weight: NonNegativeInt = 1


class _Route(KebabStruct, frozen=True):
    name: str
    host: str
    prefix: Annotated[str, msgspec.Meta(pattern='^/')]
    kind: Literal['safe', 'non_idempotent', 'streaming']
    timeout_ms: Milliseconds = _DEFAULT_TIMEOUT_MS
    # Objective for the time to the first byte, within which an answer has its
    # full benefit.
    slo_ms: Milliseconds = _DEFAULT_OBJECTIVE_MS
    priority: int = 0
    service: str | None = None
    split: tuple[_Split, ...] = ()
    attempts: Annotated[int, msgspec.Meta(ge=1)] = 1
    public: bool = False
    # Despite its name, says only that requests of the route carry prompt
    # parts, not that they must stay with one engine.
    sticky: bool = False
    resumable: bool = False
    # Objective for the longest pause between two events of an answer.
    gap_target_ms: Milliseconds = 0


class _Engine(KebabStruct, frozen=True):
    # Tokens in one event.
    stride: int = 1


class _Service(KebabStruct, frozen=True):
    name: str
    max_conns: int = 0
    health_path: str = ''
    engine: _Engine | None = None


class _Limits(KebabStruct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15_000


class _Tenant(KebabStruct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = 'requests'
    plain_tokens: int = 1
    # Both in `unit`; 0 means no limit.
    rate_per_s: float = 0
    burst: float = 0


class _Config(KebabStruct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Server(KebabStruct, frozen=True):
    """An upstream's entry; one of another program may lack fields."""

    service: NonEmptyStr
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal['ready', 'draining']
    seq: NonNegativeInt
    cold_left_ms: Milliseconds
    # Start time in milliseconds. If it is 0, the upstream gets a new id at
    # each start.
    born: NonNegativeInt = 0


def decode_state(raw: bytes) -> DesiredState:
    """Decode the desired state; raise DecodeError."""
    config = parse_json(raw, _Config)
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
        services=_read_only(
            {svc.name: _service(svc) for svc in config.services},
        ),
        limits=Limits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / _MILLI,
            config.limits.idle_timeout_ms / _MILLI,
        ),
        workspaces=_read_only(by_name),
        keys=_read_only(keys),
        checks_keys=config.tenants is not None,
    )


class UpstreamEntry(msgspec.Struct, frozen=True):
    """An upstream, and the sequence number of its entry in this run."""

    upstream: Upstream
    serial: int


def decode_upstream(name: str, raw: bytes, created: int = 0) -> UpstreamEntry:
    """Decode an upstream's entry; raise DecodeError.

    created: revision of the store at which it was registered, 0 if unknown.
    """
    entry = parse_json(raw, _Server)
    try:
        address = parse_address(entry.address)
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
        created=created,
    )
    return UpstreamEntry(upstream, entry.seq)


def _read_only(table: dict[str, _Kept]) -> Mapping[str, _Kept]:
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
    return Service(raw.name, raw.max_conns, stride, raw.health_path)


def _workspace(raw: _Tenant) -> Workspace:
    return Workspace(
        raw.name,
        raw.priority,
        raw.rate_per_s,
        raw.burst,
        raw.unit == 'tokens',
        raw.plain_tokens,
    )
