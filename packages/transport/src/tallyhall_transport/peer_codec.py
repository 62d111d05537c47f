"""Converts between peer messages and the types of tallyhall_dispatch.

Monotonic clocks of two instances are not comparable, so points in time are
sent as durations relative to the sending of the message.

The encoders fill in messages that a batch has created, so that this module
does not import the generated code, which a starting instance loads late.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from tallyhall_dispatch.jobs import AttemptOutcome, Job, RunReport
from tallyhall_dispatch.load_reports import (
    MAX_REQUESTS,
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    LoadReport,
)
from tallyhall_dispatch.rejection import (
    RejectDecision,
    RejectionCause,
    RejectionForecast,
)

if TYPE_CHECKING:
    from .generated import peers_pb2

_MILLI = 1000
_PERCENT = 100
_NO_FIRST_EVENT = -1
# Longer waits are sent as one hour, in milliseconds.
_MAX_WAIT_MS = 3_600_000
# Longest duration that the messages hold, in milliseconds.
_MAX_MS = 2_147_483_647


def encode_job(ask: peers_pb2.Ask, job: Job, now: float) -> None:
    """Encode a job for which an upstream is requested."""
    ask.key = job.key
    ask.service = job.service
    ask.zone = job.zone
    ask.urgency = job.urgency
    ask.prompt_tokens = job.prompt_tokens
    ask.output_tokens = job.output_tokens
    ask.due_in_ms = whole_millis(job.due_at - now)
    ask.give_up_in_ms = whole_millis(job.reject_at - now)
    ask.excluded.extend(job.excluded)
    ask.spare = job.over_quota
    ask.pause_ms = whole_millis(job.pause_s)
    ask.suspect = job.suspect_digest
    ask.route = job.route
    ask.once = job.non_idempotent
    ask.resumable = job.resumable
    if job.version is not None:
        ask.version = job.version
    for upstream, until in job.backoffs.items():
        left_ms = math.ceil((until - now) * _MILLI)
        ask.resting.add(upstream=upstream, left_ms=max(0, left_ms))


def decode_job(ask: peers_pb2.Ask, now: float) -> Job:
    """Decode a job for which another instance requests an upstream."""
    return Job(
        key=ask.key,
        service=ask.service,
        zone=ask.zone,
        urgency=ask.urgency,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        asked_at=now,
        due_at=now + ask.due_in_ms / _MILLI,
        reject_at=now + ask.give_up_in_ms / _MILLI,
        excluded=frozenset(ask.excluded),
        over_quota=ask.spare,
        pause_s=ask.pause_ms / _MILLI,
        suspect_digest=ask.suspect,
        backoffs={
            rest.upstream: now + rest.left_ms / _MILLI for rest in ask.resting
        },
        route=ask.route,
        non_idempotent=ask.once,
        resumable=ask.resumable,
        version=ask.version if ask.HasField('version') else None,
    )


def encode_give_up(give_up: peers_pb2.GiveUp, given_up: RejectDecision) -> None:
    """Encode the decision that a job cannot be answered in time."""
    give_up.key = given_up.key
    give_up.retry_after_ms = whole_millis(given_up.retry_after_s)
    forecast = given_up.forecast
    give_up.wait_ms = min(_MAX_WAIT_MS, whole_millis(forecast.wait_s))
    give_up.ahead = forecast.ahead
    give_up.rate = forecast.rate
    give_up.free = forecast.free
    if given_up.cause is not None:
        give_up.cause = given_up.cause.value


def decode_give_up(give_up: peers_pb2.GiveUp) -> RejectDecision:
    """Decode another instance's decision to give up a job."""
    return RejectDecision(
        give_up.key,
        give_up.retry_after_ms / _MILLI,
        RejectionForecast(
            give_up.ahead,
            give_up.wait_ms / _MILLI,
            give_up.rate,
            give_up.free,
        ),
        _decode_cause(give_up.cause),
    )


def _decode_cause(text: str) -> RejectionCause | None:
    """Decode a cause; None if it is absent or from a later version."""
    try:
        return RejectionCause(text)
    except ValueError:
        return None


def encode_done(
    done: peers_pb2.Done,
    key: str,
    service: str,
    upstream: str,
    report: RunReport,
) -> None:
    """Encode the result of a request that was sent to an upstream."""
    done.key = key
    done.service = service
    done.upstream = upstream
    done.ending = report.ending.value
    done.total_ms = whole_millis(report.total_s)
    done.first_ms = _NO_FIRST_EVENT
    if report.first_s is not None:
        done.first_ms = whole_millis(report.first_s)
    done.events = report.events
    done.stream_ms = whole_millis(report.stream_s)
    done.pause_ms = whole_millis(report.pause_s)


def decode_done(done: peers_pb2.Done) -> RunReport:
    """Decode the result of a request that another instance sent."""
    first_s = None
    if done.first_ms != _NO_FIRST_EVENT:
        first_s = done.first_ms / _MILLI
    return RunReport(
        AttemptOutcome(done.ending),
        done.total_ms / _MILLI,
        first_s,
        done.events,
        done.stream_ms / _MILLI,
        done.pause_ms / _MILLI,
    )


def encode_load(
    load: peers_pb2.Load, upstream: str, report: LoadReport, age_s: float
) -> None:
    """Encode the load that an upstream reported some time ago."""
    load.upstream = upstream
    load.running = report.running
    load.waiting = report.waiting
    load.slots = report.slots
    load.slowdown_percent = encode_slowdown(report.slowdown or 0)
    load.age_ms = max(0, whole_millis(age_s))


def decode_load(load: peers_pb2.Load) -> tuple[LoadReport, float] | None:
    """Decode a forwarded report and its age in seconds.

    Returns None for one without a slowdown or with values that no upstream may
    report, which a peer of another version may forward.
    """
    if max(load.running, load.waiting, load.slots) > MAX_REQUESTS:
        return None
    slowdown = load.slowdown_percent / _PERCENT
    if not MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
        return None
    report = LoadReport(load.running, load.waiting, load.slots, slowdown)
    return report, load.age_ms / _MILLI


def encode_slowdown(slowdown: float) -> int:
    """Return a slowdown in percent."""
    return round(slowdown * _PERCENT)


def decode_slowdown(percent: int) -> float:
    """Return a slowdown from percent, 1 if it is unknown."""
    return percent / _PERCENT if percent else 1


def whole_millis(duration_s: float) -> int:
    """Return whole milliseconds, within what the messages hold."""
    return int(max(-_MAX_MS, min(_MAX_MS, duration_s * _MILLI)))
