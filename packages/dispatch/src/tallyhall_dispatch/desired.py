"""What the operator wants served: routes, services, workspaces, limits.

All types are frozen. A new version of the desired state replaces the old
one as a whole, so that a request sees one version from start to end.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

import msgspec


@enum.unique
class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    safe = 'safe'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


class Target(msgspec.Struct, frozen=True):
    """A service that a route may use, with its share of the requests."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """One route of a host.

    timeout_s: a final answer is due within this. objective_s: time to the
    first byte that earns the full benefit. attempts: the most upstreams one
    request may be sent to. resumable: a broken stream may go on elsewhere.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.streaming:
            return self.resumable
        return self.kind is RouteKind.safe


class Service(msgspec.Struct, frozen=True):
    """A named group of upstreams.

    max_conns: connections that one upstream accepts from all instances
    together; 0 where no limit is known. event_tokens: tokens in one event
    of a stream, 0 for services that are no model engines.
    """

    name: str
    max_conns: int
    event_tokens: int


class Workspace(msgspec.Struct, frozen=True):
    """A workspace and its quota over all instances.

    rate: units a second, burst: units at once; 0 means no quota.
    in_tokens: whether a unit is a token or a request. plain_tokens: tokens
    of a request that states none.
    """

    name: str
    priority: int | None
    rate: float
    burst: float
    in_tokens: bool
    plain_tokens: int


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


class DesiredState(msgspec.Struct, frozen=True):
    """One version of everything the operator wants.

    keys: API keys and the workspace of each. checks_keys: whether a request
    needs a key unless its route is public.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: Limits
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, Workspace]
    checks_keys: bool


class Upstream(msgspec.Struct, frozen=True):
    """One incarnation of an engine or of a service's instance.

    name: the id that it goes by, which it may keep when it starts again.
    slots: requests it runs at once. leaving: it has said that it takes no
    new work. started_ms: Unix time of its start in milliseconds, 0 where an
    id is new at each start. version: of the software that it runs. canary:
    only the leader of the version's roll-out places requests there.
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
    canary: bool = False

    @property
    def incarnation(self) -> str:
        """Return what no other start of any upstream is called."""
        if not self.started_ms:
            return self.name
        return f'{self.name}@{self.started_ms}'
