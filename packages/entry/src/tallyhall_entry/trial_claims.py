"""Claims on trials: one run in the whole fleet of a suspect."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from tallyhall_core.events import Event
from tallyhall_edge.guard import quarantined_error
from tallyhall_platform.end_records import EndRecorder
from tallyhall_platform.errors import StoreError

from .logs import EventLog

# Time for which a trial is not claimed again, as one may run elsewhere, and
# retry delay returned to clients meanwhile, in seconds.
TRIAL_RETRY_S = 1.0


class TrialClaims:
    """The trials that this instance runs or that may run elsewhere."""

    def __init__(self, recorder: EndRecorder, log: EventLog) -> None:
        """Claim through this recorder."""
        self._recorder = recorder
        self._log = log
        self._loop = asyncio.get_running_loop()
        # Store leases of the trials that run on this instance, by suspect.
        self._leases: dict[str, int] = {}
        # Time until which no trial is claimed, as one may run elsewhere.
        self._claimed_until: dict[str, float] = {}

    def is_claimed(self, suspect: str) -> bool:
        """Return whether a trial of a suspect may be running."""
        if suspect in self._leases:
            return True
        return self._loop.time() < self._claimed_until.get(suspect, 0)

    async def claim(self, suspect: str) -> bool:
        """Claim a trial; return whether no other one runs.

        Raises RefusedError if the store does not answer.
        """
        # Blocks concurrent claims until the store responds, and claims in
        # quick succession.
        now = self._loop.time()
        self._claimed_until = {
            one: until
            for one, until in self._claimed_until.items()
            if now < until
        }
        self._claimed_until[suspect] = now + TRIAL_RETRY_S
        try:
            lease = await self._recorder.claim_trial(suspect)
        except (StoreError, TimeoutError) as exc:
            self._log.event(Event.store_call_failed, cause=repr(exc))
            raise quarantined_error(suspect, TRIAL_RETRY_S) from exc
        if lease is None:
            return False
        self._claimed_until.pop(suspect, None)
        self._leases[suspect] = lease
        return True

    async def release(self, suspects: Iterable[str]) -> None:
        """Release the claims on finished trials."""
        leases = [self._leases.pop(suspect, None) for suspect in suspects]
        await asyncio.gather(
            *(
                self._recorder.release_trial(lease)
                for lease in leases
                if lease is not None
            ),
        )
