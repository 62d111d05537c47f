"""The operator's desired state: routes, services, workspaces and limits.

All types are frozen. A new version replaces the old one as a whole, so that a
request sees the same version from start to end.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec


@enum.unique
class RouteKind(enum.Enum):
    """Which requests of a route may be sent more than once."""

    safe = 'safe'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


class Target(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, and its weight among them."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """One route of a host.

    timeout_s: time limit for the complete response. objective_s: target for
    the time to the first byte. attempts: maximum number of upstreams that one
    request may be sent to. resumable: whether a broken stream may be resumed
    on another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    priority: int
    attempts: int
    public: bool
    sticky: bool
    resumable: bool
    gap_s: float

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is RouteKind.streaming:
            return self.resumable
        return self.kind is RouteKind.safe


class Service(msgspec.Struct, frozen=True):
    """A named group of upstreams.

    max_conns: connections that one upstream accepts from all instances
    together, 0 if no limit is known. event_tokens: tokens per stream event,
    0 for services that are not model engines. health_path: path at which an
    upstream tells its health, empty if there is none.
    """

    name: str
    max_conns: int
    event_tokens: int
    health_path: str = ''


class Workspace(msgspec.Struct, frozen=True):
    """A workspace and its quota across all instances.

    rate: units per second, 0 for no quota. burst: units that may be used at
    once on top. in_tokens: whether a unit is a token instead of a request.
    plain_tokens: tokens charged for a request that states no token count.
    """

    name: str
    priority: int | None
    rate: float
    burst: float
    in_tokens: bool
    plain_tokens: int


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of a request and on the time to receive it."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


class DesiredState(msgspec.Struct, frozen=True):
    """One version of the desired state.

    keys: the workspace of each API key. checks_keys: whether requests need an
    API key on routes that are not public.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, Workspace]
    checks_keys: bool


class Upstream(msgspec.Struct, frozen=True):
    """One incarnation of a model engine or of another service process.

    name: its id, which may stay the same across restarts. slots: number of
    requests it runs concurrently. leaving: it accepts no new requests.
    started_ms: Unix time of its start in milliseconds, 0 if its id changes at
    each start. version: version of its software. created: revision of the store
    at which it was registered, 0 if unknown. canary: only the leader of the
    version's rollout sends it requests. is_new: its version has been known for
    so short a time that no stream that may be resumed begins there.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    leaving: bool
    started_ms: int = 0
    version: str = ''
    created: int = 0
    canary: bool = False
    is_new: bool = False

    @property
    def incarnation(self) -> str:
        """Return an id that is unique to this start of this upstream."""
        if not self.started_ms:
            return self.name
        return f'{self.name}@{self.started_ms}'
