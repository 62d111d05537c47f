"""Whether a request may enter: route, API key, freshness, quota.

Everything is decided from this instance's own state. The order matters to
callers: without a desired state nothing is known, so nobody is told that a
path or key does not exist.
"""

from __future__ import annotations

import random

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError

from .desired import DesiredState, Route, Workspace
from .freshness import Freshness
from .quota import Quotas, QuotaSeen
from .quota_limits import QuotaBounds
from .retries import RetryBudget, RetryLimits
from .routing import Router, pick_service

# Told to callers where only time helps: until a restarted instance has read
# the desired state, or a lost store is back. Seconds.
_STATE_RETRY_S = 0.5


class Admitted(msgspec.Struct, frozen=True):
    """A request that may run, and on what grounds.

    over_quota_s: 0, or the time until the request would fit into the quota
    of its workspace; it then runs on places that nobody else needs. seen:
    what was known of the quota, None without one. charged_at: when it was
    charged.
    """

    route: Route
    service: str
    workspace: Workspace | None
    key: str
    charged: float
    version: int
    over_quota_s: float = 0
    seen: QuotaSeen | None = None
    charged_at: float = 0


class OverQuotaError(RefusedError):
    """A request is refused for the quota of its workspace."""

    def __init__(
        self,
        refusal: Refusal,
        seen: QuotaSeen | None,
        workspace: str,
        asked: float,
    ) -> None:
        """Keep the refusal and what decided: what was asked, and of whose."""
        super().__init__(refusal)
        self.seen = seen
        self.workspace = workspace
        self.asked = asked


class _Charge(msgspec.Struct, frozen=True):
    amount: float
    over_quota_s: float = 0
    seen: QuotaSeen | None = None


class Gate:
    """Lets requests in, by the newest desired state."""

    def __init__(
        self,
        freshness: Freshness,
        retry_limits: RetryLimits,
        quota_bounds: QuotaBounds,
        rng: random.Random,
        now: float,
    ) -> None:
        """Start without a desired state."""
        self.freshness = freshness
        self.quotas = Quotas(quota_bounds, now)
        self.instances = 1
        self._retry_limits = retry_limits
        self._rng = rng
        self._router: Router | None = None
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def version(self) -> int:
        """Return the version in force, -1 before the first."""
        return -1 if self._router is None else self._router.state.version

    def take_state(self, state: DesiredState) -> None:
        """Put a newer desired state in force."""
        self._router = Router(state)
        self.quotas.configure(state.workspaces)

    def admit(
        self,
        host: str,
        path: str,
        key: str,
        tokens: int,
        now: float,
    ) -> Admitted:
        """Return the grounds on which a request enters; raise RefusedError."""
        router = self._router
        if router is None:
            raise _refused(Reason.not_ready, _STATE_RETRY_S)
        route = router.route(host, path)
        if route is None:
            self._check_fresh(now)
            raise _refused(Reason.unknown_route)
        workspace = None
        if router.state.checks_keys and not route.public:
            self._check_fresh(now)
            workspace = router.workspace(key)
            if workspace is None:
                raise _refused(Reason.unknown_key)
        charge = self._charge(workspace, tokens, now)
        service = pick_service(route, self._rng)
        self.budget(service).request(now)
        return Admitted(
            route,
            service,
            workspace,
            key,
            charge.amount,
            router.state.version,
            charge.over_quota_s,
            charge.seen,
            now,
        )

    def still_holds(self, admitted: Admitted, now: float) -> bool:
        """Return whether a request may still be sent after its wait."""
        if admitted.workspace is None or self._router is None:
            return True
        if not self.freshness.holds(now):
            return False
        return self._router.workspace(admitted.key) is not None

    def give_back(self, admitted: Admitted, now: float) -> None:
        """Return the quota of a request that did not run."""
        if admitted.workspace is not None:
            self.quotas.give_back(
                admitted.workspace.name,
                admitted.charged,
                admitted.charged_at,
                now,
            )

    def may_repeat(self, service: str, now: float) -> bool:
        """Spend one further send; return whether the budget allows it."""
        return self.budget(service).take(now, self.instances)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._retry_limits)
            self._budgets[service] = budget
        return budget

    def _check_fresh(self, now: float) -> None:
        if not self.freshness.holds(now):
            raise _refused(Reason.state_not_confirmed, _STATE_RETRY_S)

    def _charge(
        self,
        workspace: Workspace | None,
        tokens: int,
        now: float,
    ) -> _Charge:
        if workspace is None:
            return _Charge(0)
        amount: float = 1
        if workspace.in_tokens:
            amount = tokens or workspace.plain_tokens
        seen = self.quotas.seen(workspace.name, now)
        wait_s = self.quotas.take(workspace.name, amount, now)
        if wait_s and not self.quotas.take_spare(workspace.name, amount, now):
            raise OverQuotaError(
                Refusal.of(Reason.rate_limited, retry_after=wait_s),
                seen,
                workspace.name,
                amount,
            )
        return _Charge(amount, wait_s, seen)


def _refused(reason: Reason, retry_after: float | None = None) -> RefusedError:
    return RefusedError(Refusal.of(reason, retry_after=retry_after))
