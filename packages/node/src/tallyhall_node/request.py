"""State of a request at its home, and the messages sent for it."""

from __future__ import annotations

import dataclasses
import enum

from tallyhall_core.events import Event
from tallyhall_core.ids import RequestId
from tallyhall_core.messages import Ask, Done
from tallyhall_core.refusals import Reason, Refusal

from .actions import LogEvent, Outcome, RequestSpec, RunResult


@enum.unique
class State(enum.StrEnum):
    """States of a request, in order."""

    waiting = 'waiting'
    running = 'running'
    finished = 'finished'


@dataclasses.dataclass(slots=True)
class HomeRequest:
    """A request whose home is this incarnation."""

    rid: RequestId
    spec: RequestSpec
    deadline: float
    state: State = State.waiting
    attempt: int = 0
    permit_requested_at: float = 0
    requested_owner: str = ''
    upstream: str = ''
    avoid: str = ''
    # Terminations during runs of this content, as stated in the permit.
    terminations: int = 0
    stop_refusal: Refusal | None = None
    resumed: bool = False
    finished_at: float = 0

    def permit_request(self, holder: str, now: float) -> Ask:
        """Return the permit request; `holder` is this incarnation."""
        spec = self.spec
        return Ask(
            id=str(self.rid),
            service=spec.service,
            holder=holder,
            workspace=spec.workspace,
            tier=spec.tier,
            idempotent=spec.idempotent,
            prompt_tokens=spec.prompt_tokens,
            max_tokens=spec.max_tokens,
            left_s=max(0, self.deadline - now),
            prefixes=spec.prefixes,
            attempt=self.attempt,
            avoid=self.avoid,
            content=spec.content,
        )

    def permit_return(self, run: RunResult) -> Done:
        """Return the message that returns the permit to the owner."""
        return Done(
            run.id,
            self.spec.service,
            run.upstream,
            self.attempt,
            ran=run.outcome != Outcome.not_sent,
            ok=run.outcome == Outcome.complete and not self.resumed,
            broken=run.outcome in {Outcome.broken, Outcome.failed},
            first_s=run.first_s,
            total_s=run.total_s,
            prompt_tokens=run.prompt_tokens,
            cached_tokens=run.cached_tokens,
            output_tokens=run.output_tokens,
            ended=run.ended,
            content=self.spec.content,
            ends=self.terminations + 1,
        )


def refusal_reason(outcome: Outcome, *, late: bool) -> Reason:
    """Return the reason to refuse a request after a run with this outcome."""
    if outcome == Outcome.not_sent:
        return Reason.deadline_exceeded if late else Reason.no_upstream
    if outcome == Outcome.failed:
        return Reason.upstream_error
    return Reason.upstream_broken


def request_event(
    event: Event,
    req: HomeRequest,
    **fields: str | float | bool,
) -> LogEvent:
    """Return a log event with the common fields of a request."""
    return LogEvent(
        event,
        {
            'id': str(req.rid),
            'service': req.spec.service,
            'workspace': req.spec.workspace,
            'tier': req.spec.tier,
            'upstream': req.upstream,
            **fields,
        },
    )
