"""The taker role: requests whose home is another incarnation.

A caller whose entry died sends the same id here. A live home is relayed to.
A dead one is fenced by a change of the assignment that names us its
successor; only then is the owner asked whether it ever permitted the id. All
that cannot be decided is answered `unknown` at once, never `not run`.
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
    Count,
    Finish,
    LogEvent,
    ProposeEdits,
    RelayTo,
    RequestSpec,
)
from .home import HomeRole
from .view import View


@dataclasses.dataclass(slots=True)
class _Taking:
    rid: RequestId
    spec: RequestSpec
    deadline: float
    fencing: str = ''
    queried: float | None = None
    tries: int = 0


class TakerRole:
    """Requests being taken over."""

    def __init__(self, view: View, home: HomeRole) -> None:
        """Hand decided requests to the home role."""
        self._view = view
        self._home = home
        self._taking: dict[str, _Taking] = {}

    @property
    def load(self) -> int:
        """Return the number of requests that wait for a verdict."""
        return len(self._taking)

    def start(
        self,
        rid: RequestId,
        spec: RequestSpec,
        now: float,
    ) -> list[Action]:
        """Take a request whose id names another incarnation."""
        if not rid.takeover and not self._is_live(str(rid.home), now):
            return self._unknown(rid)
        taking = _Taking(rid, spec, now + spec.left_s)
        self._taking[str(rid)] = taking
        return self._advance(taking, now)

    def on_assignment(self, now: float) -> list[Action]:
        """Go on with whatever waited for a change of the assignment."""
        out: list[Action] = []
        for taking in list(self._taking.values()):
            taking.queried = None
            out += self._advance(taking, now)
        return out

    def on_edits_failed(self, now: float) -> list[Action]:
        """Give up what needs the KV: it is down."""
        out: list[Action] = []
        for taking in list(self._taking.values()):
            if taking.fencing:
                out += self._give_up(taking)
        return out

    def on_relay_failed(
        self,
        rid: RequestId,
        spec: RequestSpec,
        instance: str,
        now: float,
    ) -> list[Action]:
        """Take that no connection to the relayed instance could be made."""
        self._view.members.suspect(instance)
        return self.start(rid, spec, now)

    def on_answer(self, answer: QueryAnswer, now: float) -> list[Action]:
        """Take the owner's verdict."""
        taking = self._taking.get(answer.id)
        if taking is None or taking.queried is None:
            return []
        holder = self._view.assignment.holder_of(str(taking.rid.home))
        if holder != self._view.me:
            return self._advance(taking, now)
        if answer.verdict == 'unknown':
            return self._give_up(taking)
        self._taking.pop(answer.id)
        left = dataclasses.replace(taking.spec, left_s=taking.deadline - now)
        log = LogEvent(
            Event.takeover,
            {'id': answer.id, 'verdict': answer.verdict},
        )
        if answer.verdict == 'never':
            return [log, *self._home.submit(taking.rid, left, now)]
        return [
            log,
            *self._home.resume(
                taking.rid,
                left,
                answer.upstream,
                answer.address,
                now,
            ),
        ]

    def tick(self, now: float) -> list[Action]:
        """Ask again where no verdict came; give up what takes too long."""
        out: list[Action] = []
        for taking in list(self._taking.values()):
            if now >= taking.deadline:
                out += self._give_up(taking)
                continue
            if taking.queried is None:
                continue
            if now - taking.queried >= self._view.cfg.query_s:
                out += self._query(taking, now)
        return out

    # -- internals

    def _advance(self, taking: _Taking, now: float) -> list[Action]:
        holder = self._view.assignment.holder_of(str(taking.rid.home))
        if holder == self._view.me:
            taking.fencing = ''
            return self._query(taking, now)
        if self._is_live(holder, now):
            self._taking.pop(str(taking.rid), None)
            instance = holder.partition('.')[0]
            entry = self._view.members.known(instance)
            address = entry.http if entry else ''
            return [
                Count('relayed'),
                RelayTo(str(taking.rid), instance, address),
            ]
        if not holder or not taking.rid.takeover:
            return self._give_up(taking)
        if taking.fencing == holder:
            return []
        taking.fencing = holder
        return [ProposeEdits((FenceEdit(holder, self._view.me),))]

    def _query(self, taking: _Taking, now: float) -> list[Action]:
        taking.tries += 1
        owner = self._view.owner_of(taking.spec.service)
        out_of_tries = taking.tries > self._view.cfg.query_tries
        if out_of_tries or not owner:
            return self._give_up(taking)
        taking.queried = now
        query = Query(
            str(taking.rid),
            taking.spec.service,
            self._view.me,
            assignments.encode(self._view.assignment),
        )
        return self._view.send(owner, query)

    def _is_live(self, home: str, now: float) -> bool:
        return self._view.is_home_live(home, now)

    def _give_up(self, taking: _Taking) -> list[Action]:
        self._taking.pop(str(taking.rid), None)
        return self._unknown(taking.rid)

    def _unknown(self, rid: RequestId) -> list[Action]:
        refusal = Refusal.of(Reason.takeover_unknown)
        return [
            Count(f'refused.{refusal.reason}'),
            LogEvent(
                Event.refused,
                {
                    'id': str(rid),
                    'reason': refusal.reason,
                    'executed': refusal.executed,
                },
            ),
            Finish(str(rid), refusal),
        ]
