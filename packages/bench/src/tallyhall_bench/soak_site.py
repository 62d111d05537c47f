"""What one fault run works on: the fleet, its links, what was asked."""

from __future__ import annotations

import dataclasses
import random
import types

from tallyhall_dispatch.options import Listening

from .datagram_link import DatagramLink
from .faulty_link import FaultyLink
from .platform_fleet import PlatformFleet
from .platform_load import KEY, Tried
from .platform_run import plain_route, service, stream_route, usual_state
from .upstream_links import UpstreamLinks

INSTANCES = 3
EVENTS = 8
ROUTES = ('summary', 'note', 'once', 'safe')
OLD_KEY = 'key-old'
# A route and its service, whose upstreams end under one request.
FRAIL = 'frail'
# The same, with upstreams that end under parts of prompts.
PARTS = 'parts'
# The same, with upstreams of several versions. The short timeout makes the time
# pass often within which a stream can come back.
VERSIONED = 'versioned'
# A plain one, with upstream processes that are stopped and continued.
PAUSING = 'pausing'
# A plain one whose runs take seconds, while instances are stopped as planned.
LONG = 'long'
# A plain one, with upstreams that answer uploads before they have read them.
EARLY = 'early'
_TIMEOUT_MS = 2000
_LONG_LIMITS = types.MappingProxyType({'slo-ms': 4000, 'timeout-ms': 15_000})


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Something that must not happen, and the request that shows it."""

    promise: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Troubles:
    """What a fault run has beside the faults of every run.

    all_links: faults of links to upstreams and between instances. fatal: one
    request ends upstreams of a service of its own. loads: upstreams report
    their load, at times wrongly. isolates: instances lose all upstreams at
    times. versions: upstreams of several versions serve streams that callers
    take up. parts: parts of prompts end upstreams of a service of their own.
    rejects: upstreams reject at times, while instances are lost in series.
    endless: answers of upstreams go on without end at times. pauses: upstream
    processes of a service of their own are stopped and continued. crowds:
    clients that do not behave come to a listener of an instance at times.
    losses: all instances are lost in series while upstreams are stopped; needs
    `pauses`. stops: instances are stopped as planned beside runs of seconds.
    early: upstreams answer uploads before they have read them. resets: the
    connections to an instance from others are reset in numbers; needs
    `all_links`.
    """

    all_links: bool = False
    fatal: bool = False
    loads: bool = False
    isolates: bool = False
    versions: bool = False
    parts: bool = False
    rejects: bool = False
    endless: bool = False
    pauses: bool = False
    crowds: bool = False
    losses: bool = False
    stops: bool = False
    early: bool = False
    resets: bool = False


@dataclasses.dataclass(slots=True)
class Site:
    """A fleet with its links and what was asked of it."""

    fleet: PlatformFleet
    rng: random.Random
    troubles: Troubles
    store_links: list[FaultyLink] = dataclasses.field(default_factory=list)
    front_links: list[FaultyLink] = dataclasses.field(default_factory=list)
    engine_links: list[FaultyLink] = dataclasses.field(default_factory=list)
    peer_links: list[FaultyLink] = dataclasses.field(default_factory=list)
    datagram_links: list[DatagramLink] = dataclasses.field(
        default_factory=list,
    )
    # The links of each instance to all upstreams; empty if none are lost.
    upstream_links: list[UpstreamLinks] = dataclasses.field(
        default_factory=list,
    )
    # Addresses of the links to peers, by those of the peers themselves.
    peer_places: dict[str, str] = dataclasses.field(default_factory=dict)
    fronts: list[Listening] = dataclasses.field(default_factory=list)
    tries: list[Tried] = dataclasses.field(default_factory=list)
    # When requests were sent, on the loop's clock, and their routes.
    asked: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)
    violations: list[Violation] = dataclasses.field(default_factory=list)
    old_key_ids: set[str] = dataclasses.field(default_factory=set)
    busy: set[str] = dataclasses.field(default_factory=set)
    version: int = 1
    revoking: bool = False
    serial: int = 0
    # Upstreams that ended under one request.
    ended: int = 0
    # Upstreams that ended under parts of prompts, or together.
    ended_by_parts: int = 0
    # Streams that began at one of several versions, and those taken up.
    streams: int = 0
    taken_up: int = 0
    # Retries that reached the upstreams of usual routes.
    retries: int = 0
    # Retries that reached upstreams that are stopped at times.
    late_retries: int = 0
    # Requests that came to an instance after it was told to stop.
    late: int = 0
    # Uploads to a service some of whose upstreams answer early.
    uploads: int = 0
    # How often connections between instances were reset.
    resets: int = 0

    def put_link_between(self, key: str, content: bytes) -> bytes:
        """Have an instance's entry name the link to it."""
        for peer, link in self.peer_places.items():
            content = content.replace(
                f'"{peer}"'.encode(), f'"{link}"'.encode()
            )
        return content


def soak_state(version: int, *, with_old: bool) -> dict[str, object]:
    """Return a desired state, with or without the key that is revoked."""
    state = usual_state(version)
    for route in (FRAIL, PARTS):
        state['routes'].append(stream_route(route, route))
    state['routes'].append(
        stream_route(VERSIONED, VERSIONED) | {'timeout-ms': _TIMEOUT_MS},
    )
    state['routes'].append(plain_route(LONG, LONG) | _LONG_LIMITS)
    for name in (PAUSING, EARLY):
        state['routes'].append(plain_route(name, name))
    for name in (PAUSING, EARLY, LONG):
        state['services'].append(service(name))
    for name in (FRAIL, PARTS, VERSIONED):
        state['services'].append(service(name, engine={'stride': 3}))
    if with_old:
        state['tenants'][0]['api-keys'] = [KEY, OLD_KEY]
    return state
