"""One request at its home: its state and the messages about it."""

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
    """The states of a request, in their only order."""

    waiting = 'waiting'
    running = 'running'
    finished = 'finished'


@dataclasses.dataclass(slots=True)
class HomeRequest:
    """One request of this home."""

    rid: RequestId
    spec: RequestSpec
    deadline: float
    state: State = State.waiting
    attempt: int = 0
    asked: float = 0
    asked_owner: str = ''
    upstream: str = ''
    avoid: str = ''
    # At how many ends its like was when it was permitted.
    ends: int = 0
    stopping: Refusal | None = None
    resumed: bool = False
    ended: float = 0

    def ask(self, holder: str, now: float) -> Ask:
        """Return the ask for a permit; `holder` is this incarnation."""
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

    def done(self, run: RunResult) -> Done:
        """Return the message that takes the permit back to its owner."""
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
            ends=self.ends + 1,
        )


def reason_of(outcome: Outcome, *, late: bool) -> Reason:
    """Return why a request is refused whose run came to this end."""
    if outcome == Outcome.not_sent:
        return Reason.deadline_exceeded if late else Reason.no_upstream
    if outcome == Outcome.failed:
        return Reason.upstream_error
    return Reason.upstream_broken


def log_of(
    event: Event,
    req: HomeRequest,
    **fields: str | float | bool,
) -> LogEvent:
    """Return a log event with the request's usual fields."""
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
