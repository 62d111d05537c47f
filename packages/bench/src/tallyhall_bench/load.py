"""Open-loop load: requests start when the plan says, whatever is running."""

from __future__ import annotations

import dataclasses
import random
import threading
import time
from concurrent import futures

from tallyhall_client.client import Client
from tallyhall_client.outcome import CallOptions, CallOutcome

_WORKERS = 1500
_CHARS_A_TOKEN = 4
_WORD_CHARS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One request of a plan. at: seconds from the start of the run.

    own_tokens: prompt tokens that it shares with no other request.
    """

    at: float
    service: str
    kind: str
    workspace: str
    tier: str
    prompt: str
    max_tokens: int
    deadline_s: float
    idempotent: bool = True
    own_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DoneCall:
    """A planned request and how it ended."""

    call: PlannedCall
    outcome: CallOutcome

    @property
    def in_time(self) -> bool:
        """Return whether it was answered whole and before its deadline."""
        answered = self.outcome.verdict == 'answered'
        return answered and self.outcome.total_s <= self.call.deadline_s


def text_of(seed: str, tokens: int) -> str:
    """Return a prompt of about this many tokens, the same for each seed."""
    rng = random.Random(seed)
    words = max(1, tokens * _CHARS_A_TOKEN // _WORD_CHARS)
    return ''.join(f'{rng.getrandbits(28):07x} ' for _ in range(words))


def run_plan(
    plan: list[PlannedCall],
    client: Client,
    started: threading.Event | None = None,
) -> list[DoneCall]:
    """Send every planned request at its time; return when all ended."""
    begin = time.monotonic()
    if started is not None:
        started.set()
    with futures.ThreadPoolExecutor(_WORKERS, 'load') as pool:
        pending = []
        for call in sorted(plan, key=lambda planned: planned.at):
            wait = begin + call.at - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            pending.append(pool.submit(_send, call, client))
        return [fut.result() for fut in pending]


def _send(call: PlannedCall, client: Client) -> DoneCall:
    options = CallOptions(
        call.workspace,
        call.tier,
        call.deadline_s,
        idempotent=None if call.kind == 'model' else call.idempotent,
    )
    if call.kind == 'model':
        outcome = client.complete(
            call.service,
            call.prompt,
            call.max_tokens,
            options,
        )
    else:
        outcome = client.call(call.service, 'POST', '/tags', b'{}', options)
    return DoneCall(call, outcome)
