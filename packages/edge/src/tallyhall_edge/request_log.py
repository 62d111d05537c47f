"""Log events and metrics of requests."""

from __future__ import annotations

import msgspec
from tallyhall_core.events import Event
from tallyhall_core.refusals import Reason, Refusal, RefusedError
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.gate import Admitted, OverQuotaError
from tallyhall_dispatch.jobs import AttemptOutcome, RunReport, SlotGrant
from tallyhall_dispatch.quota import QuotaState
from tallyhall_dispatch.retries import RetryUse

from .dialect import RequestInfo
from .errors import EdgeError
from .lateness import lateness
from .request_context import ANSWERED, RequestContext
from .scheduling import JobRejectedError
from .telemetry import Telemetry

_MILLI = 1000
# Maximum length of a logged cause, in characters; it may contain bytes that an
# upstream sent.
_MAX_CAUSE_CHARS = 100
# Maximum length of a logged request id that a caller states.
_MAX_ID_CHARS = 64
# Maximum number of unknown header names that are logged; an upstream could send
# any number of them.
_MAX_UNREAD_HEADERS = 20
# Refusals that a caller can bring about as often as it likes.
_CALLER_REASONS = frozenset(
    (
        Reason.bad_request,
        Reason.unknown_key,
        Reason.unknown_route,
    )
)


class RequestLog:
    """Logs the steps of requests under their ids."""

    def __init__(self, telemetry: Telemetry) -> None:
        """Log to this telemetry."""
        self._telemetry = telemetry
        self._unread: set[str] = set()

    def admitted(
        self,
        call: RequestInfo,
        admitted: Admitted,
        confirmed_s_ago: float | None,
    ) -> None:
        """Log an admission and the values that decided it."""
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
            **_resume_fields(call),
            **_charge_fields(admitted),
        )

    def permitted(
        self, context: RequestContext, grant: SlotGrant, slowdown: float
    ) -> None:
        """Log the upstream that a request is sent to.

        slowdown: what was known of it when it was granted.
        """
        slowed = {'slowdown': round(slowdown, 2)} if slowdown > 1 else {}
        self._telemetry.event(
            Event.permitted,
            served=True,
            request=context.request_id,
            upstream=grant.upstream.incarnation,
            upstream_version=grant.upstream.version,
            by=grant.by,
            waited_ms=_millis(grant.waited_s),
            send=context.sends,
            after_event=context.last_event,
            **slowed,
        )

    def send_ended(
        self,
        context: RequestContext,
        upstream: Upstream,
        report: RunReport,
    ) -> None:
        """Log how a send ended, together with its forecast.

        The content digest of failed sends shows whether the same request fails
        repeatedly; the cause shows whether its connection was lost.
        """
        served = report.ending is AttemptOutcome.answered
        failed = {} if served else _failure_fields(context)
        self._telemetry.event(
            Event.send_ended,
            served=served,
            request=context.request_id,
            upstream=upstream.incarnation,
            ending=report.ending.value,
            first_ms=_millis(report.first_s),
            forecast_ms=_millis(context.forecast_s),
            events=report.events,
            pause_ms=_millis(report.pause_s),
            pause_after=report.pause_after,
            total_ms=_millis(report.total_s),
            **failed,
            **_path_fields(context),
            **_upstream_status_fields(context),
        )

    def header_unread(self, upstream: Upstream, name: str) -> None:
        """Log an unknown header of upstreams the first time it is seen."""
        if name in self._unread or len(self._unread) >= _MAX_UNREAD_HEADERS:
            return
        self._unread.add(name)
        self._telemetry.event(
            Event.header_unread,
            header=name[:_MAX_CAUSE_CHARS],
            upstream=upstream.incarnation,
        )

    def budget_binds(self, context: RequestContext, use: RetryUse) -> None:
        """Log that the retry budget prevents a retry, and its use."""
        self._telemetry.event(
            Event.budget_binds,
            request=context.request_id,
            service=context.admitted.service,
            requests=use.requests,
            retries=use.retries,
            available=round(use.available, 2),
            instances=use.instances,
            unread=use.unread,
        )

    def caller_left(self, context: RequestContext) -> None:
        """Log that the caller disconnected before the end of its answer."""
        self._telemetry.event(
            Event.caller_left,
            request=context.request_id,
            sends=context.sends,
            begun=context.exchange.started,
        )

    def refused(
        self,
        request_id: str,
        refusal: Refusal,
        cause: RefusedError | None = None,
        *,
        is_retry: bool = False,
    ) -> None:
        """Log a refusal, and the values that decided it if known."""
        self._telemetry.event(
            Event.refused,
            by_caller=refusal.reason in _CALLER_REASONS,
            request=request_id[:_MAX_ID_CHARS],
            reason=refusal.reason.value,
            detail=refusal.detail,
            retry_after=refusal.retry_after,
            **_refusal_fields(cause),
            **_rejection_cause_fields(cause, is_retry=is_retry),
        )

    def ended(self, context: RequestContext, now: float) -> None:
        """Log and count the end of a request."""
        total_s = now - context.exchange.received_at
        self._telemetry.record_request_end(
            context.outcome,
            total_s,
            context.admitted.route.kind.value,
            is_retry=context.is_retry,
            is_suspect=bool(context.suspect),
        )
        served = context.outcome == ANSWERED
        # This line has all values that matter, even if earlier ones are lost.
        fields = (
            _lateness_fields(context, now)
            if served
            else _unserved_fields(context)
        )
        self._telemetry.event(
            Event.finished,
            served=served,
            request=context.request_id,
            outcome=context.outcome,
            total_ms=_millis(total_s),
            sends=context.sends,
            **fields,
        )


