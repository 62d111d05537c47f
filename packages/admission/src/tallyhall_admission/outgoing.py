"""Messages that an owner sends to homes."""

from __future__ import annotations

import dataclasses

from tallyhall_core.messages import Ask, AskRefused, Message, Running
from tallyhall_core.refusals import Reason

_RETRY_FLOOR_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message for one home."""

    to: str
    message: Message


def refuse(ask: Ask, reason: Reason, wait_s: float) -> Outgoing:
    """Return the refusal of an ask; `wait_s` tells when to come back."""
    retry = max(wait_s, _RETRY_FLOOR_S)
    message = AskRefused(ask.id, ask.service, ask.attempt, reason, retry)
    return Outgoing(ask.holder, message)


def running_of(ask: Ask, upstream: str, left_s: float) -> Running:
    """Return a home's report of one running request."""
    return Running(
        ask.id,
        upstream,
        ask.workspace,
        ask.tier,
        ask.idempotent,
        ask.prompt_tokens,
        ask.max_tokens,
        left_s,
        ask.attempt,
    )
