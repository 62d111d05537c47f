"""Peer messages on quota usage, state confirmations and desired state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from tallyhall_core.events import Event
from tallyhall_dispatch.adoption import AdoptionReadiness
from tallyhall_dispatch.gate import AdmissionGate
from tallyhall_dispatch.quota_use import AgedAmounts, FleetUse, UseReport
from tallyhall_dispatch.topology import is_full_mesh
from tallyhall_transport.peer import Peer
from tallyhall_transport.peer_streams import PeerStreams

from .logs import EventLog

if TYPE_CHECKING:
    from tallyhall_transport.generated import peers_pb2

_MILLI = 1000
_MICRO = 1_000_000
# Delay before a newer desired state is fetched from a peer. Normally the store
# delivers it to all instances within the time of one call.
_FETCH_DELAY_S = 0.3


class PeerReports:
    """Reads and writes the batch fields on quotas and desired state."""

    def __init__(
        self,
        gate: AdmissionGate,
        peer_streams: PeerStreams,
        take_raw_state: Callable[[bytes], None],
        log: EventLog,
    ) -> None:
        """Update this gate with the reports of peers."""
        self.leaving = False
        self._gate = gate
        self._peer_streams = peer_streams
        self._take_raw_state = take_raw_state
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._last_totals: dict[tuple[str, str, str], float] = {}
        self._hearing = AdoptionReadiness()
        self._last_returned: dict[tuple[str, str, str], float] = {}
        self._fetch_task: asyncio.Task[None] | None = None

    def take(
        self,
        peer: Peer,
        batch: peers_pb2.Batch,
    ) -> None:
        """Process a batch from a peer."""
        now = self._loop.time()
        self._adopt_use(batch, now)
        for spent in batch.spent:
            self._handle_spent(batch, spent, now)
        self._hearing.record_contact(batch.sender, batch.incarnation, now)
        self._handle_confirmation(batch, now)
        newer = batch.state_version > self._gate.version
        if newer and self._fetch_task is None:
            work = self._fetch_state(peer.name)
            self._fetch_task = asyncio.create_task(work)

    def fill(self, peer: Peer, batch: peers_pb2.Batch) -> None:
        """Add the state of this instance to a batch for a peer.

        Quota usage that has not changed since the last batch is left out, as
        usage reports were half of the bytes between instances. A peer that
        does not know the usage of the fleet is sent all of it every time, as
        it may adopt the usage from any batch.
        """
        now = self._loop.time()
        age = self._gate.freshness.age(now)
        batch.state_version = self._gate.version
        batch.confirmed_ms_ago = -1
        if age is not None:
            batch.confirmed_ms_ago = int(age * _MILLI) + 1
        batch.leaving = self.leaving
        # Members that this instance does not hear from may have admitted much.
        hears_all = self._peer_streams.heard_count >= self._gate.instances
        batch.knows_use = hears_all and self._gate.quotas.knows_full_window(now)
        for name, use in self._gate.quotas.report(now).items():
            if self._must_report(peer, name, use):
                self._fill_spent(batch.spent.add(), peer, name, use)

    def _must_report(self, peer: Peer, name: str, use: UseReport) -> bool:
        """Return whether a workspace's usage must be sent to a peer.

        Hubs repeat high usage in every batch, and report it once more when it
        is no longer high, since peers rely on the last report.
        """
        if peer.reported_totals.get(name) != use.total + use.returned:
            # Neither ever decreases, so the sum changes if either does.
            return True
        if not peer.knows_fleet_use:
            return True
        if is_full_mesh(self._peer_streams.instances):
            return False
        return use.is_high or name in peer.reported_high

    def _fill_spent(
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
        run_key = (peer.name, peer.incarnation, name)
        spent.counted = self._last_totals.get(run_key, 0)
        spent.returned = use.returned
        spent.oldest_return_s = use.oldest_return_s
        if name not in peer.reported_totals:
            _fill_parts(spent.own_parts, quotas.own_parts(name, now))
        if not peer.knows_fleet_use:
            _fill_parts(spent.fleet_parts, quotas.fleet_parts(name, now))
        reported = peer.reported_returns.get(name, 0)
        if use.returned > reported:
            _fill_parts(
                spent.returns, quotas.refunds_after(name, reported, now)
            )
        peer.reported_totals[name] = use.total + use.returned
        peer.reported_returns[name] = use.returned
        if use.is_high:
            peer.reported_high.add(name)
        else:
            peer.reported_high.discard(name)

    def _handle_spent(
        self,
        batch: peers_pb2.Batch,
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        run_key = _run_key(batch, spent)
        seen = self._last_totals.get(run_key)
        self._last_totals[run_key] = spent.total
        if seen is None:
            self._count_first_report(batch.sender, spent, now)
        else:
            # Usage reported long ago may have left the window.
            known = self._last_returned.get(run_key, spent.returned)
            within = spent.within_window + spent.returned - known
            amount = min(spent.total - seen, within)
            self._count_amount(batch.sender, spent.workspace, (0, amount), now)
        self._handle_returns(run_key, spent, now)
        if not is_full_mesh(self._peer_streams.instances):
            fleet = FleetUse(
                batch.sender,
                spent.fleet,
                spent.counted,
                now,
                spent.rate,
                spent.leaves,
            )
            self._gate.quotas.record_fleet_use(spent.workspace, fleet)

    def _count_first_report(
        self,
        sender: str,
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        """Count what a sender admitted before its first report, by age."""
        parts = _decode_parts(spent.own_parts) or ((0, spent.within_window),)
        for part in parts:
            self._count_amount(sender, spent.workspace, part, now)

    def _count_amount(
        self,
        sender: str,
        workspace: str,
        part: tuple[float, float],
        now: float,
    ) -> None:
        age_s, amount = part
        quotas = self._gate.quotas
        quotas.record_admitted(workspace, amount, now, age_s)
        if not quotas.knows_full_window(now):
            self._hearing.record_report(workspace, sender, amount, now)

    def _handle_returns(
        self,
        run_key: tuple[str, str, str],
        spent: peers_pb2.Spent,
        now: float,
    ) -> None:
        """Refund returned usage at the time at which it was charged.

        Refunds of unknown age are applied at the time of the oldest one.
        """
        # In a first report, returns are already subtracted from the usage.
        known = self._last_returned.get(run_key, spent.returned)
        self._last_returned[run_key] = spent.returned
        left = spent.returned - known
        quotas = self._gate.quotas
        for age_s, amount in _decode_parts(spent.returns):
            # These may include returns from an earlier report.
            part = min(left, amount)
            if part > 0:
                quotas.record_refund(spent.workspace, part, now - age_s, now)
                left -= part
        if left > 0:
            oldest_at = now - spent.oldest_return_s
            quotas.record_refund(spent.workspace, left, oldest_at, now)

    def _handle_confirmation(self, batch: peers_pb2.Batch, now: float) -> None:
        # The sender had read our question before it stated the age of its
        # confirmation, so counting from the question is conservative.
        if batch.state_version != self._gate.version:
            return
        asked_at = batch.echo_us / _MICRO
        if batch.confirmed_ms_ago < 0 or not 0 < asked_at <= now:
            return
        self._gate.freshness.record_confirmation(
            asked_at - batch.confirmed_ms_ago / _MILLI,
        )

    def _adopt_use(self, batch: peers_pb2.Batch, now: float) -> None:
        quotas = self._gate.quotas
        if not batch.knows_use or quotas.knows_full_window(now):
            return
        of = self._peer_streams.instances
        if not self._knows_fleet_usage(batch, now):
            return
        self._log.event(
            Event.use_adopted,
            peer=batch.sender,
            hears=batch.hears,
            of=of,
        )
        quotas.adopt(
            {
                spent.workspace: self._other_instances_parts(
                    batch.sender, spent, now
                )
                for spent in batch.spent
            },
            now,
        )
        for spent in batch.spent:
            # The sender's sum includes its own usage, less its returns.
            key = _run_key(batch, spent)
            self._last_totals[key] = spent.total
            self._last_returned[key] = spent.returned

    def _other_instances_parts(
        self,
        sender: str,
        spent: peers_pb2.Spent,
        now: float,
    ) -> AgedAmounts:
        """Return the usage of all other instances according to a sender.

        The sender's sum includes this instance's usage less its returns. If the
        sender does not know of the returns yet, the result is too high by them.
        This instance's usage is assumed to be the most recent part.
        """
        name = spent.workspace
        own = spent.counted - self._gate.quotas.own_refunded(name)
        parts = _decode_parts(spent.fleet_parts) or ((0, spent.fleet),)
        others = _subtract_newest(parts, max(0, own))
        if not is_full_mesh(self._peer_streams.instances):
            return others
        # In a mesh all others have reported to this instance. The sender may
        # not know their most recent reports yet.
        return (
            *others,
            (0, self._hearing.recently_reported(name, sender, now)),
        )

    def _knows_fleet_usage(self, batch: peers_pb2.Batch, now: float) -> bool:
        """Return whether the sender knows the usage of all fleet members.

        A sender that hears only a part of the fleet knows only a part of its
        usage, which is less than what was recalled from the store.
        """
        registered = self._peer_streams.registered
        if batch.sender not in registered or batch.hears < len(registered):
            return False
        if not is_full_mesh(len(registered)):
            return True
        others = len(registered) - 1
        return self._hearing.count_settled(registered, now) == others

    async def _fetch_state(self, peer: str) -> None:
        await asyncio.sleep(_FETCH_DELAY_S)
        raw = await self._peer_streams.fetch_state(peer)
        self._fetch_task = None
        if raw:
            self._take_raw_state(raw)
            self._log.event(Event.state_taken, peer=peer)


def _run_key(
    batch: peers_pb2.Batch,
    spent: peers_pb2.Spent,
) -> tuple[str, str, str]:
    return batch.sender, batch.incarnation, spent.workspace


def _fill_parts(message: Any, parts: AgedAmounts) -> None:
    for age_s, amount in parts:
        message.add(age_s=age_s, amount=amount)


def _decode_parts(messages: Iterable[peers_pb2.Part]) -> AgedAmounts:
    return tuple((part.age_s, part.amount) for part in messages)


def _subtract_newest(parts: AgedAmounts, amount: float) -> AgedAmounts:
    """Return parts less an amount, subtracted from the most recent ones."""
    kept = []
    for age_s, held in sorted(parts):
        taken = min(held, amount)
        amount -= taken
        kept.append((age_s, held - taken))
    return tuple(kept)
