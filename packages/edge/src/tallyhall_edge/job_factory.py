"""Creates the jobs that the sends of a request need."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping

import msgspec
from tallyhall_dispatch.jobs import Job
from tallyhall_dispatch.queue_timeout import max_queue_time_s

from .request_context import RequestContext


class JobSource(msgspec.Struct, frozen=True):
    """The instance that sends the requests of jobs, and its zone."""

    instance: str
    zone: str


class JobFactory:
    """Creates the jobs of one instance."""

    def __init__(self, source: JobSource) -> None:
        """Create jobs whose requests this instance sends."""
        self._source = source
        self._numbers = itertools.count()
        self._loop = asyncio.get_running_loop()

    def create(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        backoffs: Mapping[str, float],
    ) -> Job:
        """Return the job of the next send of a request.

        excluded: the upstreams that must not be used for it. backoffs: the
        upstreams that take nothing from this instance, and until when.
        """
        route = context.admitted.route
        call = context.call
        received_at = context.exchange.received_at
        wait_s = max_queue_time_s(route, context.end_at - received_at)
        if context.sends:
            received_at = self._loop.time()
        return Job(
            # The instance makes keys unique among all instances.
            key=f'{self._source.instance}/{next(self._numbers)}',
            service=context.admitted.service,
            zone=self._source.zone,
            urgency=route.priority,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.output_tokens,
            asked_at=self._loop.time(),
            due_at=self._due_at(context),
            reject_at=min(context.end_at, received_at + wait_s),
            excluded=excluded,
            over_quota=context.admitted.over_quota_s > 0,
            pause_s=route.gap_s,
            suspect_digest=context.suspect,
            backoffs=backoffs,
            route=route.name,
            non_idempotent=not route.repeatable,
            resumable=route.resumable,
            version=context.version,
        )

    def _due_at(self, context: RequestContext) -> float:
        """Return when the caller should get the next event.

        A stream that goes on must not pause for too long; most of its work is
        done, so it is not late because it began long ago.
        """
        route = context.admitted.route
        if context.version is not None and route.gap_s:
            return self._loop.time() + route.gap_s
        first_at = context.exchange.received_at - context.since_first_s
        return first_at + route.objective_s
