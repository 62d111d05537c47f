"""What a node wants done, and what it is told of the outcome."""

from __future__ import annotations

import dataclasses
import enum

from tallyhall_core.events import Event
from tallyhall_core.messages import Message
from tallyhall_core.refusals import Refusal
from tallyhall_membership.assignment import Edit


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to one incarnation, or to any at a seed address."""

    address: str
    to: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Dispatch the request to the upstream; use the permit before `until`.

    resume: read the stream that the upstream already has for this id from
    its start, and dispatch nothing.
    """

    id: str
    upstream: str
    address: str
    until: float
    resume: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRun:
    """Stop a running request; its final answer is the refusal."""

    id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller its final answer; nothing runs for this id here."""

    id: str
    refusal: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class RelayTo:
    """Pass the caller's request on to the instance that holds the id."""

    id: str
    instance: str
    http: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeEdits:
    """Change the assignment in the KV."""

    edits: tuple[Edit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Restart:
    """Start again as a new incarnation; this one has been fenced."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a numbered event; fields are for people and the checkers."""

    event: Event
    fields: dict[str, str | int | float | bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Add to a counter."""

    name: str
    amount: int = 1


Action = (
    Send
    | StartRun
    | CancelRun
    | Finish
    | RelayTo
    | ProposeEdits
    | Restart
    | LogEvent
    | Count
)


@enum.unique
class Outcome(enum.StrEnum):
    """How a run ended.

    not_sent: no byte was written to the upstream. broken: the answer is not
    whole and cannot be. stopped: cancelled by us.
    """

    complete = 'complete'
    not_sent = 'not_sent'
    broken = 'broken'
    failed = 'failed'
    stopped = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """The end of a run with its figures; times in seconds.

    ended: whether nothing listens at the upstream any more.
    """

    id: str
    upstream: str
    outcome: Outcome
    first_s: float = 0
    total_s: float = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    shown: bool = False
    ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSpec:
    """A caller's request as far as decisions need it.

    left_s: seconds to its deadline at submission. content: digest of what is
    asked.
    """

    workspace: str
    service: str
    tier: str
    idempotent: bool
    left_s: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefixes: tuple[str, ...] = ()
    content: str = ''
