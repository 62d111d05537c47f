"""Keeps streams that may be resumed at the software version that began them.

Versions of a service may serve side by side, and their events do not fit
together. A stream that breaks goes on only at its version, within one answer as
well as over the attempts of its caller, which may come to any instance.
"""

from __future__ import annotations

from typing import Protocol

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import Route, RouteKind, Upstream
from tallyhall_dispatch.stream_records import Origin, StreamId

from .request_context import RequestContext
from .scheduling import Scheduler

# A caller that takes a stream up with further attempts waits no longer than
# this many times the timeout of the route.
_MAX_ATTEMPTS = 2
# Added to the time that a caller states, as its next attempt takes time to
# arrive, in seconds.
_ARRIVAL_S = 1.0


class StreamOrigins(Protocol):
    """Knows where streams began, also those of other instances."""

    def record(
        self, stream: StreamId, origin: Origin, within_s: float, for_s: float
    ) -> None:
        """Record where a stream began; its caller may come back for `for_s`.

        within_s: the longest time for which any caller of its route comes back.
        """

    async def find(
        self, stream: StreamId | None, service: str, within_s: float
    ) -> Origin:
        """Return where a stream began.

        stream: None if its caller does not name it. service: where its requests
        go. within_s: time within which it began. Raises RefusedError if that
        cannot be proven.
        """


class StreamVersions:
    """Selects the version for the streams of one instance."""

    def __init__(self, origins: StreamOrigins, scheduler: Scheduler) -> None:
        """Ask these origins and this scheduler."""
        self._origins = origins
        self._scheduler = scheduler

    async def find(self, context: RequestContext) -> None:
        """Find the version of a stream that a caller takes up.

        Raises RefusedError if it is unknown. A caller that has no event yet
        gets a new stream then.
        """
        call = context.call
        route = context.admitted.route
        if not _may_resume(route):
            return
        if call.last_event is None and not call.resumes:
            return
        try:
            origin = await self._find_origin(context)
        except RefusedError:
            if call.last_event is None:
                return
            raise
        self._use(context, origin)

    def check(self, context: RequestContext) -> None:
        """Raise RefusedError if the version of a stream serves no more."""
        version = context.version
        if version is None:
            return
        group = self._scheduler.upstreams(context.admitted.service)
        if group is None or not group.has_other((), version):
            raise RefusedError(Refusal.of(Reason.stream_version_gone))

    def begun(
        self, context: RequestContext, upstream: Upstream, now: float
    ) -> None:
        """Record the first event of a stream, before the caller gets it."""
        if context.version is None and _may_resume(context.admitted.route):
            context.version = upstream.version
            context.first_id = context.request_id
        if context.version is None or not context.first_id:
            return
        self._origins.record(
            StreamId(context.workspace, context.first_id),
            Origin(context.admitted.service, context.version),
            _longest_s(context.admitted.route),
            _lifetime_s(context, now),
        )

    async def _find_origin(self, context: RequestContext) -> Origin:
        resumes = context.call.resumes
        stream = StreamId(context.workspace, resumes) if resumes else None
        return await self._origins.find(
            stream,
            context.admitted.service,
            _longest_s(context.admitted.route),
        )

    def _use(self, context: RequestContext, origin: Origin) -> None:
        route = context.admitted.route
        if all(target.service != origin.service for target in route.targets):
            raise unknown_stream_error()
        context.admitted = msgspec.structs.replace(
            context.admitted, service=origin.service
        )
        context.version = origin.version
        context.first_id = context.call.resumes


def unknown_stream_error(retry_after: float | None = None) -> RefusedError:
    """Return the refusal of a stream whose version cannot be proven.

    retry_after: seconds after which it may be, None if it never will be.
    """
    return RefusedError(
        Refusal.of(Reason.stream_unknown, retry_after=retry_after)
    )


def _may_resume(route: Route) -> bool:
    return route.resumable and route.kind is RouteKind.streaming


def _longest_s(route: Route) -> float:
    """Return for how long a caller may come back after a stream began."""
    return _MAX_ATTEMPTS * route.timeout_s


def _lifetime_s(context: RequestContext, now: float) -> float:
    """Return for how long the caller of a stream may come back."""
    deadline_s = context.call.deadline_s
    if deadline_s is None:
        return _longest_s(context.admitted.route)
    return context.exchange.received_at + deadline_s + _ARRIVAL_S - now
