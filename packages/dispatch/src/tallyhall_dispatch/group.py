"""The upstreams of one service, as known to one instance."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import msgspec

from .desired import Upstream
from .forecast import Forecast
from .jobs import Job
from .load_reports import UpstreamLoads
from .switches import Switches
from .token_bucket import TokenBucket
from .upstream_state import FIXED_FIRST_EVENT_S, UpstreamState

# Seconds for which a forecast is cached, because computing one reads the state
# of all upstreams. A fortieth of the shortest latency objective.
_FORECAST_TTL_S = 0.02
# Seconds for which the same canary upstream is the first choice.
_CANARY_ROTATION_S = 4.0


class UpstreamGroup:
    """The states of the registered upstreams, by incarnation."""

    def __init__(
        self,
        switches: Switches,
        rng: random.Random,
        loads: UpstreamLoads | None = None,
        *,
        one_owner: bool = True,
    ) -> None:
        """Create a group without upstreams.

        loads: their load reports, None if none are received. one_owner: whether
        one instance grants all slots of the service.
        """
        self._one_owner = one_owner
        self._rng = rng
        if loads is None or not switches.load_reports:
            loads = UpstreamLoads()
        self._loads = loads
        # Share of all slots that this instance may fill. The rest is left to
        # instances that cannot be reached and may be filling slots themselves.
        self.share: float = 1
        # Whether any upstream that is not leaving announces a rate limit,
        # canaries included.
        self.has_limits = False
        # Whether all active upstreams do, so that their limits bound the
        # total capacity.
        self.all_limited = False
        self._switches = switches
        self._views: dict[str, UpstreamState] = {}
        self._ignored: set[str] = set()
        self._cached_forecast: Forecast | None = None

    @property
    def views(self) -> Mapping[str, UpstreamState]:
        """Return the state of each upstream."""
        return self._views

    @property
    def slots(self) -> int:
        """Return the number of slots of the active upstreams."""
        return sum(view.upstream.slots for view in self._active())

    def set_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Replace the list of registered upstreams of the service."""
        known = {upstream.incarnation: upstream for upstream in upstreams}
        for gone in self._views.keys() - known.keys():
            self._remove(gone)
        self._ignored &= known.keys()
        for incarnation, upstream in known.items():
            if incarnation in self._ignored:
                continue
            view = self._views.get(incarnation)
            if view is None:
                load = self._loads.add(upstream.service, incarnation)
                self._views[incarnation] = UpstreamState(
                    upstream, load, one_owner=self._one_owner
                )
                continue
            view.upstream = upstream

    def apply_limits(
        self,
        limits: Mapping[str, float],
        part: float,
        now: float,
    ) -> None:
        """Apply the rate limits announced by upstreams.

        limits: requests per second, by incarnation. part: the part of each
        limit that this instance may use, 0 if other instances decide.
        """
        for incarnation, view in self._views.items():
            per_s = limits.get(incarnation)
            if per_s is None:
                view.bucket = None
                continue
            if view.bucket is None:
                view.bucket = TokenBucket(now, self._rng)
            view.bucket.update_rate(per_s, part, now)
        active = self._active()
        self.all_limited = bool(active) and all(one.bucket for one in active)
        self.has_limits = any(
            one.bucket and not one.upstream.leaving
            for one in self._views.values()
        )

    def next_token_in_s(self, now: float) -> float:
        """Return the seconds until a rate limit admits the next request.

        The result is 0 if any active upstream has no limit.
        """
        return min(
            (
                0 if view.bucket is None else view.bucket.next_token_in_s(now)
                for view in self._active()
            ),
            default=0,
        )

    def ignore(self, incarnation: str) -> None:
        """Ignore an upstream whose address now belongs to another one.

        It is ignored for as long as it is registered. The last report of a
        terminated upstream may arrive after its termination and keep it
        registered for three more heartbeats, in which each attempt to use it
        would delay a request.
        """
        if incarnation in self._views:
            self._remove(incarnation)
            self._ignored.add(incarnation)

    def usable(self, now: float) -> list[UpstreamState]:
        """Return the active upstreams that are not ejected.

        If all of them are ejected, all of them are returned. Most requests to
        an upstream with partial failures succeed, and without any upstream,
        requests would be refused while there are free slots.
        """
        active = self._active()
        if not self._switches.aside:
            return active
        return [view for view in active if not view.is_ejected(now)] or active

    def free_canaries(self, now: float) -> list[UpstreamState]:
        """Return the canary upstreams that have a free slot.

        The same canary is the first choice for a while, so that it is observed
        under load. Then the next one is, because a single canary says little
        about the others.
        """
        canaries = sorted(self._canaries(), key=lambda view: view.incarnation)
        if not canaries:
            return canaries
        first = int(now / _CANARY_ROTATION_S) % len(canaries)
        return [
            view
            for view in canaries[first:] + canaries[:first]
            if view.has_slot(1, now) and not view.is_ejected(now)
        ]

    def canary_slots(self) -> int:
        """Return the number of slots of the canary upstreams."""
        return sum(view.upstream.slots for view in self._canaries())

    def free(self, now: float) -> list[UpstreamState]:
        """Return the usable upstreams that have a free slot."""
        return [view for view in self.usable(now) if self.has_slot(view, now)]

    def has_slot(self, view: UpstreamState, now: float) -> bool:
        """Return whether a request may start at an upstream now."""
        return view.has_slot(self.share, now)

    def has_free_share(self, part: float, now: float) -> bool:
        """Return whether at least this part of the usable slots is free."""
        usable = self.usable(now)
        slots = sum(view.upstream.slots for view in usable)
        return self._count_free(usable, now) >= part * slots

    def free_slots(self, now: float) -> int:
        """Return the number of free slots of the usable upstreams."""
        return self._count_free(self.usable(now), now)

    def has_other(self, excluded: Collection[str], version: str | None) -> bool:
        """Return whether an upstream takes requests that is not excluded.

        excluded: incarnations. version: the only version that counts, None for
        those in use.
        """
        if version is None:
            views = self._active()
        else:
            views = [
                view
                for view in self._views.values()
                if view.upstream.version == version
            ]
        return any(
            not view.upstream.leaving and view.incarnation not in excluded
            for view in views
        )

    def may_serve(self, job: Job) -> bool:
        """Return whether there is an upstream that this job may be sent to.

        Ejected upstreams count, because an ejection is short. Canaries count
        for a stream of their version, which can go on nowhere else.
        """
        views = self._active()
        if job.version is not None:
            views += self._canaries()
        return any(view.may_run(job) for view in views)

    def backoff_ends_in_s(
        self, backoffs: Mapping[str, float], now: float
    ) -> float:
        """Return the seconds until the first active upstream ends its backoff.

        The result is 0 if any active upstream is not backing off.
        """
        if not backoffs:
            return 0
        ends = [backoffs.get(view.incarnation, now) for view in self._active()]
        return max(0, min(ends, default=now) - now)

    def forecast(self, now: float) -> Forecast:
        """Return the capacity forecast of the usable upstreams."""
        known = self._cached_forecast
        if known is not None and now - known.now < _FORECAST_TTL_S:
            return msgspec.structs.replace(known, now=now)
        self._cached_forecast = self._compute_forecast(self.usable(now), now)
        return self._cached_forecast

    def forecast_for(self, job: Job, forecast: Forecast) -> Forecast:
        """Return a forecast with only the upstreams that may run a job now."""
        if not job.backoffs and job.version is None:
            return forecast
        now = forecast.now
        usable = [
            view
            for view in self.usable(now)
            if view.may_run(job) and view.incarnation not in job.backoffs
        ]
        return self._compute_forecast(usable, now)

    def _compute_forecast(
        self,
        usable: Collection[UpstreamState],
        now: float,
    ) -> Forecast:
        rate = sum(view.slot_release_rate(now) for view in usable)
        first_s = FIXED_FIRST_EVENT_S if usable else 0
        token_s = min((view.token_s(now) for view in usable), default=0)
        return Forecast(now, rate, first_s, token_s)

    def _remove(self, incarnation: str) -> None:
        self._views.pop(incarnation)
        self._loads.remove(incarnation)

    def _count_free(self, views: Iterable[UpstreamState], now: float) -> int:
        return sum(
            view.free_slots(self.share, now)
            for view in views
            if self.has_slot(view, now)
        )

    def _canaries(self) -> list[UpstreamState]:
        return [
            view
            for view in self._views.values()
            if view.upstream.canary and not view.upstream.leaving
        ]

    def _active(self) -> list[UpstreamState]:
        return [
            view
            for view in self._views.values()
            if not (view.upstream.leaving or view.upstream.canary)
        ]