def _unserved_fields(context: RequestContext) -> dict[str, object]:
    admitted = context.admitted
    workspace = admitted.workspace
    return {
        'route': admitted.route.name,
        'workspace': None if workspace is None else workspace.name,
        'service': admitted.service,
        'version': admitted.version,
        'content': context.content,
        'parts': context.fingerprint.parts,
        'suspect': context.suspect,
        'tried': sorted(context.excluded),
        'may_have_run': context.may_have_run,
        'begun': context.begun,
        'since_first_ms': _millis(context.since_first_s),
        'waited_ms': _millis(context.total_wait_s),
        'limit_ms': _millis(context.end_at - context.exchange.received_at),
    }


def _failure_fields(context: RequestContext) -> dict[str, object]:
    error: EdgeError | None = context.not_sent
    if error is None and context.relay is not None:
        error = context.relay.error
    return {
        'content': context.content,
        'parts': context.fingerprint.parts,
        'cause': None if error is None else str(error)[:_MAX_CAUSE_CHARS],
    }


def _path_fields(context: RequestContext) -> dict[str, object]:
    """Return through which instance a request was sent, if through one."""
    if not context.via:
        return {}
    return {'via': context.via, 'tunnel': context.tunnel}


def _upstream_status_fields(context: RequestContext) -> dict[str, object]:
    """Return what the answer's head says about the upstream."""
    info = None if context.relay is None else context.relay.info
    if info is None or not info.has_upstream_status:
        return {}
    return {
        'leaving': info.leaving,
        'rest_ms': _millis(info.backoff_s),
        'limit_per_s': info.limit_per_s,
    }


def _lateness_fields(context: RequestContext, now: float) -> dict[str, object]:
    late = lateness(context, now)
    if late is None:
        return {}
    return {
        'route': context.admitted.route.name,
        **msgspec.structs.asdict(late),
    }


def _refusal_fields(cause: RefusedError | None) -> dict[str, object]:
    if isinstance(cause, OverQuotaError):
        return _over_quota_fields(cause)
    if isinstance(cause, JobRejectedError):
        forecast = cause.forecast
        return {
            'ahead': forecast.ahead,
            'wait_ms': _millis(forecast.wait_s),
            'rate': round(forecast.rate, 1),
            'free': forecast.free,
        }
    return {}


def _rejection_cause_fields(
    cause: RefusedError | None, *, is_retry: bool
) -> dict[str, object]:
    """Return why a job was rejected, where an urgency of its service defers."""
    if not isinstance(cause, JobRejectedError) or cause.cause is None:
        return {}
    return {'retry': is_retry, 'cause': cause.cause.value}


def _resume_fields(call: RequestInfo) -> dict[str, object]:
    """Return which stream a request resumes, and after which event."""
    if call.last_event is None and not call.resumes:
        return {}
    return {
        'resumes': call.resumes[:_MAX_ID_CHARS],
        'after_event': call.last_event,
    }


def _charge_fields(admitted: Admitted) -> dict[str, object]:
    if admitted.quota_state is None:
        return {}
    return {'charged': admitted.charged, **_quota_fields(admitted.quota_state)}


def _over_quota_fields(cause: OverQuotaError) -> dict[str, object]:
    if cause.quota_state is None:
        return {}
    return {
        'workspace': cause.workspace,
        'asked': cause.amount,
        'quota': round(cause.quota_state.quota),
        'window_s': cause.quota_state.window_s,
        **_quota_fields(cause.quota_state),
    }


def _quota_fields(seen: QuotaState) -> dict[str, object]:
    return {
        'used': round(seen.used),
        'limit': round(seen.limit),
        'heard': round(seen.heard_fraction, 3),
        'known_ms_ago': _millis(seen.data_age_s),
    }


def _millis(span_s: float | None) -> int | None:
    return None if span_s is None else round(span_s * _MILLI)
