"""The takeover role: requests whose home is another incarnation.

A caller whose instance failed submits the same id to another one. If the home
is alive, the request is relayed to it. A dead home is fenced by an edit of the
assignment that names this incarnation its successor; only then is the owner
queried whether it ever permitted the id. If that cannot be determined, the
request is refused at once with execution `unknown`, never as not executed.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.events import Event
from tallyhall_core.ids import RequestId
from tallyhall_core.messages import Query, QueryAnswer
from tallyhall_core.refusals import Reason, Refusal
from tallyhall_membership import assignment as assignments
from tallyhall_membership.assignment import FenceEdit

from .actions import (
    Action,
    IncrementCounter,
    LogEvent,
    ProposeEdits,
    RefuseRequest,
    RelayTo,
    RequestSpec,
)
from .home import HomeRole
from .view import View


@dataclasses.dataclass(slots=True)
class _Takeover:
    rid: RequestId
    spec: RequestSpec
    deadline: float
    fencing_home: str = ''
    queried_at: float | None = None
    query_attempts: int = 0


class TakeoverRole:
    """Manages the requests that are being taken over."""

    def __init__(self, view: View, home: HomeRole) -> None:
        """Initialize; `home` continues the requests that were taken over."""
        self._view = view
        self._home = home
        self._takeovers: dict[str, _Takeover] = {}

    @property
    def pending(self) -> int:
        """Return the number of undecided takeovers."""
        return len(self._takeovers)

    def start(
        self,
        rid: RequestId,
        spec: RequestSpec,
        now: float,
    ) -> list[Action]:
        """Start to take over a request whose id names another incarnation."""
        if not rid.takeover and not self._is_live(str(rid.home), now):
            return self._refuse_unknown(rid)
        takeover = _Takeover(rid, spec, now + spec.left_s)
        self._takeovers[str(rid)] = takeover
        return self._advance(takeover, now)

    def on_assignment(self, now: float) -> list[Action]:
        """Continue all takeovers after a change of the assignment."""
        out: list[Action] = []
        for takeover in list(self._takeovers.values()):
            takeover.queried_at = None
            out += self._advance(takeover, now)
        return out

    def on_edits_failed(self, now: float) -> list[Action]:
        """Refuse the takeovers that need the KV, which is down."""
        out: list[Action] = []
        for takeover in list(self._takeovers.values()):
            if takeover.fencing_home:
                out += self._give_up(takeover)
        return out

    def on_relay_failed(
        self,
        rid: RequestId,
        spec: RequestSpec,
        instance: str,
        now: float,
    ) -> list[Action]:
        """Retry a takeover after a relay could not connect to the instance."""
        self._view.members.suspect(instance)
        return self.start(rid, spec, now)

    def on_query_response(
        self, answer: QueryAnswer, now: float
    ) -> list[Action]:
        """Process the owner's answer to a takeover query."""
        takeover = self._takeovers.get(answer.id)
        if takeover is None or takeover.queried_at is None:
            return []
        holder = self._view.assignment.holder_of(str(takeover.rid.home))
        if holder != self._view.me:
            return self._advance(takeover, now)
        if answer.verdict == 'unknown':
            return self._give_up(takeover)
        self._takeovers.pop(answer.id)
        remaining = dataclasses.replace(
            takeover.spec, left_s=takeover.deadline - now
        )
        log = LogEvent(
            Event.takeover,
            {'id': answer.id, 'verdict': answer.verdict},
        )
        if answer.verdict == 'never':
            return [log, *self._home.submit(takeover.rid, remaining, now)]
        return [
            log,
            *self._home.resume(
                takeover.rid,
                remaining,
                answer.upstream,
                answer.address,
                now,
            ),
        ]

    def tick(self, now: float) -> list[Action]:
        """Repeat unanswered queries; refuse takeovers past their deadline."""
        out: list[Action] = []
        for takeover in list(self._takeovers.values()):
            if now >= takeover.deadline:
                out += self._give_up(takeover)
                continue
            if takeover.queried_at is None:
                continue
            if now - takeover.queried_at >= self._view.cfg.query_interval_s:
                out += self._query(takeover, now)
        return out

    # -- internals

    def _advance(self, takeover: _Takeover, now: float) -> list[Action]:
        holder = self._view.assignment.holder_of(str(takeover.rid.home))
        if holder == self._view.me:
            takeover.fencing_home = ''
            return self._query(takeover, now)
        if self._is_live(holder, now):
            self._takeovers.pop(str(takeover.rid), None)
            instance = holder.partition('.')[0]
            entry = self._view.members.known(instance)
            address = entry.http if entry else ''
            return [
                IncrementCounter('relayed'),
                RelayTo(str(takeover.rid), instance, address),
            ]
        if not holder or not takeover.rid.takeover:
            return self._give_up(takeover)
        if takeover.fencing_home == holder:
            return []
        takeover.fencing_home = holder
        return [ProposeEdits((FenceEdit(holder, self._view.me),))]

    def _query(self, takeover: _Takeover, now: float) -> list[Action]:
        takeover.query_attempts += 1
        owner = self._view.owner_of(takeover.spec.service)
        out_of_attempts = (
            takeover.query_attempts > self._view.cfg.max_query_attempts
        )
        if out_of_attempts or not owner:
            return self._give_up(takeover)
        takeover.queried_at = now
        query = Query(
            str(takeover.rid),
            takeover.spec.service,
            self._view.me,
            assignments.encode(self._view.assignment),
        )
        return self._view.send(owner, query)

    def _is_live(self, home: str, now: float) -> bool:
        return self._view.is_home_live(home, now)

    def _give_up(self, takeover: _Takeover) -> list[Action]:
        self._takeovers.pop(str(takeover.rid), None)
        return self._refuse_unknown(takeover.rid)

    def _refuse_unknown(self, rid: RequestId) -> list[Action]:
        refusal = Refusal.of(Reason.takeover_unknown)
        return [
            IncrementCounter(f'refused.{refusal.reason}'),
            LogEvent(
                Event.refused,
                {
                    'id': str(rid),
                    'reason': refusal.reason,
                    'executed': refusal.executed,
                },
            ),
            RefuseRequest(str(rid), refusal),
        ]
