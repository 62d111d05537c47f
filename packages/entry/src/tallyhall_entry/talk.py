"""What instances tell each other beside the jobs: quotas, freshness, state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.adoption import Hearing
from tallyhall_dispatch.gate import Gate
from tallyhall_dispatch.quota import FleetUse
from tallyhall_dispatch.topology import is_mesh
from tallyhall_transport.peers import Peer, PeerLinks

from .logs import EventLog

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

_MILLI = 1000
_MICRO = 1_000_000
# A newer desired state that a peer has is asked of it after this long: the
# store normally brings it to all instances within a call.
_FETCH_AFTER_S = 0.3
# All peers have reported this long after the first one did.
_ADOPTION_S = 1.5


class _Adoption(msgspec.Struct, frozen=True):
    """From whom and when the use of all was taken."""

    sender: str
    at: float


class Talk:
    """Reads and writes the parts of batches that concern no job."""

    def __init__(
        self,
        gate: Gate,
        links: PeerLinks,
        take_raw_state: Callable[[bytes], None],
        log: EventLog,
    ) -> None:
        """Keep the gate's knowledge of others."""
        self.leaving = False
        self._gate = gate
        self._links = links
        self._take_raw_state = take_raw_state
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._adopted: _Adoption | None = None
        self._seen: dict[tuple[str, str, str], float] = {}
        self._hearing = Hearing()
        self._returned: dict[tuple[str, str, str], float] = {}
        self._fetching: asyncio.Task[None] | None = None

    def take(
        self,
        peer: Peer,
        batch: peers_pb2.Batch,
    ) -> None:
        """Take what another instance says."""
        now = self._loop.time()
        self._adopt_use(batch, now)
        for spent in batch.spent:
            self._take_spent(batch, spent, now)
        self._hearing.heard(batch.sender, batch.incarnation, now)
        self._take_confirmation(batch, now)
        newer = batch.state_version > self._gate.version
        if newer and self._fetching is None:
            work = self._fetch_state(peer.name)
            self._fetching = asyncio.create_task(work)

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Add what a batch for this peer says about this instance.

        Use that has not changed since the last batch is left out: reports
        were half of the bytes between instances. Who does not know the use
        of all hears it all the same, as it takes it from any batch.
        """
        now = self._loop.time()
        age = self._gate.freshness.age(now)
        batch.state_version = self._gate.version
        batch.confirmed_ms_ago = -1
        if age is not None:
            batch.confirmed_ms_ago = int(age * _MILLI) + 1
        batch.leaving = self.leaving
        hubs = not is_mesh(self._links.instances)
        # Whom it counts and does not hear may have admitted much.
        hears_all = self._links.hears >= self._gate.instances
        batch.knows_use = hears_all and self._gate.quotas.knows_past(now)
        for name, use in self._gate.quotas.report(now).items():
            repeats = hubs and use.is_high or not peer.knows_use
            # Both only grow.
            changes = use.total + use.returned
            if peer.told.get(name) == changes and not repeats:
                continue
            peer.told[name] = changes
            seen_key = (peer.name, peer.incarnation, name)
            batch.spent.add(
                workspace=name,
                total=use.total,
                within_window=use.within_window,
                fleet=use.fleet,
                counted=self._seen.get(seen_key, 0),
                returned=use.returned,
                oldest_return_s=use.oldest_return_s,
            )

    def _take_spent(
        self,
        batch: peers_pb2.Batch,
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        seen_key = _seen_key(batch, spent)
        seen = self._seen.get(seen_key)
        if seen is None:
            seen = self._counted_before(batch, spent, now)
        self._seen[seen_key] = spent.total
        amount = spent.total - seen
        quotas = self._gate.quotas
        quotas.reported(spent.workspace, amount, now)
        if not quotas.knows_past(now):
            sender = batch.sender
            self._hearing.reported(spent.workspace, sender, amount, now)
        self._take_returned(seen_key, spent, now)
        if not is_mesh(self._links.instances):
            fleet = FleetUse(batch.sender, spent.fleet, spent.counted, now)
            self._gate.quotas.heard(spent.workspace, fleet)

    def _take_returned(
        self,
        seen_key: tuple[str, str, str],
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        """Take returns back where the oldest of them was charged."""
        # A first report tells of the window less what was returned.
        known = self._returned.get(seen_key, spent.returned)
        self._returned[seen_key] = spent.returned
        if spent.returned > known:
            self._gate.quotas.returned(
                spent.workspace,
                spent.returned - known,
                now - spent.oldest_return_s,
                now,
            )

    def _counted_before(
        self,
        batch: peers_pb2.Batch,
        spent: peers_pb2.Spent,
        now: float,
    ) -> float:
        """Return how much of a first report is known here already."""
        adopted = self._adopted
        hubs = not is_mesh(self._links.instances)
        if hubs and adopted and batch.sender != adopted.sender:
            heard = self._hearing.has_heard(batch.sender, batch.incarnation)
            # The sum that was adopted holds what others had admitted. In a
            # mesh all others had reported before it was.
            if now - adopted.at < _ADOPTION_S and not heard:
                return spent.total
        return spent.total - spent.within_window

    def _take_confirmation(self, batch: peers_pb2.Batch, now: float) -> None:
        # The sender saw our question before it said how old its own
        # confirmation was, so counting from the question is on the safe side.
        if batch.state_version != self._gate.version:
            return
        asked_at = batch.echo_us / _MICRO
        if batch.confirmed_ms_ago < 0 or not 0 < asked_at <= now:
            return
        self._gate.freshness.confirm(
            asked_at - batch.confirmed_ms_ago / _MILLI,
        )

    def _adopt_use(self, batch: peers_pb2.Batch, now: float) -> None:
        quotas = self._gate.quotas
        if not batch.knows_use or quotas.knows_past(now):
            return
        of = self._links.instances
        if not self._is_whole(batch, now):
            return
        self._adopted = _Adoption(batch.sender, now)
        self._log.event(
            Event.use_adopted,
            peer=batch.sender,
            hears=batch.hears,
            of=of,
        )
        quotas.adopt(
            {
                spent.workspace: self._others_use(batch.sender, spent, now)
                for spent in batch.spent
            },
            now,
        )
        for told in batch.spent:
            # The sender's own use is in its sum, less what it returned.
            key = _seen_key(batch, told)
            self._seen[key] = told.total
            self._returned[key] = told.returned

    def _others_use(
        self,
        sender: str,
        spent: peers_pb2.Spent,
        now: float,
    ) -> float:
        """Return the use of all others as the sender of a report knows it."""
        name = spent.workspace
        # Its sum holds our own part less what we returned, if it knows that
        # already; else the result is too high by it.
        own = spent.counted - self._gate.quotas.own_returned(name)
        just_told = self._hearing.just_told(name, sender, now)
        return spent.fleet - max(0, own) + just_told

    def _is_whole(self, batch: peers_pb2.Batch, now: float) -> bool:
        """Return whether the sender knows the use of all that count here.

        Who hears a part of the fleet knows a part of its use; what was
        recalled from the store is more than that.
        """
        registered = self._links.registered
        if batch.sender not in registered or batch.hears < len(registered):
            return False
        if not is_mesh(len(registered)):
            return True
        others = len(registered) - 1
        return self._hearing.heard_long(registered, now) == others

    async def _fetch_state(self, peer: str) -> None:
        await asyncio.sleep(_FETCH_AFTER_S)
        raw = await self._links.fetch_state(peer)
        self._fetching = None
        if raw:
            self._take_raw_state(raw)
            self._log.event(Event.state_taken, peer=peer)


def _seen_key(
    batch: peers_pb2.Batch,
    spent: peers_pb2.Spent,
) -> tuple[str, str, str]:
    return batch.sender, batch.incarnation, spent.workspace
