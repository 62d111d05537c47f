"""The home role: requests that this incarnation alone may dispatch.

A request moves one way: waiting, running, finished. It goes back to waiting
only when its run reports that no byte was written (or, for an idempotent
call to a plain service, that the call failed before any of its answer was
shown). Finished ids are kept until their window can no longer be submitted,
so that an id is never taken for a new one.
"""

from __future__ import annotations

from tallyhall_admission.outgoing import running_of
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
    Count,
    Finish,
    Outcome,
    RequestSpec,
    RunResult,
    StartRun,
)
from .quarantine import SeenEnds
from .request import HomeRequest, State, log_of, reason_of
from .retries import RetryBudget
from .view import View

_DRAIN_RETRY_S = 0.5
_CLEAN_S = 1.0


class HomeRole:
    """All requests whose home, or successor, is this incarnation."""

    def __init__(self, view: View) -> None:
        """Start with no requests."""
        self._view = view
        self._requests: dict[str, HomeRequest] = {}
        self._active: dict[str, HomeRequest] = {}
        cfg = view.cfg
        self._cleaned: float = 0
        # service -> epoch of the newest owner that has asked for a report
        self._reported: dict[str, int] = {}
        self._seen_ends = SeenEnds()
        self._budget = RetryBudget(cfg.retry_share, cfg.retry_floor)

    @property
    def load(self) -> int:
        """Return the number of unfinished requests."""
        return len(self._active)

    def knows(self, request_id: str) -> bool:
        """Return whether the id was submitted here and is remembered."""
        return request_id in self._requests

    # -- from callers

    def submit(
        self,
        rid: RequestId,
        spec: RequestSpec,
        now: float,
    ) -> list[Action]:
        """Take a request that nobody has dispatched."""
        req = HomeRequest(rid, spec, now + spec.left_s)
        self._requests[str(rid)] = req
        self._active[str(rid)] = req
        self._budget.earn()
        return [
            log_of(Event.admitted, req),
            *self._ask(req, now),
        ]

    def resume(
        self,
        rid: RequestId,
        spec: RequestSpec,
        upstream: str,
        address: str,
        now: float,
    ) -> list[Action]:
        """Take a request that a fenced home had dispatched; only read it."""
        req = HomeRequest(rid, spec, now + spec.left_s, State.running)
        req.upstream = upstream
        req.resumed = True
        self._requests[str(rid)] = req
        self._active[str(rid)] = req
        return [
            log_of(Event.resumed, req),
            StartRun(str(rid), upstream, address, req.deadline, resume=True),
        ]

    def cancel(self, request_id: str, now: float) -> list[Action]:
        """Take that the caller is gone for good."""
        req = self._active.get(request_id)
        if req is None:
            return []
        return self._stop(req, Refusal.of(Reason.cancelled), now)

    # -- from owners

    def on_permit(
        self,
        sender: str,
        msg: Permit,
        now: float,
    ) -> list[Action]:
        """Take a permit; the request is running from here on.

        Only the owner that was asked last may permit: an earlier one does
        not know what its successor has started and shed.
        """
        req = self._requests.get(msg.id)
        if req is None or req.state == State.finished:
            withdraw = Withdraw(msg.id, msg.service)
            owner = self._owner(msg.service, takeover=True, now=now)
            return self._view.send(owner, withdraw)
        if req.state != State.waiting or msg.attempt != req.attempt:
            return []
        if sender != req.asked_owner:
            withdraw = Withdraw(msg.id, msg.service)
            return [
                Count('retry.stale_owner'),
                *self._view.send(sender, withdraw),
            ]
        req.state = State.running
        req.upstream = msg.upstream
        req.ends = msg.ends
        until = min(now + msg.valid_s, req.deadline)
        return [
            log_of(Event.permitted, req),
            StartRun(msg.id, msg.upstream, msg.address, until),
        ]

    def on_refused(
        self,
        sender: str,
        msg: AskRefused,
        now: float,
    ) -> list[Action]:
        """Take the owner's refusal; it is final for a waiting request."""
        req = self._active.get(msg.id)
        if req is None or req.state != State.waiting:
            return []
        if msg.attempt != req.attempt:
            return []
        if sender != req.asked_owner:
            return [Count('retry.stale_owner')]
        refusal = Refusal.of(msg.reason, retry_after=msg.retry_after_s)
        return self._finish(req, refusal, now)

    def on_not_owner(self, msg: NotOwner, now: float) -> list[Action]:
        """Take that the asked instance is not the owner; ask again soon."""
        req = self._active.get(msg.id)
        if req is None or req.state != State.waiting:
            return []
        req.asked = now - self._view.cfg.reask_s / 2
        return [Count('retry.not_owner')]

    def on_revoke(self, msg: Revoke, now: float) -> list[Action]:
        """Take the owner's order to stop a running request."""
        req = self._active.get(msg.id)
        if req is None:
            owner = self._owner(msg.service, takeover=True, now=now)
            return self._view.send(owner, Withdraw(msg.id, msg.service))
        if req.state == State.waiting:
            return []
        wait = self._view.cfg.pool.hold_s
        refusal = Refusal.of(Reason.revoked, retry_after=wait)
        return self._stop(req, refusal, now)

    def on_holding_wanted(
        self,
        sender: str,
        msg: HoldingWanted,
        now: float,
    ) -> list[Action]:
        """Report everything running in the service to its new owner.

        From here on earlier owners are not listened to, else one of them
        could start what the new owner never hears of.
        """
        if msg.since < self._reported.get(msg.service, 0):
            return []
        self._reported[msg.service] = msg.since
        for waiting in self._active.values():
            if waiting.spec.service != msg.service:
                continue
            if waiting.asked_owner != sender:
                waiting.asked_owner = ''
        running = [
            running_of(
                req.ask(self._view.me, now),
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
            self._seen_ends.told(now),
        )
        return self._view.send(sender, holding)

    # -- from runs

    def on_result(self, run: RunResult, now: float) -> list[Action]:
        """Take the end of a run."""
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
            out.append(Count(f'retry.{run.outcome}'))
            return [*out, *self._ask(req, now)]
        reason = reason_of(run.outcome, late=now >= req.deadline)
        refusal = Refusal.of(reason, retry_after=_DRAIN_RETRY_S)
        return [*out, *self._finish(req, req.stopping or refusal, now)]

    # -- time and changes

    def tick(self, now: float, window: int) -> list[Action]:
        """Give up what is late, ask again, forget old windows."""
        out: list[Action] = []
        for req in list(self._active.values()):
            if now >= req.deadline:
                out += self._give_up(req, now)
                continue
            if req.state == State.waiting:
                out += self._ask_again(req, now)
        self._forget(now, window)
        return out

    def fence(self, now: float) -> list[Action]:
        """End what waits here: a successor may run it from now on."""
        out: list[Action] = []
        for req in list(self._active.values()):
            if req.state == State.waiting:
                refusal = Refusal.of(Reason.fenced, retry_after=0)
                out += self._finish(req, refusal, now)
        return out

    # -- internals

    def _ask(self, req: HomeRequest, now: float) -> list[Action]:
        req.asked = now
        owner = self._owner_for(req, now)
        req.asked_owner = owner
        if not owner:
            return []
        return self._view.send(owner, req.ask(self._view.me, now))

    def _ask_again(self, req: HomeRequest, now: float) -> list[Action]:
        owner = self._owner_for(req, now)
        if not owner and self._view.kv_down(now) and req.rid.takeover:
            # A deputy may serve only ids that no taker can ask about.
            refusal = Refusal.of(
                Reason.owner_unreachable,
                retry_after=_DRAIN_RETRY_S,
            )
            return self._finish(req, refusal, now)
        unanswered = now - req.asked >= self._view.cfg.reask_s
        if owner == req.asked_owner and not unanswered:
            return []
        return [Count('retry.reask'), *self._ask(req, now)]

    def _owner_for(self, req: HomeRequest, now: float) -> str:
        return self._owner(req.spec.service, takeover=req.rid.takeover, now=now)

    def _owner(self, service: str, *, takeover: bool, now: float) -> str:
        if self._view.since(service) < self._reported.get(service, 0):
            # The newest owner is known, its assignment is on its way.
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
        done = req.done(run)
        self._seen_ends.note(done, now)
        return self._view.send(self._owner_for(req, now), done)

    def _may_retry(
        self,
        req: HomeRequest,
        run: RunResult,
        now: float,
    ) -> bool:
        if req.stopping or req.resumed or now >= req.deadline:
            return False
        if run.outcome != Outcome.not_sent:
            plain = not req.spec.prompt_tokens
            broken = run.outcome == Outcome.broken
            repeatable = plain and req.spec.idempotent and not run.shown
            if not (broken and repeatable):
                return False
        if req.attempt >= self._view.cfg.max_retries:
            return False
        return self._budget.spend()

    def _give_up(self, req: HomeRequest, now: float) -> list[Action]:
        if req.state == State.waiting:
            withdraw = Withdraw(str(req.rid), req.spec.service)
            refusal = Refusal.of(
                Reason.deadline_exceeded,
                retry_after=_DRAIN_RETRY_S,
            )
            return [
                *self._view.send(self._owner_for(req, now), withdraw),
                *self._finish(req, refusal, now),
            ]
        refusal = Refusal.of(
            Reason.deadline_exceeded_running,
            retry_after=_DRAIN_RETRY_S,
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
                *self._view.send(self._owner_for(req, now), withdraw),
                *self._finish(req, refusal, now),
            ]
        if req.stopping:
            return []
        req.stopping = refusal
        return [
            log_of(Event.revoked, req, reason=refusal.reason),
            Count(f'refused.{refusal.reason}'),
            CancelRun(str(req.rid), refusal),
        ]

    def _complete(
        self,
        req: HomeRequest,
        run: RunResult,
        now: float,
    ) -> list[Action]:
        self._end(req, now)
        return [
            log_of(
                Event.finished,
                req,
                output_tokens=run.output_tokens,
                cached_tokens=run.cached_tokens,
                first_s=round(run.first_s, 4),
            ),
            Count(f'finished.{req.spec.tier}'),
        ]

    def _finish(
        self,
        req: HomeRequest,
        refusal: Refusal,
        now: float,
    ) -> list[Action]:
        self._end(req, now)
        out: list[Action] = [
            log_of(
                Event.refused,
                req,
                reason=refusal.reason,
                executed=refusal.executed,
            ),
        ]
        if not req.stopping:
            out.append(Count(f'refused.{refusal.reason}'))
            out.append(Finish(str(req.rid), refusal))
        return out

    def _end(self, req: HomeRequest, now: float) -> None:
        req.state = State.finished
        req.ended = now
        self._active.pop(str(req.rid), None)

    def _forget(self, now: float, window: int) -> None:
        if now - self._cleaned < _CLEAN_S:
            return
        self._cleaned = now
        keep_s = self._view.cfg.window_s * 2
        for request_id, req in list(self._requests.items()):
            if req.state != State.finished or now - req.ended < keep_s:
                continue
            own = req.rid.home == self._view.home
            if not own or req.rid.window < window - 1:
                self._requests.pop(request_id)
