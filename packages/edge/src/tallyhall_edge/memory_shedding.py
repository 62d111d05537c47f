"""Refuses requests that have not run while the memory budget is used up."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from tallyhall_core.refusals import Reason, Refusal, RefusedError

from .memory_budget import MemoryBudget
from .request_context import RequestContext
from .stopping import stopping_error

# Retry-After in seconds: half the time after which a caller that reads nothing
# may be closed. Until then, memory is freed by callers that read.
_RETRY_AFTER_S = 1.0


class MemoryShedding:
    """Applies the decisions of a memory budget to requests.

    budget: None if the instance has no limit; nothing is refused then.
    """

    def __init__(self) -> None:
        """Refuse nothing until there is a budget."""
        self.budget: MemoryBudget | None = None

    def assign_workspace(self, context: RequestContext) -> None:
        """Count the caller's unread bytes for the workspace of its request."""
        memory = context.exchange.memory
        if memory is not None:
            memory.use_workspace(_workspace(context))

    def check_body(self, context: RequestContext) -> None:
        """Raise RefusedError if there was no memory for a request's body."""
        if context.exchange.is_refused:
            raise _shed_error()

    def check(self, context: RequestContext) -> None:
        """Raise RefusedError if a request may not be sent now."""
        if self._refuses(context):
            raise _shed_error()

    def refuse_waiting(
        self,
        pending: Mapping[asyncio.Timeout, RequestContext],
        now: float,
    ) -> None:
        """End the wait of the requests that are refused now."""
        for timeout, context in tuple(pending.items()):
            ends_at = timeout.when()
            is_over = ends_at is not None and ends_at <= now
            if not is_over and self._refuses(context):
                context.is_shed = True
                timeout.reschedule(now)

    def _refuses(self, context: RequestContext) -> bool:
        memory = context.exchange.memory
        if self.budget is None or memory is None or context.may_have_run:
            return False
        if memory.refuses_next:
            return True
        urgency = context.admitted.route.priority
        return self.budget.refuses(urgency, _workspace(context))


def wait_error(context: RequestContext) -> RefusedError:
    """Return the refusal of a request whose wait was ended."""
    return _shed_error() if context.is_shed else stopping_error()


def _shed_error() -> RefusedError:
    return RefusedError(Refusal.of(Reason.shed, retry_after=_RETRY_AFTER_S))


def _workspace(context: RequestContext) -> str:
    workspace = context.admitted.workspace
    return '' if workspace is None else workspace.name
