"""Admission of requests by route, API key, state freshness and quota.

All checks use this instance's local state. Their order is visible to callers:
an instance without a desired state knows no routes or keys, so it does not
answer that a path or a key does not exist.
"""

from __future__ import annotations

import random

import msgspec
from tallyhall_core.refusals import Reason, Refusal, RefusedError

from .desired import DesiredState, Route, Workspace
from .freshness import Freshness
from .quota import Quotas, QuotaState
from .quota_limits import QuotaBounds
from .retries import RetryBudget, RetryLimits, RetryReservation, RetryUse
from .routing import Router, pick_service

# Retry-after time in seconds while the desired state is missing or stale: until
# a restarted instance has read it, or the store is reachable again.
_STATE_RETRY_AFTER_S = 0.5


class Admitted(msgspec.Struct, frozen=True):
    """An admitted request and the data that admission was based on.

    over_quota_s: 0, or the time until the request would fit into the quota of
    its workspace; such a request runs only on slots that are otherwise free.
    quota_state: what was known about the quota, None if there is none.
    charged_at: when the quota was charged.
    """

    route: Route
    service: str
    workspace: Workspace | None
    key: str
    charged: float
    version: int
    over_quota_s: float = 0
    quota_state: QuotaState | None = None
    charged_at: float = 0


class OverQuotaError(RefusedError):
    """A request was refused because its workspace is over its quota."""

    def __init__(
        self,
        refusal: Refusal,
        quota_state: QuotaState | None,
        workspace: str,
        amount: float,
    ) -> None:
        """Store the refusal, the quota state, the workspace and the amount."""
        super().__init__(refusal)
        self.quota_state = quota_state
        self.workspace = workspace
        self.amount = amount


class _Charge(msgspec.Struct, frozen=True):
    amount: float
    over_quota_s: float = 0
    quota_state: QuotaState | None = None


class AdmissionGate:
    """Admits requests according to the latest desired state."""

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
        self._started_at = now
        self._retry_limits = retry_limits
        self._rng = rng
        self._router: Router | None = None
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def version(self) -> int:
        """Return the version of the desired state, -1 before the first one."""
        return -1 if self._router is None else self._router.state.version

    def apply_state(self, state: DesiredState) -> None:
        """Apply a newer desired state."""
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
        """Admit a request or raise RefusedError."""
        router = self._router
        if router is None:
            raise _refused(Reason.not_ready, _STATE_RETRY_AFTER_S)
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
        self._budget(service).record_request(now)
        return Admitted(
            route,
            service,
            workspace,
            key,
            charge.amount,
            router.state.version,
            charge.over_quota_s,
            charge.quota_state,
            now,
        )

    def workspace_name(self, key: str) -> str:
        """Return the name of a key's workspace, empty for an unknown key."""
        workspace = (
            None if self._router is None else self._router.workspace(key)
        )
        return '' if workspace is None else workspace.name

    def is_still_valid(self, admitted: Admitted, now: float) -> bool:
        """Return whether a request may still be sent after it was queued."""
        if admitted.workspace is None or self._router is None:
            return True
        if not self.freshness.is_valid(now):
            return False
        return self._router.workspace(admitted.key) is not None

    def refund(self, admitted: Admitted, now: float) -> None:
        """Refund the quota charged for a request that did not run."""
        if admitted.workspace is not None:
            self.quotas.refund(
                admitted.workspace.name,
                admitted.charged,
                admitted.charged_at,
                now,
            )

    def reserve_retry(
        self, service: str, now: float, *, abandons: bool
    ) -> RetryReservation | None:
        """Reserve a retry in a service's budget; None if it is spent.

        abandons: whether an upstream may hold an earlier send unread.
        """
        return self._budget(service).reserve(now, abandons=abandons)

    def retry_use(self, service: str, now: float) -> RetryUse:
        """Return what this instance has used of a service's retry budget."""
        return self._budget(service).use(now)

    @property
    def budgeted_services(self) -> tuple[str, ...]:
        """Return the services to which a request was admitted."""
        return tuple(self._budgets)

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self._retry_limits, self._rng, self._started_at
            )
            self._budgets[service] = budget
        budget.instances = max(1, self.instances)
        return budget

    def _check_fresh(self, now: float) -> None:
        if not self.freshness.is_valid(now):
            raise _refused(Reason.state_not_confirmed, _STATE_RETRY_AFTER_S)

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
        quota_state = self.quotas.state(workspace.name, now)
        wait_s = self.quotas.charge(workspace.name, amount, now)
        if wait_s and not self.quotas.charge_over_quota(
            workspace.name, amount, now
        ):
            raise OverQuotaError(
                Refusal.of(Reason.rate_limited, retry_after=wait_s),
                quota_state,
                workspace.name,
                amount,
            )
        return _Charge(amount, wait_s, quota_state)


def _refused(reason: Reason, retry_after: float | None = None) -> RefusedError:
    return RefusedError(Refusal.of(reason, retry_after=retry_after))
