"""Outcome of a request: a complete response, a refusal, or unknown."""

from __future__ import annotations

import dataclasses
import enum

import pydantic


@enum.unique
class Verdict(enum.StrEnum):
    """How a request ended, as seen by its caller."""

    answered = 'answered'
    refused = 'refused'
    unknown = 'unknown'


class RefusalBody(pydantic.BaseModel):
    """JSON object that describes a refusal."""

    code: int
    reason: str
    executed: str
    request_id: str
    retry_after_ms: int | None = None
    message: str = ''
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CallOptions:
    """Workspace, tier, deadline and retry options of a request."""

    workspace: str
    tier: str = ''
    deadline_s: float = 30.0
    idempotent: bool | None = None
    idempotency_key: str = ''


@dataclasses.dataclass(slots=True)
class CallOutcome:
    """Response or refusal of a request, with its measured times.

    first_s and total_s are measured from the call of the client; gap_s is the
    mean time between tokens; sends is the number of times that the request
    was sent with its current id.
    """

    verdict: Verdict = Verdict.unknown
    request_id: str = ''
    text: str = ''
    status: int = 0
    refusal: RefusalBody | None = None
    first_s: float = 0
    total_s: float = 0
    gap_s: float = 0
    sends: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0

    @property
    def reason(self) -> str:
        """Return the reason of the refusal, or the verdict if there is none."""
        return self.refusal.reason if self.refusal else str(self.verdict)
