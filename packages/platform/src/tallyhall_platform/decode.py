"""The platform's values, decoded once into the product's types.

Each model here has the platform's names; a comment stands where one of them
says little. Numbers in milliseconds become seconds.
"""

from __future__ import annotations

import types
from collections.abc import Mapping
from typing import Annotated, Literal, TypeVar

import pydantic
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

from .errors import DecodeError
from .settings import listening

_MILLI = 1000
# Used where a route states no time limit, no objective or no pause.
_TIMEOUT_MS = 30_000
_OBJECTIVE_MS = 1000
Millis = Annotated[float, pydantic.Field(ge=0)]
_Kept = TypeVar('_Kept')


class _Part(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Split(_Part):
    service: str
    weight: Annotated[int, pydantic.Field(ge=0)] = 1


class _Route(_Part):
    name: str
    host: str
    prefix: Annotated[str, pydantic.Field(pattern='^/')]
    kind: Literal['safe', 'non_idempotent', 'streaming']
    timeout_ms: Annotated[Millis, pydantic.Field(alias='timeout-ms')] = (
        _TIMEOUT_MS
    )
    # The time to the first byte that earns the full benefit.
    slo_ms: Annotated[Millis, pydantic.Field(alias='slo-ms')] = _OBJECTIVE_MS
    priority: int = 0
    service: str | None = None
    split: tuple[_Split, ...] = ()
    attempts: Annotated[int, pydantic.Field(ge=1)] = 1
    public: bool = False
    # Says that the route's requests carry prompt parts, not that they must
    # stay with one engine.
    sticky: bool = False
    resumable: bool = False
    # The longest pause between two events of an answer that is on time.
    gap_target_ms: Annotated[Millis, pydantic.Field(alias='gap-target-ms')] = 0


class _Engine(_Part):
    # How many tokens one event holds.
    stride: int = 1


class _Service(_Part):
    name: str
    max_conns: Annotated[int, pydantic.Field(alias='max-conns')] = 0
    engine: _Engine | None = None


class _Limits(_Part):
    max_header_bytes: Annotated[
        int,
        pydantic.Field(alias='max-header-bytes'),
    ] = 16_384
    max_body_bytes: Annotated[
        int,
        pydantic.Field(alias='max-body-bytes'),
    ] = 4_194_304
    header_timeout_ms: Annotated[
        Millis,
        pydantic.Field(alias='header-timeout-ms'),
    ] = 3000
    idle_timeout_ms: Annotated[
        Millis,
        pydantic.Field(alias='idle-timeout-ms'),
    ] = 15_000


class _Tenant(_Part):
    name: str
    api_keys: Annotated[tuple[str, ...], pydantic.Field(alias='api-keys')] = ()
    priority: int | None = None
    unit: str = 'requests'
    plain_tokens: Annotated[int, pydantic.Field(alias='plain-tokens')] = 1
    # Both in `unit`; left out or 0 means that nothing is limited.
    rate_per_s: Annotated[float, pydantic.Field(alias='rate-per-s')] = 0
    burst: float = 0


class _Config(_Part):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


class _Server(_Part):
    service: str
    address: str
    zone: str = ''
    slots: Annotated[int, pydantic.Field(ge=1)] = 1
    state: str = 'ready'


def decode_state(raw: bytes) -> DesiredState:
    """Return the desired state; raise DecodeError."""
    try:
        config = _Config.model_validate_json(raw)
    except pydantic.ValidationError as exc:
        raise DecodeError(_first_fault(exc)) from exc
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


def decode_upstream(incarnation: str, raw: bytes) -> Upstream:
    """Return an upstream from its entry in the store; raise DecodeError."""
    try:
        entry = _Server.model_validate_json(raw)
        address = listening(entry.address)
    except pydantic.ValidationError as exc:
        raise DecodeError(_first_fault(exc)) from exc
    except ValueError as exc:
        raise DecodeError(f'address: {exc}') from exc
    return Upstream(
        incarnation,
        entry.service,
        address.host,
        address.port,
        entry.zone,
        entry.slots,
        leaving=entry.state != 'ready',
    )


def _first_fault(exc: pydantic.ValidationError) -> str:
    fault = exc.errors(include_input=False, include_url=False)[0]
    key = '.'.join(str(part) for part in fault['loc'])
    return f'{key or "value"}: {fault["msg"]}'


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
