"""The member role: heartbeats, shared values, and owners for all services.

Any live instance may give an ownerless service a new owner; the first in
rendezvous order tries first, the others later, so that one write is usual
and a race is harmless.
"""

from __future__ import annotations

from tallyhall_core.messages import Digest, SharedValue, Want
from tallyhall_membership import rendezvous
from tallyhall_membership.assignment import OwnerEdit

from .actions import Action, ProposeEdits, Send
from .view import View


class MemberRole:
    """Gossip and the duty to keep every service owned."""

    def __init__(self, view: View, now: float) -> None:
        """Start with nothing noticed.

        An instance that has just started has heard of nobody yet, so it may
        not call an owner dead before a dead one would be noticed at all.
        """
        self._view = view
        self._judges_from = now + view.cfg.members.dead_after
        self._beaten: float | None = None
        self._noticed: float | None = None

    def tick(self, now: float, window: int, load: int) -> list[Action]:
        """Send heartbeats and take up duties that are due."""
        return [*self._beat(now, window, load), *self._duties(now)]

    def on_digest(
        self,
        sender_address: str,
        digest: Digest,
        now: float,
    ) -> list[Action]:
        """Take a heartbeat; ask for newer values that the sender holds."""
        view = self._view
        view.members.merge(digest.members, now)
        missing = view.shared.to_ask_for(digest.revisions, now)
        if not missing:
            return []
        return [Send(sender_address, '', Want(missing))]

    def on_want(self, sender_address: str, want: Want) -> list[Action]:
        """Send the shared values that a peer lacks."""
        held: tuple[SharedValue, ...] = self._view.shared.select(want.names)
        return [Send(sender_address, '', message) for message in held]

    def beat_now(self, now: float) -> list[Action]:
        """Send a heartbeat at once, for a change that others should know."""
        self._beaten = now
        members = self._view.members
        members.beat(
            epoch=self._view.assignment.epoch,
            table=self._view.table.revision,
        )
        digest = Digest(members.digest(now), self._view.shared.revisions())
        seeds = self._view.instances.entries
        return [
            Send(address, '', digest) for address in members.peers(seeds, now)
        ]

    def _beat(self, now: float, window: int, load: int) -> list[Action]:
        due = self._beaten is None or (
            now - self._beaten >= self._view.cfg.beat_s
        )
        if not due:
            return []
        members = self._view.members
        members.beat(window=window, load=load)
        members.forget_old(now)
        return self.beat_now(now)

    def _duties(self, now: float) -> list[Action]:
        edits = self._owner_edits(now)
        if not edits:
            self._noticed = None
            return []
        if self._noticed is None:
            self._noticed = now
        candidates = rendezvous.rank('duty', self._view.candidates(now))
        me = self._view.home.instance
        place = candidates.index(me) if me in candidates else len(candidates)
        if now - self._noticed < place * self._view.cfg.duty_s:
            return []
        # Try again only after everybody else has had a turn.
        self._noticed = now + len(candidates) * self._view.cfg.duty_s
        return [ProposeEdits(edits)]

    def _owner_edits(self, now: float) -> tuple[OwnerEdit, ...]:
        view = self._view
        candidates = view.candidates(now)
        if not candidates:
            return ()
        edits = []
        for service in view.table.services:
            owner = view.owner_of(service.name)
            instance, _, incarnation = owner.partition('.')
            entry = candidates.get(instance)
            if entry is not None and entry.incarnation == incarnation:
                continue
            if owner and now < self._judges_from:
                continue
            chosen = rendezvous.rank(service.name, candidates)[0]
            successor = f'{chosen}.{candidates[chosen].incarnation}'
            edits.append(OwnerEdit(service.name, owner, successor))
        return tuple(edits)
