"""The upstreams of one service and everything permitted on them.

Plain bookkeeping: what runs where, what the rows use, what was permitted
and what was learned. It decides nothing.
"""

from __future__ import annotations

from collections.abc import Set

from tallyhall_core.messages import Done, Progress
from tallyhall_table.model import LimitRow, ServiceRow

from .concurrency import AdaptiveLimit
from .estimate import OutputLengths
from .jobs import Grant
from .limits import RowLimits
from .memory import PermitMemory
from .settings import PoolSettings
from .tiers import Tiers
from .upstream import Upstream, UpstreamInfo


class Roster:
    """Upstreams, permits in use, row limits and learned lengths."""

    def __init__(self, cfg: PoolSettings) -> None:
        """Start without upstreams."""
        self.grants: dict[str, Grant] = {}
        self.limits = RowLimits()
        self.lengths = OutputLengths()
        self.memory = PermitMemory(cfg.windows_kept)
        self._cfg = cfg
        self._ceiling = 1
        self._gap_s: float = 0
        self._bottom = 0
        self._upstreams: dict[str, Upstream] = {}

    def configure(
        self,
        row: ServiceRow,
        limits: dict[str, LimitRow],
        tiers: Tiers,
        now: float,
    ) -> None:
        """Take the table's rows for this service."""
        gap_s = tiers.gap_s
        self._bottom = tiers.bottom
        self._ceiling = row.max_running
        self._gap_s = gap_s
        self.limits.configure(limits, now)
        for upstream in self._upstreams.values():
            upstream.limit.ceiling = row.max_running
            upstream.limit.gap_s = gap_s

    def take_instances(self, infos: tuple[UpstreamInfo, ...]) -> None:
        """Take the instance list; keep what is known of each upstream."""
        found = {}
        for info in infos:
            known = self._upstreams.get(info.name)
            if known is None or known.info.address != info.address:
                limit = AdaptiveLimit(self._gap_s, self._ceiling)
                known = Upstream(info, limit)
            known.info = info
            found[info.name] = known
        self._upstreams = found

    def get(self, name: str) -> Upstream | None:
        """Return an upstream that is listed."""
        return self._upstreams.get(name)

    def address_of(self, name: str) -> str:
        """Return an upstream's address, empty if it is not listed."""
        known = self._upstreams.get(name)
        return known.info.address if known else ''

    def open_upstreams(self, now: float) -> list[Upstream]:
        """Return the upstreams that may get new work at all."""
        return [up for up in self._upstreams.values() if up.is_open(now)]

    def best_cached(self, prefixes: tuple[str, ...]) -> int:
        """Return the prompt tokens that some upstream has, at the most."""
        return max(
            (
                up.cache.cached_tokens(prefixes)
                for up in self._upstreams.values()
            ),
            default=0,
        )

    def slots(self) -> int:
        """Return the requests that may run at once on all upstreams."""
        return sum(up.limit.slots for up in self._upstreams.values())

    def __len__(self) -> int:
        """Return the number of upstreams."""
        return len(self._upstreams)

    def runs_below(self, rank: int) -> bool:
        """Return whether any job of a lower tier is permitted."""
        return any(grant.job.rank > rank for grant in self.grants.values())

    # -- permits

    def record(self, grant: Grant) -> None:
        """Take a permit into use."""
        ask = grant.job.ask
        self.grants[ask.id] = grant
        self.memory.record(grant.job.rid, ask.holder, grant.upstream)
        self.limits.started(ask.workspace)
        upstream = self._upstreams.get(grant.upstream)
        if upstream is not None:
            upstream.running += 1
            upstream.sent_since_report += 1
            upstream.cache.sent(ask.prefixes)

    def release(self, request_id: str) -> Grant | None:
        """Take a permit out of use; the memory of it stays."""
        grant = self.grants.pop(request_id, None)
        if grant is None:
            return None
        self.limits.ended(grant.job.ask.workspace)
        upstream = self._upstreams.get(grant.upstream)
        if upstream is not None:
            upstream.running = max(0, upstream.running - 1)
        return grant

    def release_homes(self, homes: Set[str]) -> None:
        """Take all permits of these homes out of use."""
        for request_id, grant in list(self.grants.items()):
            if grant.job.ask.holder in homes:
                self.release(request_id)

    def release_late(self, now: float) -> None:
        """Take back permits whose homes said nothing past the deadline."""
        for request_id, grant in list(self.grants.items()):
            if now > grant.job.deadline + self._cfg.grace_s:
                self.release(request_id)

    # -- learning

    def learn(self, grant: Grant, done: Done, now: float) -> None:
        """Learn from a permit that came back."""
        upstream = self._upstreams.get(grant.upstream)
        if upstream is None:
            return
        if done.broken or not done.ran:
            upstream.broken_until = now + self._cfg.broken_s
        elif done.ok and grant.job.ask.prompt_tokens:
            self._learn_model(grant, upstream, done)
        elif done.ok:
            upstream.speed.learn_plain(done.total_s)
            upstream.limit.on_call(done.total_s, upstream.running + 1, now)

    def progress(self, report: Progress, now: float) -> None:
        """Learn from a home's report of an upstream's open streams."""
        upstream = self._upstreams.get(report.upstream)
        if upstream is None or not report.streams:
            return
        if not report.tokens:
            upstream.limit.on_stall(upstream.running, now)
            return
        gap = report.elapsed_s * report.streams / report.tokens
        upstream.speed.learn_gap(gap)
        needed = self._needed_gap(report.upstream, gap)
        upstream.limit.on_gap(gap, needed, upstream.running, now)

    def load_report(
        self,
        name: str,
        requests: float,
        cache_tokens: int,
    ) -> None:
        """Take an upstream's own report, which lags."""
        known = self._upstreams.get(name)
        if known is None:
            return
        known.reported = requests
        known.sent_since_report = 0
        if cache_tokens:
            known.cache.resize(cache_tokens)

    def _needed_gap(self, upstream: str, usual: float) -> float:
        # The lowest tier holds nobody off: a long draft would else keep the
        # whole upstream to itself, and be stopped for it in the end.
        running = [
            grant
            for grant in self.grants.values()
            if grant.upstream == upstream
        ]
        higher = [one for one in running if one.job.rank < self._bottom]
        return min(
            (grant.needed_gap_s for grant in higher or running),
            default=usual,
        )

    def _learn_model(
        self,
        grant: Grant,
        upstream: Upstream,
        done: Done,
    ) -> None:
        ask = grant.job.ask
        upstream.speed.learn_model(
            done.first_s,
            done.total_s,
            done.prompt_tokens - done.cached_tokens,
            done.output_tokens,
        )
        upstream.cache.correct(
            ask.prefixes,
            grant.expected_cached,
            done.cached_tokens,
        )
        self.lengths.learn(ask.workspace, ask.max_tokens, done.output_tokens)
