"""The member role: heartbeats, shared values, and owners for all services.

Any live instance may propose an owner for a service that has none. They do so
one after the other in rendezvous order, so usually only one writes; concurrent
proposals are harmless.
"""

from __future__ import annotations

from tallyhall_core.messages import Digest, SharedValue, Want
from tallyhall_membership import rendezvous
from tallyhall_membership.assignment import OwnerEdit

from .actions import Action, ProposeEdits, Send
from .view import View


class MemberRole:
    """Gossips with peers and proposes an owner for each service without one."""

    def __init__(self, view: View, now: float) -> None:
        """Initialize without any known peer.

        An instance that has just started has received no heartbeats yet, so it
        must not reposition an owner before the failure timeout has elapsed.
        """
        self._view = view
        self._replaces_owners_from = now + view.cfg.members.dead_after
        self._last_heartbeat: float | None = None
        self._stagger_start: float | None = None

    def tick(self, now: float, window: int, load: int) -> list[Action]:
        """Send a heartbeat and propose owners if due."""
        return [
            *self._heartbeat_if_due(now, window, load),
            *self._propose_owners(now),
        ]

    def on_digest(
        self,
        sender_address: str,
        digest: Digest,
        now: float,
    ) -> list[Action]:
        """Process a heartbeat; request values that are newer at the sender."""
        view = self._view
        view.members.merge(digest.members, now)
        missing = view.shared.to_ask_for(digest.revisions, now)
        if not missing:
            return []
        return [Send(sender_address, '', Want(missing))]

    def on_value_request(self, sender_address: str, want: Want) -> list[Action]:
        """Send the shared values that a peer requests."""
        shared: tuple[SharedValue, ...] = self._view.shared.select(want.names)
        return [Send(sender_address, '', message) for message in shared]

    def send_heartbeat(self, now: float) -> list[Action]:
        """Send a heartbeat immediately, to announce a change."""
        self._last_heartbeat = now
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

    def _heartbeat_if_due(
        self, now: float, window: int, load: int
    ) -> list[Action]:
        due = self._last_heartbeat is None or (
            now - self._last_heartbeat >= self._view.cfg.heartbeat_s
        )
        if not due:
            return []
        members = self._view.members
        members.beat(window=window, load=load)
        members.forget_old(now)
        return self.send_heartbeat(now)

    def _propose_owners(self, now: float) -> list[Action]:
        edits = self._owner_edits(now)
        if not edits:
            self._stagger_start = None
            return []
        if self._stagger_start is None:
            self._stagger_start = now
        candidates = rendezvous.rank('duty', self._view.candidates(now))
        me = self._view.home.instance
        position = candidates.index(me) if me in candidates else len(candidates)
        if (
            now - self._stagger_start
            < position * self._view.cfg.proposal_delay_s
        ):
            return []
        # Retry only after every other candidate has had time to propose.
        self._stagger_start = (
            now + len(candidates) * self._view.cfg.proposal_delay_s
        )
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
            if owner and now < self._replaces_owners_from:
                continue
            chosen = rendezvous.rank(service.name, candidates)[0]
            successor = f'{chosen}.{candidates[chosen].incarnation}'
            edits.append(OwnerEdit(service.name, owner, successor))
        return tuple(edits)
