"""Upstreams, permits, limit usage and estimates of one service.

Holds the state only; decisions are made in `pool` and `shedding`.
"""

from __future__ import annotations

from collections.abc import Set

from tallyhall_core.messages import Done, Progress
from tallyhall_table.model import LimitRow, ServiceRow

from .concurrency import AdaptiveLimit
from .estimate import OutputLengths
from .jobs import Grant
from .limits import WorkspaceLimits
from .permit_records import PermitRecords
from .settings import PoolSettings
from .tiers import Tiers
from .upstream import Upstream, UpstreamInfo


class ServiceState:
    """Upstreams, permits in use, workspace limits and output lengths."""

    def __init__(self, cfg: PoolSettings) -> None:
        """Start without upstreams."""
        self.grants: dict[str, Grant] = {}
        self.limits = WorkspaceLimits()
        self.lengths = OutputLengths()
        self.permit_records = PermitRecords(cfg.windows_kept)
        self._cfg = cfg
        self._ceiling = 1
        self._gap_s: float = 0
        self._lowest_rank = 0
        self._upstreams: dict[str, Upstream] = {}

    def configure(
        self,
        row: ServiceRow,
        limits: dict[str, LimitRow],
        tiers: Tiers,
        now: float,
    ) -> None:
        """Apply the table's rows for this service."""
        gap_s = tiers.gap_s
        self._lowest_rank = tiers.lowest_rank
        self._ceiling = row.max_running
        self._gap_s = gap_s
        self.limits.configure(limits, now)
        for upstream in self._upstreams.values():
            upstream.limit.ceiling = row.max_running
            upstream.limit.gap_s = gap_s

    def apply_upstreams(self, infos: tuple[UpstreamInfo, ...]) -> None:
        """Apply the instance list; keep the state of listed upstreams."""
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
        """Return the listed upstream with this name."""
        return self._upstreams.get(name)

    def address_of(self, name: str) -> str:
        """Return an upstream's address, empty if it is not listed."""
        known = self._upstreams.get(name)
        return known.info.address if known else ''

    def available_upstreams(self, now: float) -> list[Upstream]:
        """Return the upstreams that accept new requests."""
        return [up for up in self._upstreams.values() if up.is_available(now)]

    def max_cached_tokens(self, prefixes: tuple[str, ...]) -> int:
        """Return the length of the longest prefix cached by any upstream."""
        return max(
            (
                up.cache.cached_tokens(prefixes)
                for up in self._upstreams.values()
            ),
            default=0,
        )

    def slots(self) -> int:
        """Return the sum of the concurrency limits of all upstreams."""
        return sum(up.limit.slots for up in self._upstreams.values())

    def __len__(self) -> int:
        """Return the number of upstreams."""
        return len(self._upstreams)

    def has_lower_tier_running(self, rank: int) -> bool:
        """Return whether any job of a lower tier has a permit."""
        return any(grant.job.rank > rank for grant in self.grants.values())

    # -- permits

    def record(self, grant: Grant) -> None:
        """Record an issued permit."""
        ask = grant.job.ask
        self.grants[ask.id] = grant
        self.permit_records.record(grant.job.rid, ask.holder, grant.upstream)
        self.limits.count_start(ask.workspace)
        upstream = self._upstreams.get(grant.upstream)
        if upstream is not None:
            upstream.running += 1
            upstream.sent_since_report += 1
            upstream.cache.record_prompt(ask.prefixes)

    def release(self, request_id: str) -> Grant | None:
        """Release a permit; its entry in the permit records stays."""
        grant = self.grants.pop(request_id, None)
        if grant is None:
            return None
        self.limits.count_end(grant.job.ask.workspace)
        upstream = self._upstreams.get(grant.upstream)
        if upstream is not None:
            upstream.running = max(0, upstream.running - 1)
        return grant

    def release_homes(self, homes: Set[str]) -> None:
        """Release all permits of these homes."""
        for request_id, grant in list(self.grants.items()):
            if grant.job.ask.holder in homes:
                self.release(request_id)

    def release_expired(self, now: float) -> None:
        """Release permits not returned within a grace period."""
        for request_id, grant in list(self.grants.items()):
            if now > grant.job.deadline + self._cfg.grace_s:
                self.release(request_id)

    # -- estimates

    def update_estimates(self, grant: Grant, done: Done, now: float) -> None:
        """Update the estimates from a returned permit."""
        upstream = self._upstreams.get(grant.upstream)
        if upstream is None:
            return
        if done.broken or not done.ran:
            upstream.backoff_until = now + self._cfg.broken_s
        elif done.ok and grant.job.ask.prompt_tokens:
            self._add_stream(grant, upstream, done)
        elif done.ok:
            upstream.speed.add_call(done.total_s)
            upstream.limit.on_call(done.total_s, upstream.running + 1, now)

    def progress(self, report: Progress, now: float) -> None:
        """Update the estimates from a report on open streams."""
        upstream = self._upstreams.get(report.upstream)
        if upstream is None or not report.streams:
            return
        if not report.tokens:
            upstream.limit.on_stall(upstream.running, now)
            return
        gap = report.elapsed_s * report.streams / report.tokens
        upstream.speed.add_token_gap(gap)
        required = self._required_gap(report.upstream, gap)
        upstream.limit.on_token_gap(gap, required, upstream.running, now)

    def record_load(
        self,
        name: str,
        requests: float,
        cache_tokens: int,
    ) -> None:
        """Record the load that an upstream reports, with some delay."""
        known = self._upstreams.get(name)
        if known is None:
            return
        known.reported_requests = requests
        known.sent_since_report = 0
        if cache_tokens:
            known.cache.resize(cache_tokens)

    def _required_gap(self, upstream: str, default_gap_s: float) -> float:
        # The lowest tier counts only if no other tier runs: otherwise one
        # long request would limit the upstream to itself, and finally be
        # revoked to free its slot for a higher tier.
        running = [
            grant
            for grant in self.grants.values()
            if grant.upstream == upstream
        ]
        higher = [one for one in running if one.job.rank < self._lowest_rank]
        return min(
            (grant.required_gap_s for grant in higher or running),
            default=default_gap_s,
        )

    def _add_stream(
        self,
        grant: Grant,
        upstream: Upstream,
        done: Done,
    ) -> None:
        ask = grant.job.ask
        upstream.speed.add_stream(
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
        self.lengths.add(ask.workspace, ask.max_tokens, done.output_tokens)
