"""Messages from the owner of a service to homes."""

from __future__ import annotations

import dataclasses

from tallyhall_core.messages import Ask, AskRefused, Message, Running
from tallyhall_core.refusals import Reason

_MIN_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and the home that it is sent to."""

    to: str
    message: Message


def refusal_message(ask: Ask, reason: Reason, wait_s: float) -> Outgoing:
    """Return a refusal that allows a retry after about `wait_s`."""
    retry = max(wait_s, _MIN_RETRY_AFTER_S)
    message = AskRefused(ask.id, ask.service, ask.attempt, reason, retry)
    return Outgoing(ask.holder, message)


def running_entry(ask: Ask, upstream: str, left_s: float) -> Running:
    """Return the entry of a running request in its home's report."""
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
