"""Interfaces between request handling and the scheduling of its jobs."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.group import UpstreamGroup
from tallyhall_dispatch.jobs import Job, RunReport, SlotGrant
from tallyhall_dispatch.load_reports import LoadReport
from tallyhall_dispatch.pool import GrantDecision
from tallyhall_dispatch.rejection import RejectDecision


class UpstreamListener(Protocol):
    """Receives the signals that upstreams send in their answers."""

    def on_leaving(self, incarnation: str) -> None:
        """Handle the announcement of an upstream that it is leaving."""

    def on_limit_announced(
        self,
        incarnation: str,
        per_s: float | None,
        asked_at: float,
    ) -> None:
        """Handle the rate limit that an answer states.

        per_s: requests per second from all instances together, None if the
        answer states no limit. asked_at: when the answered request was sent.
        """

    def on_load_reported(self, incarnation: str, report: LoadReport) -> None:
        """Handle the load that an upstream states in an answer."""


class Scheduler(Protocol):
    """Assigns upstreams to requests."""

    @property
    def upstream_listener(self) -> UpstreamListener:
        """Return the listener for signals in answers."""

    async def acquire(self, job: Job) -> SlotGrant:
        """Return an upstream for one send; raise RefusedError."""

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an upstream still takes new requests."""

    def upstreams(self, service: str) -> UpstreamGroup | None:
        """Return the upstreams of a service, None if it is unknown."""

    def record_first_byte(self, job: Job) -> None:
        """Record that the answer of a job has begun."""

    def backoff_ends_in_s(
        self, service: str, backoffs: Mapping[str, float]
    ) -> float:
        """Return the time until an upstream of a service is out of backoff.

        backoffs: the upstreams in backoff and the end of each backoff. The
        result is 0 if any upstream is not in backoff.
        """

    def known_slowdown(self, job: Job) -> float:
        """Return the slowdown of its upstream known when a job was granted."""

    def finish(self, job: Job, upstream: Upstream, report: RunReport) -> None:
        """Record that a send has ended."""


class JobListener(Protocol):
    """The requester of a job, notified of the decision."""

    def on_granted(self, granted: GrantDecision) -> None:
        """Handle the assignment of an upstream and the forecast."""

    def on_rejected(self, given_up: RejectDecision) -> None:
        """Handle the decision that a job cannot be answered in time."""


class JobRejectedError(RefusedError):
    """The refusal of a job that the scheduler rejected."""

    def __init__(self, given_up: RejectDecision) -> None:
        """Store when to retry and what the decision was based on."""
        refusal = Refusal.of(
            Reason.deadline_unreachable,
            retry_after=given_up.retry_after_s,
        )
        super().__init__(refusal)
        self.forecast = given_up.forecast
        self.cause = given_up.cause
