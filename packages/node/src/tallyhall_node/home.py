"""The home role: requests that only this incarnation may dispatch.

The home of a request is the incarnation that received it. A request goes
through the states waiting, running and finished. It returns to waiting only if
its run reports that no byte was written (or, for an idempotent call to a plain
service, that the call failed before any of its answer was sent to the caller).
Finished ids are kept until ids of their window are no longer accepted, so that
a resubmitted id is never mistaken for a new one.
"""

from __future__ import annotations

from tallyhall_admission.outgoing import running_entry
from tallyhall_core.events import Event
from tallyhall_core.ids import RequestId
from tallyhall_core.messages import (
    AskRefused,
    Holding,
    HoldingWanted,
    NotOwner,
    Permit,
    Revoke,
    Withdraw,
)
from tallyhall_core.refusals import Reason, Refusal

from .actions import (
    Action,
    CancelRun,
    IncrementCounter,
    Outcome,
    RefuseRequest,
    RequestSpec,
    RunResult,
    StartRun,
)
from .quarantine import ObservedTerminations
from .request import HomeRequest, State, refusal_reason, request_event
from .retries import RetryBudget
from .view import View

_RETRY_AFTER_S = 0.5
_PRUNE_INTERVAL_S = 1.0


class HomeRole:
    """Requests whose home, or the successor of it, is this incarnation."""

    def __init__(self, view: View) -> None:
        """Initialize without requests."""
        self._view = view
        self._requests: dict[str, HomeRequest] = {}
        self._active: dict[str, HomeRequest] = {}
        cfg = view.cfg
        self._pruned_at: float = 0
        # service -> epoch of the newest owner that has requested a report
        self._owner_epochs: dict[str, int] = {}
        self._terminations = ObservedTerminations()
        self._retry_budget = RetryBudget(cfg.retry_ratio, cfg.initial_retries)

    @property
    def load(self) -> int:
        """Return the number of unfinished requests."""
        return len(self._active)

    def knows(self, request_id: str) -> bool:
        """Return whether the id was submitted here and is still stored."""
        return request_id in self._requests

    # -- calls from callers

    def submit(
        self,
        rid: RequestId,
        spec: RequestSpec,
        now: float,
    ) -> list[Action]:
        """Accept a request that no instance has dispatched."""
        req = HomeRequest(rid, spec, now + spec.left_s)
        self._requests[str(rid)] = req
        self._active[str(rid)] = req
        self._retry_budget.record_request()
        return [
            request_event(Event.admitted, req),
            *self._request_permit(req, now),
        ]

    def resume(
        self,
        rid: RequestId,
        spec: RequestSpec,
        upstream: str,
        address: str,
        now: float,
    ) -> list[Action]:
        """Accept a request that a fenced home dispatched; read its stream."""
        req = HomeRequest(rid, spec, now + spec.left_s, State.running)
        req.upstream = upstream
        req.resumed = True
        self._requests[str(rid)] = req
        self._active[str(rid)] = req
        return [
            request_event(Event.resumed, req),
            StartRun(str(rid), upstream, address, req.deadline, resume=True),
        ]

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Cancel a request whose caller has disconnected for good."""
        req = self._active.get(request_id)
        if req is None:
            return []
        return self._stop(req, Refusal.of(Reason.cancelled), now)

    # -- messages from owners

    def on_permit(
        self,
        sender: str,
        msg: Permit,
        now: float,
    ) -> list[Action]:
        """Start the run that the owner has permitted.

        Only a permit from the owner to which the latest request was sent is
        valid: an earlier owner does not know which requests its successor has
        started or shed.
        """
        req = self._requests.get(msg.id)
        if req is None or req.state == State.finished:
            withdraw = Withdraw(msg.id, msg.service)
            owner = self._find_owner(msg.service, takeover=True, now=now)
            return self._view.send(owner, withdraw)
        if req.state != State.waiting or msg.attempt != req.attempt:
            return []
        if sender != req.requested_owner:
            withdraw = Withdraw(msg.id, msg.service)
            return [
                IncrementCounter('retry.stale_owner'),
                *self._view.send(sender, withdraw),
            ]
        req.state = State.running
        req.upstream = msg.upstream
        req.terminations = msg.ends
        until = min(now + msg.valid_s, req.deadline)
        return [
            request_event(Event.permitted, req),
            StartRun(msg.id, msg.upstream, msg.address, until),
        ]

    def on_permit_refused(
        self,
        sender: str,
        msg: AskRefused,
        now: float,
    ) -> list[Action]:
        """Finish a waiting request that the owner refuses."""
        req = self._active.get(msg.id)
        if req is None or req.state != State.waiting:
            return []
        if msg.attempt != req.attempt:
            return []
        if sender != req.requested_owner:
            return [IncrementCounter('retry.stale_owner')]
        refusal = Refusal.of(msg.reason, retry_after=msg.retry_after_s)
        return self._finish(req, refusal, now)

    def on_not_owner(self, msg: NotOwner, now: float) -> list[Action]:
        """Schedule another permit request, as the receiver is not the owner."""
        req = self._active.get(msg.id)
        if req is None or req.state != State.waiting:
            return []
        req.permit_requested_at = now - self._view.cfg.permit_retry_s / 2
        return [IncrementCounter('retry.not_owner')]

    def on_revoke(self, msg: Revoke, now: float) -> list[Action]:
        """Stop a running request at the owner's order."""
        req = self._active.get(msg.id)
        if req is None:
            owner = self._find_owner(msg.service, takeover=True, now=now)
            return self._view.send(owner, Withdraw(msg.id, msg.service))
        if req.state == State.waiting:
            return []
        wait = self._view.cfg.pool.hold_s
        refusal = Refusal.of(Reason.revoked, retry_after=wait)
        return self._stop(req, refusal, now)

    def on_running_report_request(
        self,
        sender: str,
        msg: HoldingWanted,
        now: float,
    ) -> list[Action]:
        """Report the running requests of a service to its new owner.

        Messages of earlier owners are ignored afterwards; otherwise one of
        them could permit a run that the new owner does not know of.
        """
        if msg.since < self._owner_epochs.get(msg.service, 0):
            return []
        self._owner_epochs[msg.service] = msg.since
        for active in self._active.values():
            if active.spec.service != msg.service:
                continue
            if active.requested_owner != sender:
                active.requested_owner = ''
        running = [
            running_entry(
                req.permit_request(self._view.me, now),
                req.upstream,
                max(0, req.deadline - now),
            )
            for req in self._active.values()
            if req.state == State.running and req.spec.service == msg.service
        ]
        holding = Holding(
            msg.service,
            msg.since,
            self._view.me,
            tuple(running),
            self._terminations.report(now),
        )
        return self._view.send(sender, holding)

    # -- results of runs

    def on_result(self, run: RunResult, now: float) -> list[Action]:
        """Process the end of a run: complete, retry or refuse the request."""
        req = self._active.get(run.id)
        if req is None or req.state != State.running:
            return []
        out = self._return_permit(req, run, now)
        if run.outcome == Outcome.complete:
            return [*out, *self._complete(req, run, now)]
        if self._may_retry(req, run, now):
            req.state = State.waiting
            req.attempt += 1
            req.avoid = run.upstream
            out.append(IncrementCounter(f'retry.{run.outcome}'))
            return [*out, *self._request_permit(req, now)]
        reason = refusal_reason(run.outcome, late=now >= req.deadline)
        refusal = Refusal.of(reason, retry_after=_RETRY_AFTER_S)
        return [*out, *self._finish(req, req.stop_refusal or refusal, now)]

    # -- timers and fencing

    def tick(self, now: float, window: int) -> list[Action]:
        """Expire late requests, repeat permit requests, remove old requests."""
        out: list[Action] = []
        for req in list(self._active.values()):
            if now >= req.deadline:
                out += self._give_up(req, now)
                continue
            if req.state == State.waiting:
                out += self._request_permit_again(req, now)
        self._prune(now, window)
        return out

    def fence(self, now: float) -> list[Action]:
        """Refuse all waiting requests, which a successor may run from now."""
        out: list[Action] = []
        for req in list(self._active.values()):
            if req.state == State.waiting:
                refusal = Refusal.of(Reason.fenced, retry_after=0)
                out += self._finish(req, refusal, now)
        return out

    # -- internals

    def _request_permit(self, req: HomeRequest, now: float) -> list[Action]:
        req.permit_requested_at = now
        owner = self._owner_of(req, now)
        req.requested_owner = owner
        if not owner:
            return []
        return self._view.send(owner, req.permit_request(self._view.me, now))

    def _request_permit_again(
        self, req: HomeRequest, now: float
    ) -> list[Action]:
        owner = self._owner_of(req, now)
        if not owner and self._view.kv_down(now) and req.rid.takeover:
            # A deputy may serve only ids that cannot be taken over.
            refusal = Refusal.of(
                Reason.owner_unreachable,
                retry_after=_RETRY_AFTER_S,
            )
            return self._finish(req, refusal, now)
        unanswered = (
            now - req.permit_requested_at >= self._view.cfg.permit_retry_s
        )
        if owner == req.requested_owner and not unanswered:
            return []
        return [
            IncrementCounter('retry.reask'),
            *self._request_permit(req, now),
        ]

    def _owner_of(self, req: HomeRequest, now: float) -> str:
        return self._find_owner(
            req.spec.service, takeover=req.rid.takeover, now=now
        )

    def _find_owner(self, service: str, *, takeover: bool, now: float) -> str:
        if self._view.owner_since(service) < self._owner_epochs.get(service, 0):
            # A newer owner has requested a report, but the assignment that
            # names it has not arrived yet.
            return ''
        owner = self._view.owner_of(service)
        if owner and self._view.is_home_live(owner, now):
            return owner
        if not takeover and self._view.kv_down(now):
            return self._view.deputy_of(service, now)
        return ''

    def _return_permit(
        self,
        req: HomeRequest,
        run: RunResult,
        now: float,
    ) -> list[Action]:
        returned = req.permit_return(run)
        self._terminations.record(returned, now)
        return self._view.send(self._owner_of(req, now), returned)

    def _may_retry(
        self,
        req: HomeRequest,
        run: RunResult,
        now: float,
    ) -> bool:
        if req.stop_refusal or req.resumed or now >= req.deadline:
            return False
        if run.outcome != Outcome.not_sent:
            plain = not req.spec.prompt_tokens
            broken = run.outcome == Outcome.broken
            repeatable = plain and req.spec.idempotent and not run.shown
            if not (broken and repeatable):
                return False
        if req.attempt >= self._view.cfg.max_retries:
            return False
        return self._retry_budget.try_retry()

    def _give_up(self, req: HomeRequest, now: float) -> list[Action]:
        if req.state == State.waiting:
            withdraw = Withdraw(str(req.rid), req.spec.service)
            refusal = Refusal.of(
                Reason.deadline_exceeded,
                retry_after=_RETRY_AFTER_S,
            )
            return [
                *self._view.send(self._owner_of(req, now), withdraw),
                *self._finish(req, refusal, now),
            ]
        refusal = Refusal.of(
            Reason.deadline_exceeded_running,
            retry_after=_RETRY_AFTER_S,
        )
        return self._stop(req, refusal, now)

    def _stop(
        self,
        req: HomeRequest,
        refusal: Refusal,
        now: float,
    ) -> list[Action]:
        if req.state == State.waiting:
            withdraw = Withdraw(str(req.rid), req.spec.service)
            return [
                *self._view.send(self._owner_of(req, now), withdraw),
                *self._finish(req, refusal, now),
            ]
        if req.stop_refusal:
            return []
        req.stop_refusal = refusal
        return [
            request_event(Event.revoked, req, reason=refusal.reason),
            IncrementCounter(f'refused.{refusal.reason}'),
            CancelRun(str(req.rid), refusal),
        ]

    def _complete(
        self,
        req: HomeRequest,
        run: RunResult,
        now: float,
    ) -> list[Action]:
        self._mark_finished(req, now)
        return [
            request_event(
                Event.finished,
                req,
                output_tokens=run.output_tokens,
                cached_tokens=run.cached_tokens,
                first_s=round(run.first_s, 4),
            ),
            IncrementCounter(f'finished.{req.spec.tier}'),
        ]

    def _finish(
        self,
        req: HomeRequest,
        refusal: Refusal,
        now: float,
    ) -> list[Action]:
        self._mark_finished(req, now)
        out: list[Action] = [
            request_event(
                Event.refused,
                req,
                reason=refusal.reason,
                executed=refusal.executed,
            ),
        ]
        if not req.stop_refusal:
            out.append(IncrementCounter(f'refused.{refusal.reason}'))
            out.append(RefuseRequest(str(req.rid), refusal))
        return out

    def _mark_finished(self, req: HomeRequest, now: float) -> None:
        req.state = State.finished
        req.finished_at = now
        self._active.pop(str(req.rid), None)

    def _prune(self, now: float, window: int) -> None:
        if now - self._pruned_at < _PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        keep_s = self._view.cfg.window_s * 2
        for request_id, req in list(self._requests.items()):
            if req.state != State.finished or now - req.finished_at < keep_s:
                continue
            own = req.rid.home == self._view.home
            if not own or req.rid.window < window - 1:
                self._requests.pop(request_id)
