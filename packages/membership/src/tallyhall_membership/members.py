"""Gossip-based failure detection with a heartbeat counter per instance.

Each instance increments its own counter once per period and sends a digest to
a few peers. An instance whose counter does not change for `dead_after` seconds
is considered dead. A wrong verdict costs efficiency, never correctness:
operations that must not happen twice rely on compare-and-swap on the
assignment.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.ids import InstanceRun
from tallyhall_core.messages import MemberEntry

from . import rendezvous

# Maximum number of entries in a digest, which keeps its size constant as the
# fleet grows. Entries sent least recently come first.
DIGEST_ENTRIES = 48


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSettings:
    """Timeouts in seconds; fanout is the number of peers per digest."""

    dead_after: float = 2.5
    forget_after: float = 60.0
    fanout: int = 3


@dataclasses.dataclass(slots=True)
class _Record:
    entry: MemberEntry
    changed_at: float
    last_sent_round: int = 0
    suspected: bool = False


class Members:
    """The membership view of one instance, its own entry included."""

    def __init__(self, own: MemberEntry, cfg: MemberSettings) -> None:
        """Create a view that contains only the own entry."""
        self.own = own
        self._cfg = cfg
        self._records: dict[str, _Record] = {}
        self._gossip_round = 0

    @property
    def home(self) -> InstanceRun:
        """Return the name and incarnation of this instance."""
        return InstanceRun(self.own.instance, self.own.incarnation)

    def beat(self, **changes: object) -> None:
        """Increment the own heartbeat counter and update the given fields."""
        counter = self.own.counter + 1
        self.own = dataclasses.replace(
            self.own,
            counter=counter,
            **changes,  # type: ignore[arg-type]
        )

    def merge(self, entries: tuple[MemberEntry, ...], now: float) -> None:
        """Replace each stored entry for which a newer one was received."""
        for entry in entries:
            if entry.instance == self.own.instance:
                continue
            record = self._records.get(entry.instance)
            if record is None:
                self._records[entry.instance] = _Record(entry, now)
                continue
            silent = now - record.changed_at > self._cfg.dead_after
            if not _supersedes(entry, record.entry, silent=silent):
                continue
            record.entry = entry
            record.changed_at = now
            record.suspected = False

    def suspect(self, instance: str) -> None:
        """Treat an instance as dead until its counter increases."""
        record = self._records.get(instance)
        if record is not None:
            record.suspected = True

    def is_silent(self, instance: str, now: float) -> bool:
        """Return whether an instance missed its heartbeats but may be alive.

        Returns False for an instance that refuses connections, has left or
        was replaced by a newer incarnation: it is known to be gone.
        """
        record = self._records.get(instance)
        if record is None or record.suspected:
            return False
        late = now - record.changed_at > self._cfg.dead_after
        return late and record.entry.state != 'gone'

    def silent(self, now: float) -> set[str]:
        """Return the incarnations that are silent but may be alive."""
        return {
            f'{instance}.{record.entry.incarnation}'
            for instance, record in self._records.items()
            if self.is_silent(instance, now)
        }

    def suspect_address(self, rpc: str) -> None:
        """Like `suspect`, for every instance at this RPC address."""
        for record in self._records.values():
            if record.entry.rpc == rpc:
                record.suspected = True

    def forget_old(self, now: float) -> None:
        """Remove instances not heard from for `forget_after` seconds."""
        for instance, record in list(self._records.items()):
            if now - record.changed_at > self._cfg.forget_after:
                self._records.pop(instance)

    def live(self, now: float) -> dict[str, MemberEntry]:
        """Return live and leaving entries by instance, including the own."""
        found = {self.own.instance: self.own}
        for instance, record in self._records.items():
            if record.suspected or record.entry.state == 'gone':
                continue
            if now - record.changed_at > self._cfg.dead_after:
                continue
            found[instance] = record.entry
        return found

    def known(self, instance: str) -> MemberEntry | None:
        """Return the stored entry of an instance, dead or alive."""
        if instance == self.own.instance:
            return self.own
        record = self._records.get(instance)
        return record.entry if record else None

    def is_live(self, home: str, now: float) -> bool:
        """Return whether exactly this incarnation is considered alive."""
        instance, _, incarnation = home.partition('.')
        entry = self.live(now).get(instance)
        return entry is not None and entry.incarnation == incarnation

    def digest(self, now: float) -> tuple[MemberEntry, ...]:
        """Return the own entry and the live entries sent least recently.

        Dead instances are omitted. Otherwise instances that already forgot
        them would learn them again from peers that did not.
        """
        self._gossip_round += 1
        live = self.live(now)
        candidates = [
            record
            for instance, record in self._records.items()
            if instance in live or record.entry.state == 'gone'
        ]
        least_recent = sorted(candidates, key=lambda rec: rec.last_sent_round)
        chosen = least_recent[: DIGEST_ENTRIES - 1]
        for selected in chosen:
            selected.last_sent_round = self._gossip_round
        return (self.own, *(record.entry for record in chosen))

    def peers(self, seeds: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Return the RPC addresses that receive the digest of this round.

        The round number selects the peers, so that every peer gets its turn.
        Seeds, taken from the list of instances, are added so that there are
        peers while few members are known.
        """
        live = self.live(now)
        addresses = {
            entry.rpc
            for instance, entry in live.items()
            if instance != self.own.instance
        }
        addresses |= set(seeds)
        addresses.discard(self.own.rpc)
        key = f'{self.own.instance}/{self._gossip_round}'
        return tuple(rendezvous.rank(key, addresses)[: self._cfg.fanout])


def _supersedes(
    offered: MemberEntry,
    stored: MemberEntry,
    *,
    silent: bool,
) -> bool:
    # Counters start at the wall clock time of the process start, in
    # milliseconds, so a restarted instance is usually ahead of its earlier
    # incarnations. If its clock was set back, the new incarnation is accepted
    # once the earlier one is silent.
    if offered.incarnation != stored.incarnation and silent:
        return True
    return offered.counter > stored.counter
