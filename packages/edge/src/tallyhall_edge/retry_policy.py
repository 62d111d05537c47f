"""Decides whether a request is sent again, and where it is not sent.

A request that is not repeatable is written to one upstream, and written again
only if that upstream states that it did not execute it or if nothing was
written at all.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.jobs import NOT_SENT, AttemptOutcome

from .request_context import RequestContext
from .request_log import RequestLog
from .scheduling import Scheduler
from .stopping import StopGuard
from .unread_sends import UnreadSends

# Maximum sends of one request, including those that upstreams rejected.
_MAX_SENDS = 4
# A request that waited longer than this for its slot, in seconds, found the
# engines full; asking the owner of a service takes only 3 ms.
_OVERLOAD_WAIT_S = 0.03

SAFE_TO_RESEND = frozenset(
    (
        AttemptOutcome.rejected,
        AttemptOutcome.misplaced,
        AttemptOutcome.unsent,
        AttemptOutcome.withheld,
        AttemptOutcome.no_path,
    ),
)


class RetryPolicy:
    """Decides on the retries of one instance."""

    def __init__(
        self,
        gate: AdmissionGate,
        scheduler: Scheduler,
        log: RequestLog,
        unread: UnreadSends,
        stopping: StopGuard,
    ) -> None:
        """Charge retries to the budgets of this gate."""
        self._gate = gate
        self._scheduler = scheduler
        self._log = log
        self._unread = unread
        self._stopping = stopping
        self._loop = asyncio.get_running_loop()

    def excluded(self, context: RequestContext) -> frozenset[str]:
        """Return the upstreams to which a request is not sent next.

        Silent upstreams get no retries, and one request at a time, unless all
        upstreams of the service are silent. A new run prefers to retry at
        those from which it has heard.
        """
        for avoided in self._avoided(context):
            excluded = frozenset(context.excluded | avoided)
            if avoided and self._has_other(context, excluded):
                return excluded
        return frozenset(context.excluded)

    def may_retry(
        self, context: RequestContext, ending: AttemptOutcome
    ) -> bool:
        """Return whether a request may be retried; reserve the retry."""
        if context.sends >= _MAX_SENDS:
            return False
        if ending in SAFE_TO_RESEND:
            if ending in NOT_SENT:
                # Nothing was sent, so the retry budget is not charged.
                return True
            return self.has_alternative(context) and self._reserve(context)
        route = context.admitted.route
        if not route.repeatable or context.may_have_run >= route.attempts:
            return False
        if context.exchange.started and not route.resumable:
            return False
        return self._reserve(context)

    def may_abandon(self, context: RequestContext, waited_s: float) -> bool:
        """Return whether an overdue send may be abandoned; reserve a retry.

        waited_s: how long its answer has been waited for. If requests have to
        wait for slots, a missing answer is more likely caused by load than by a
        fault.
        """
        now = self._loop.time()
        if not self._stopping.may_resend(context, waited_s, now):
            return False
        route = context.admitted.route
        if not route.repeatable:
            return False
        if context.may_have_run >= route.attempts:
            return False
        if context.waited_s > _OVERLOAD_WAIT_S:
            return False
        return self._reserve(context)

    def has_alternative(
        self, context: RequestContext, tried: Upstream | None = None
    ) -> bool:
        """Return whether an upstream is left that may be sent a retry.

        tried: the upstream that is tried now, None after its answer.
        """
        if self._is_held_unheard(context):
            return False
        waited_for = self._waited_for(self._unheard(context))
        avoided = self._unread.silent | waited_for
        if not avoided:
            return True
        excluded = context.excluded | avoided
        if tried is not None:
            excluded.add(tried.incarnation)
        return self._has_other(context, excluded)

    # -- internals

    def _avoided(self, context: RequestContext) -> tuple[frozenset[str], ...]:
        """Return which upstreams to avoid, at best and at least."""
        if not context.sends:
            return (self._unread.occupied,)
        silent = self._unread.silent
        unheard = self._unheard(context)
        return (silent | unheard, silent | self._waited_for(unheard))

    def _waited_for(self, unheard: frozenset[str]) -> frozenset[str]:
        """Return the unheard ones of which a first answer is waited for.

        They may have stopped reading before this run began; once one is silent,
        all others may have.
        """
        if unheard & self._unread.silent:
            return unheard
        return unheard & self._unread.holders

    def _is_held_unheard(self, context: RequestContext) -> bool:
        """Return whether an upstream holds a send that a new run may not leave.

        Earlier runs of this instance may have left others there.
        """
        return bool(context.sent.holders & self._unheard(context))

    def _unheard(self, context: RequestContext) -> frozenset[str]:
        """Return the upstreams from which a new run has not heard."""
        if not self._unread.is_new_run:
            return frozenset()
        group = self._scheduler.upstreams(context.admitted.service)
        if group is None:
            return frozenset()
        return frozenset(group.views) - self._unread.heard

    def _has_other(
        self, context: RequestContext, excluded: Collection[str]
    ) -> bool:
        group = self._scheduler.upstreams(context.admitted.service)
        return group is not None and group.has_other(excluded, context.version)

    def _reserve(self, context: RequestContext) -> bool:
        """Return whether the retry budget allows a retry; reserve it."""
        if self._is_held_unheard(context):
            return False
        if context.retry is None:
            now = self._loop.time()
            service = context.admitted.service
            context.retry = self._gate.reserve_retry(
                service, now, abandons=context.sent.is_held
            )
            if context.retry is None:
                use = self._gate.retry_use(service, now)
                self._log.budget_binds(context, use)
        return context.retry is not None
