"""What instances tell each other beside the jobs: quotas, freshness, state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from tallyhall_core.events import Event
from tallyhall_dispatch.adoption import Hearing
from tallyhall_dispatch.gate import Gate
from tallyhall_dispatch.quota_use import FleetUse, Parts, UseReport
from tallyhall_dispatch.topology import is_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peers import PeerLinks

from .logs import EventLog

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

_MILLI = 1000
_MICRO = 1_000_000
# A newer desired state that a peer has is asked of it after this long: the
# store normally brings it to all instances within a call.
_FETCH_AFTER_S = 0.3


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
        # Whom it counts and does not hear may have admitted much.
        hears_all = self._links.hears >= self._gate.instances
        batch.knows_use = hears_all and self._gate.quotas.knows_past(now)
        for name, use in self._gate.quotas.report(now).items():
            if self._is_news(peer, name, use):
                self._add_spent(batch.spent.add(), peer, name, use)

    def _is_news(self, peer: Peer, name: str, use: UseReport) -> bool:
        """Return whether a peer must be told of a use.

        Hubs repeat what is used much, and tell once more when it is not:
        others go by what was told last.
        """
        if peer.told.get(name) != use.total + use.returned:
            # Both only grow.
            return True
        if not peer.knows_use:
            return True
        if is_mesh(self._links.instances):
            return False
        return use.is_high or name in peer.told_high

    def _add_spent(
        self,
        spent: peers_pb2.Spent,
        peer: Peer,
        name: str,
        use: UseReport,
    ) -> None:
        quotas = self._gate.quotas
        now = self._loop.time()
        spent.workspace = name
        spent.total = use.total
        spent.within_window = use.within_window
        spent.fleet = use.fleet
        spent.rate = use.rate
        spent.leaves = use.leaves
        seen_key = (peer.name, peer.incarnation, name)
        spent.counted = self._seen.get(seen_key, 0)
        spent.returned = use.returned
        spent.oldest_return_s = use.oldest_return_s
        if name not in peer.told:
            _fill_parts(spent.own_parts, quotas.own_parts(name, now))
        if not peer.knows_use:
            _fill_parts(spent.fleet_parts, quotas.fleet_parts(name, now))
        told = peer.told_returned.get(name, 0)
        if use.returned > told:
            _fill_parts(spent.returns, quotas.returns(name, told, now))
        peer.told[name] = use.total + use.returned
        peer.told_returned[name] = use.returned
        if use.is_high:
            peer.told_high.add(name)
        else:
            peer.told_high.discard(name)

    def _take_spent(
        self,
        batch: peers_pb2.Batch,
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        seen_key = _seen_key(batch, spent)
        seen = self._seen.get(seen_key)
        self._seen[seen_key] = spent.total
        if seen is None:
            self._take_first(batch.sender, spent, now)
        else:
            # What was told long ago may have left the window.
            known = self._returned.get(seen_key, spent.returned)
            within = spent.within_window + spent.returned - known
            amount = min(spent.total - seen, within)
            self._take_amount(batch.sender, spent.workspace, (0, amount), now)
        self._take_returned(seen_key, spent, now)
        if not is_mesh(self._links.instances):
            fleet = FleetUse(
                batch.sender,
                spent.fleet,
                spent.counted,
                now,
                spent.rate,
                spent.leaves,
            )
            self._gate.quotas.heard(spent.workspace, fleet)

    def _take_first(
        self,
        sender: str,
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        """Take what one admitted before it was heard, by its age."""
        parts = _parts(spent.own_parts) or ((0, spent.within_window),)
        for part in parts:
            self._take_amount(sender, spent.workspace, part, now)

    def _take_amount(
        self,
        sender: str,
        workspace: str,
        part: tuple[float, float],
        now: float,
    ) -> None:
        age_s, amount = part
        quotas = self._gate.quotas
        quotas.reported(workspace, amount, now, age_s)
        if not quotas.knows_past(now):
            self._hearing.reported(workspace, sender, amount, now)

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
        left = spent.returned - known
        quotas = self._gate.quotas
        for age_s, amount in _parts(spent.returns):
            # What an earlier report told may be among them.
            part = min(left, amount)
            if part > 0:
                quotas.returned(spent.workspace, part, now - age_s, now)
                left -= part
        if left > 0:
            oldest_at = now - spent.oldest_return_s
            quotas.returned(spent.workspace, left, oldest_at, now)

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
        self._log.event(
            Event.use_adopted,
            peer=batch.sender,
            hears=batch.hears,
            of=of,
        )
        quotas.adopt(
            {
                spent.workspace: self._others_parts(batch.sender, spent, now)
                for spent in batch.spent
            },
            now,
        )
        for told in batch.spent:
            # The sender's own use is in its sum, less what it returned.
            key = _seen_key(batch, told)
            self._seen[key] = told.total
            self._returned[key] = told.returned

    def _others_parts(
        self,
        sender: str,
        spent: peers_pb2.Spent,
        now: float,
    ) -> Parts:
        """Return the use of all others as the sender of a report knows it.

        Its sum holds our own part less what we returned, if it knows that
        already; else the result is too high by it. Ours is the youngest.
        """
        name = spent.workspace
        own = spent.counted - self._gate.quotas.own_returned(name)
        parts = _parts(spent.fleet_parts) or ((0, spent.fleet),)
        others = _without(parts, max(0, own))
        if not is_mesh(self._links.instances):
            return others
        # In a mesh all others have reported; what they told just now may not
        # be known to the sender.
        return (*others, (0, self._hearing.just_told(name, sender, now)))

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


def _fill_parts(told: Any, parts: Parts) -> None:
    for age_s, amount in parts:
        told.add(age_s=age_s, amount=amount)


def _parts(told: Iterable[peers_pb2.Part]) -> Parts:
    return tuple((part.age_s, part.amount) for part in told)


def _without(parts: Parts, amount: float) -> Parts:
    """Return parts less an amount, taken off the youngest."""
    kept = []
    for age_s, held in sorted(parts):
        taken = min(held, amount)
        amount -= taken
        kept.append((age_s, held - taken))
    return tuple(kept)
