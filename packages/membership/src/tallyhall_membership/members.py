"""Members: a heartbeat counter for each instance, spread by gossip.

Each instance raises its own counter once a period and sends a digest to a few
peers. An instance whose counter stands still for `dead_after` seconds counts
as dead. Being wrong about that costs efficiency, never correctness: whatever
must not happen twice is settled by compare-and-swap on the assignment.
"""

from __future__ import annotations

import dataclasses

from tallyhall_core.ids import Home
from tallyhall_core.messages import MemberEntry

from . import rendezvous

# A digest carries at most this many entries, the least recently sent first,
# so that its size stays flat as the fleet grows.
DIGEST_ENTRIES = 48


@dataclasses.dataclass(frozen=True, slots=True)
class MemberSettings:
    """Periods in seconds; fanout is the number of peers for each digest."""

    dead_after: float = 2.5
    forget_after: float = 60.0
    fanout: int = 3


@dataclasses.dataclass(slots=True)
class _Record:
    entry: MemberEntry
    changed: float
    sent: int = 0
    suspected: bool = False


class Members:
    """What this instance knows of itself and the others."""

    def __init__(self, own: MemberEntry, cfg: MemberSettings) -> None:
        """Start knowing only this instance's own entry."""
        self.own = own
        self._cfg = cfg
        self._records: dict[str, _Record] = {}
        self._round = 0

    @property
    def home(self) -> Home:
        """Return this instance's name and incarnation."""
        return Home(self.own.instance, self.own.incarnation)

    def beat(self, **changes: object) -> None:
        """Raise the own counter and set changed fields."""
        counter = self.own.counter + 1
        self.own = dataclasses.replace(
            self.own,
            counter=counter,
            **changes,  # type: ignore[arg-type]
        )

    def merge(self, entries: tuple[MemberEntry, ...], now: float) -> None:
        """Take every entry that is newer than the one held."""
        for entry in entries:
            if entry.instance == self.own.instance:
                continue
            record = self._records.get(entry.instance)
            if record is None:
                self._records[entry.instance] = _Record(entry, now)
                continue
            silent = now - record.changed > self._cfg.dead_after
            if not _newer(entry, record.entry, silent=silent):
                continue
            record.entry = entry
            record.changed = now
            record.suspected = False

    def suspect(self, instance: str) -> None:
        """Count an instance as dead until its counter rises again."""
        record = self._records.get(instance)
        if record is not None:
            record.suspected = True

    def is_silent(self, instance: str, now: float) -> bool:
        """Return whether an instance says nothing though it may be alive.

        One that refuses connections, has left or has a newer incarnation is
        not silent but gone.
        """
        record = self._records.get(instance)
        if record is None or record.suspected:
            return False
        late = now - record.changed > self._cfg.dead_after
        return late and record.entry.state != 'gone'

    def silent(self, now: float) -> set[str]:
        """Return the incarnations that say nothing but may be alive."""
        return {
            f'{instance}.{record.entry.incarnation}'
            for instance, record in self._records.items()
            if self.is_silent(instance, now)
        }

    def suspect_address(self, rpc: str) -> None:
        """Count whoever is at this rpc address as dead, likewise."""
        for record in self._records.values():
            if record.entry.rpc == rpc:
                record.suspected = True

    def forget_old(self, now: float) -> None:
        """Drop instances that have been dead for a long time."""
        for instance, record in list(self._records.items()):
            if now - record.changed > self._cfg.forget_after:
                self._records.pop(instance)

    def live(self, now: float) -> dict[str, MemberEntry]:
        """Return the live and leaving entries by instance, own included."""
        found = {self.own.instance: self.own}
        for instance, record in self._records.items():
            if record.suspected or record.entry.state == 'gone':
                continue
            if now - record.changed > self._cfg.dead_after:
                continue
            found[instance] = record.entry
        return found

    def known(self, instance: str) -> MemberEntry | None:
        """Return the entry held of an instance, dead or alive."""
        if instance == self.own.instance:
            return self.own
        record = self._records.get(instance)
        return record.entry if record else None

    def is_live(self, home: str, now: float) -> bool:
        """Return whether this very incarnation counts as alive."""
        instance, _, incarnation = home.partition('.')
        entry = self.live(now).get(instance)
        return entry is not None and entry.incarnation == incarnation

    def digest(self, now: float) -> tuple[MemberEntry, ...]:
        """Return the own entry and the live others sent least recently.

        The dead are left out, else they would be learnt anew from peers that
        have not yet forgotten them.
        """
        self._round += 1
        live = self.live(now)
        fresh = [
            record
            for instance, record in self._records.items()
            if instance in live or record.entry.state == 'gone'
        ]
        oldest = sorted(fresh, key=lambda rec: rec.sent)
        chosen = oldest[: DIGEST_ENTRIES - 1]
        for sent in chosen:
            sent.sent = self._round
        return (self.own, *(record.entry for record in chosen))

    def peers(self, seeds: tuple[str, ...], now: float) -> tuple[str, ...]:
        """Return the rpc addresses to send this round's digest to.

        Peers follow the round number, so that all are met in turn; seeds
        (from the list of instances) fill in while few members are known.
        """
        live = self.live(now)
        addresses = {
            entry.rpc
            for instance, entry in live.items()
            if instance != self.own.instance
        }
        addresses |= set(seeds)
        addresses.discard(self.own.rpc)
        key = f'{self.own.instance}/{self._round}'
        return tuple(rendezvous.rank(key, addresses)[: self._cfg.fanout])


def _newer(
    offered: MemberEntry,
    held: MemberEntry,
    *,
    silent: bool,
) -> bool:
    # Counters start at the wall clock in milliseconds of the process start,
    # so a restarted instance usually stands above its earlier incarnations.
    # Where its clock was set back, it takes over once the earlier is silent.
    if offered.incarnation != held.incarnation and silent:
        return True
    return offered.counter > held.counter
