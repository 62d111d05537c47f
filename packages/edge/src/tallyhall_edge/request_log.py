"""What is logged and counted of each request."""

from __future__ import annotations

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.refusals import Refusal, RefusedError
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.gate import Admitted, OverQuotaError
from tallyhall_dispatch.jobs import Ending, Grant, RunReport
from tallyhall_dispatch.quota import QuotaSeen

from .dialect import CallInfo
from .lateness import lateness
from .scheduling import GivenUpError
from .telemetry import Telemetry
from .visit import ANSWERED, Visit

_MILLI = 1000
# Characters of a cause; it may hold what an upstream sent.
_SHOWN_CAUSE = 100
# Unread headers that are told by name; an upstream may make up any number.
_MOST_UNREAD = 20


class RequestLog:
    """Tells of requests by their ids."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Tell it to this."""
        self._telemetry = telemetry
        self._unread: set[str] = set()

    def admitted(
        self,
        call: CallInfo,
        admitted: Admitted,
        confirmed_s_ago: float | None,
    ) -> None:
        """Log an admission and what decided it."""
        workspace = admitted.workspace
        self._telemetry.event(
            Event.admitted,
            served=True,
            request=call.id_text,
            route=admitted.route.name,
            workspace=None if workspace is None else workspace.name,
            service=admitted.service,
            version=admitted.version,
            confirmed_ms_ago=_millis(confirmed_s_ago),
            tokens=call.prompt_tokens + call.output_tokens,
            over_quota_s=admitted.over_quota_s,
            **_charged(admitted),
        )

    def permitted(self, visit: Visit, grant: Grant) -> None:
        """Log where a request is sent."""
        self._telemetry.event(
            Event.permitted,
            served=True,
            request=visit.request_id,
            upstream=grant.upstream.incarnation,
            by=grant.by,
            waited_ms=_millis(grant.waited_s),
            send=visit.sends,
            after_event=visit.last_event,
        )

    def send_ended(
        self,
        visit: Visit,
        upstream: Upstream,
        report: RunReport,
    ) -> None:
        """Log how a send ended, beside what was forecast of it.

        Where it failed, what was asked tells whether the same request fails
        again and again, and the cause whether its connection was lost.
        """
        served = report.ending is Ending.answered
        failed = {} if served else _failed_inputs(visit)
        self._telemetry.event(
            Event.send_ended,
            served=served,
            request=visit.request_id,
            upstream=upstream.incarnation,
            ending=report.ending.value,
            first_ms=_millis(report.first_s),
            forecast_ms=_millis(visit.forecast_s),
            events=report.events,
            pause_ms=_millis(report.pause_s),
            pause_after=report.pause_after,
            total_ms=_millis(report.total_s),
            **failed,
            **_said(visit),
        )

    def header_unread(self, upstream: Upstream, name: str) -> None:
        """Log once that upstreams send a header that nothing here reads."""
        if name in self._unread or len(self._unread) >= _MOST_UNREAD:
            return
        self._unread.add(name)
        self._telemetry.event(
            Event.header_unread,
            header=name[:_SHOWN_CAUSE],
            upstream=upstream.incarnation,
        )

    def budget_binds(self, visit: Visit) -> None:
        """Log that a request is not sent again, for the retry budget."""
        self._telemetry.event(
            Event.budget_binds,
            request=visit.request_id,
            service=visit.admitted.service,
        )

    def caller_left(self, visit: Visit) -> None:
        """Log that nobody waits for an answer any more."""
        self._telemetry.event(
            Event.caller_left,
            request=visit.request_id,
            sends=visit.sends,
            begun=visit.exchange.started,
        )

    def refused(
        self,
        request_id: str,
        refusal: Refusal,
        cause: RefusedError | None = None,
    ) -> None:
        """Log a refusal, and what decided it where that is known."""
        self._telemetry.event(
            Event.refused,
            request=request_id,
            reason=refusal.reason.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after,
            **_refusal_inputs(cause),
        )

    def ended(self, visit: Visit, now: float) -> None:
        """Log and count the end of a request."""
        total_s = now - visit.exchange.received_at
        self._telemetry.ended(
            visit.outcome,
            total_s,
            visit.admitted.route.kind.value,
        )
        served = visit.outcome == ANSWERED
        # Without the lines before it, this one still tells what decided.
        inputs = _late_inputs(visit, now) if served else _inputs(visit)
        self._telemetry.event(
            Event.finished,
            served=served,
            request=visit.request_id,
            outcome=visit.outcome,
            total_ms=_millis(total_s),
            sends=visit.sends,
            **inputs,
        )


def _inputs(visit: Visit) -> dict[str, object]:
    admitted = visit.admitted
    workspace = admitted.workspace
    return {
        'route': admitted.route.name,
        'workspace': None if workspace is None else workspace.name,
        'service': admitted.service,
        'version': admitted.version,
        'content': visit.content,
        'tried': sorted(visit.excluded),
        'may_have_run': visit.may_have_run,
        'begun': visit.begun,
        'since_first_ms': _millis(visit.since_first_s),
        'waited_ms': _millis(visit.all_waits_s),
        'limit_ms': _millis(visit.end_at - visit.exchange.received_at),
    }


def _failed_inputs(visit: Visit) -> dict[str, object]:
    relay = visit.relay
    broken = None if relay is None else relay.broken
    return {
        'content': visit.content,
        'cause': None if broken is None else str(broken)[:_SHOWN_CAUSE],
    }


def _said(visit: Visit) -> dict[str, object]:
    """Return what an upstream said of itself, beside its answer."""
    info = None if visit.relay is None else visit.relay.info
    if info is None or not info.says_anything:
        return {}
    return {
        'leaving': info.leaving,
        'rest_ms': _millis(info.rest_s),
        'limit_per_s': info.limit_per_s,
    }


def _late_inputs(visit: Visit, now: float) -> dict[str, object]:
    late = lateness(visit, now)
    if late is None:
        return {}
    return {'route': visit.admitted.route.name, **msgspec.structs.asdict(late)}


def _refusal_inputs(cause: RefusedError | None) -> dict[str, object]:
    if isinstance(cause, OverQuotaError):
        return _over_quota(cause)
    if isinstance(cause, GivenUpError):
        outlook = cause.outlook
        return {
            'ahead': outlook.ahead,
            'wait_ms': _millis(outlook.wait_s),
            'rate': round(outlook.rate, 1),
            'free': outlook.free,
        }
    return {}


def _charged(admitted: Admitted) -> dict[str, object]:
    if admitted.seen is None:
        return {}
    return {'charged': admitted.charged, **_quota_inputs(admitted.seen)}


def _over_quota(cause: OverQuotaError) -> dict[str, object]:
    if cause.seen is None:
        return {}
    return {
        'workspace': cause.workspace,
        'asked': cause.asked,
        'quota': round(cause.seen.quota),
        'window_s': cause.seen.window_s,
        **_quota_inputs(cause.seen),
    }


def _quota_inputs(seen: QuotaSeen) -> dict[str, object]:
    return {
        'used': round(seen.used),
        'limit': round(seen.limit),
        'heard': round(seen.heard, 3),
        'known_ms_ago': _millis(seen.known_s_ago),
    }


def _millis(span_s: float | None) -> int | None:
    return None if span_s is None else round(span_s * _MILLI)
