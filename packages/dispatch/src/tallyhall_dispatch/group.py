"""The upstreams of one service as one instance sees them."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import msgspec

from .desired import Upstream
from .engines import FIRST_FIXED_S, EngineView
from .forecast import Forecast
from .jobs import Job
from .switches import Switches
from .token_bucket import TokenBucket

# A forecast looks at all upstreams, so it is made anew after this long, in
# seconds; a fortieth of the shortest objective.
_FORECAST_S = 0.02
# An upstream on trial is the first choice for so long, in seconds.
_CANARY_TURN_S = 4.0


class UpstreamGroup:
    """Views of the upstreams that are named, by incarnation."""

    def __init__(self, switches: Switches, rng: random.Random) -> None:
        """Start without upstreams."""
        self._rng = rng
        # The part of all places that may be filled from here: what instances
        # that are not heard may be filling themselves is left alone.
        self.share: float = 1
        # Whether one that does not leave names a limit, also one on trial.
        self.is_limited = False
        # Whether all do that stay, so that their limits are all there is.
        self.is_bound = False
        self._switches = switches
        self._views: dict[str, EngineView] = {}
        self._misplaced: set[str] = set()
        self._known: Forecast | None = None

    @property
    def views(self) -> Mapping[str, EngineView]:
        """Return what is known of each upstream."""
        return self._views

    @property
    def places(self) -> int:
        """Return how many places the upstreams have that stay."""
        return sum(view.upstream.slots for view in self._staying())

    def take(self, upstreams: Iterable[Upstream]) -> None:
        """Take the upstreams of the service as they stand now."""
        known = {upstream.incarnation: upstream for upstream in upstreams}
        for gone in self._views.keys() - known.keys():
            self._views.pop(gone)
        self._misplaced &= known.keys()
        for incarnation, upstream in known.items():
            if incarnation in self._misplaced:
                continue
            view = self._views.get(incarnation)
            if view is None:
                self._views[incarnation] = EngineView(upstream)
                continue
            view.upstream = upstream

    def apply_limits(
        self,
        limits: Mapping[str, float],
        part: float,
        now: float,
    ) -> None:
        """Keep to what upstreams name; `part` of it is for this instance.

        limits: requests a second, by incarnation. part: 0 where others decide.
        """
        for incarnation, view in self._views.items():
            per_s = limits.get(incarnation)
            if per_s is None:
                view.tokens = None
                continue
            if view.tokens is None:
                view.tokens = TokenBucket(now, self._rng)
            view.tokens.change_rate(per_s, part, now)
        staying = self._staying()
        self.is_bound = bool(staying) and all(one.tokens for one in staying)
        self.is_limited = any(
            one.tokens and not one.upstream.leaving
            for one in self._views.values()
        )

    def limits_open_in_s(self, now: float) -> float:
        """Return how long the limits of all that stay let nothing begin."""
        return min(
            (
                0 if view.tokens is None else view.tokens.opens_in_s(now)
                for view in self._staying()
            ),
            default=0,
        )

    def misplaced(self, incarnation: str) -> None:
        """Forget an upstream whose address another one has, while it is named.

        A last report of one that has gone may come after its end and name it
        for three heartbeats more; each look at it would cost a request's time.
        """
        if self._views.pop(incarnation, None) is not None:
            self._misplaced.add(incarnation)

    def usable(self, now: float) -> list[EngineView]:
        """Return the upstreams that take jobs: where all fail, all of them.

        Most of what is sent to one that fails in part succeeds, and what is
        kept from all of them is refused with their places free.
        """
        staying = self._staying()
        if not self._switches.aside:
            return staying
        return [view for view in staying if not view.is_aside(now)] or staying

    def free_canaries(self, now: float) -> list[EngineView]:
        """Return the upstreams on trial that have a free place.

        The same one comes first for a while, so that it is seen under load,
        then another one, as one alone tells little of all.
        """
        canaries = sorted(self._canaries(), key=lambda view: view.incarnation)
        if not canaries:
            return canaries
        first = int(now / _CANARY_TURN_S) % len(canaries)
        return [
            view
            for view in canaries[first:] + canaries[:first]
            if view.has_place(1, now) and not view.is_aside(now)
        ]

    def canary_places(self) -> int:
        """Return how many places the upstreams on trial have."""
        return sum(view.upstream.slots for view in self._canaries())

    def free(self, now: float) -> list[EngineView]:
        """Return the usable upstreams that have a free place."""
        return [view for view in self.usable(now) if self.has_place(view, now)]

    def has_place(self, view: EngineView, now: float) -> bool:
        """Return whether a request may begin at an upstream now."""
        return view.has_place(self.share, now)

    def has_free(self, part: float, now: float) -> bool:
        """Return whether at least this part of the usable places is free."""
        usable = self.usable(now)
        places = sum(view.upstream.slots for view in usable)
        return self._free_in(usable, now) >= part * places

    def free_places(self, now: float) -> int:
        """Return how many places of the usable upstreams are free."""
        return self._free_in(self.usable(now), now)

    def may_serve(self, job: Job) -> bool:
        """Return whether there is an upstream that this job may be sent to.

        One that is left out for its failures comes back soon.
        """
        return any(
            view.incarnation not in job.excluded for view in self._staying()
        )

    def opens_in_s(self, resting: Mapping[str, float], now: float) -> float:
        """Return how long all upstreams rest that stay, 0 if one does not."""
        if not resting:
            return 0
        ends = [resting.get(view.incarnation, now) for view in self._staying()]
        return max(0, min(ends, default=now) - now)

    def forecast(self, now: float) -> Forecast:
        """Return what the usable upstreams can do from now on."""
        known = self._known
        if known is not None and now - known.now < _FORECAST_S:
            return msgspec.structs.replace(known, now=now)
        self._known = self._forecast_of(self.usable(now), now)
        return self._known

    def forecast_for(self, job: Job, forecast: Forecast) -> Forecast:
        """Return a forecast without the upstreams that rest for a job."""
        if not job.resting:
            return forecast
        now = forecast.now
        usable = [
            view
            for view in self.usable(now)
            if view.incarnation not in job.resting
        ]
        return self._forecast_of(usable, now)

    def _forecast_of(
        self,
        usable: Collection[EngineView],
        now: float,
    ) -> Forecast:
        rate = sum(view.free_rate for view in usable)
        first_s = FIRST_FIXED_S if usable else 0
        token_s = min((view.token_s for view in usable), default=0)
        return Forecast(now, rate, first_s, token_s)

    def _free_in(self, views: Iterable[EngineView], now: float) -> int:
        return sum(
            view.free(self.share) for view in views if self.has_place(view, now)
        )

    def _canaries(self) -> list[EngineView]:
        return [
            view
            for view in self._views.values()
            if view.upstream.canary and not view.upstream.leaving
        ]

    def _staying(self) -> list[EngineView]:
        return [
            view
            for view in self._views.values()
            if not (view.upstream.leaving or view.upstream.canary)
        ]
