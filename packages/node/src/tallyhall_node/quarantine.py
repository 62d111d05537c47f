"""Quarantine of calls that were running when upstreams terminated.

The owner permits all calls of its services, so it alone ensures that attempts
of a suspected call run one at a time, and decides when such a call is refused.
Homes store the terminations that they observed and report them to a new owner.
"""

from __future__ import annotations

import collections
import dataclasses

from tallyhall_core.messages import Ask, Done, EndSeen
from tallyhall_core.suspects import (
    KEPT_S,
    InterruptedRun,
    Suspects,
    UpstreamTermination,
    Verdict,
)

# Retry-After, in seconds, while another attempt of the same call runs.
_CONCURRENT_RETRY_S = 1.0
# Maximum number of terminations that a home stores for a new owner; each
# terminated upstream adds a few.
_MAX_OBSERVED = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    request_id: str
    until: float


class Quarantine:
    """Tracks, at the owner, calls that may terminate upstreams."""

    def __init__(self) -> None:
        """Initialize without records."""
        self._suspects = Suspects()
        # Content of each suspected call -> its attempt that may run now.
        self._running: dict[str, _Attempt] = {}

    def termination_count(self, request: Ask, now: float) -> int:
        """Return the number of terminations during runs of a call."""
        return self._suspects.status(request.content, now).ends

    def try_start(self, request: Ask, now: float) -> float:
        """Return for how many seconds a call is refused, 0 if it may run.

        While an attempt of a suspected call runs, other attempts with the same
        content are refused.
        """
        standing = self._suspects.status(request.content, now)
        if standing.verdict is Verdict.given_up:
            return standing.wait_s
        if not standing.ends:
            return 0
        running = self._running.get(request.content)
        if running is not None and running.request_id != request.id:
            if now < running.until:
                return _CONCURRENT_RETRY_S
        self._running[request.content] = _Attempt(
            request.id, now + request.left_s
        )
        return 0

    def record_result(self, returned: Done, now: float) -> None:
        """Record the result of an attempt."""
        self.remove_attempt(returned.id)
        if not returned.content:
            # Homes of earlier versions do not send the content digest.
            return
        if returned.ended:
            self._record(
                returned.upstream, returned.content, returned.ends, now, now
            )
        elif returned.ok:
            self._suspects.record_served(returned.content, now)

    def remove_attempt(self, request_id: str) -> None:
        """Record that an attempt is not running."""
        self._running = {
            content: attempt
            for content, attempt in self._running.items()
            if attempt.request_id != request_id
        }

    def record_observed(self, observed: EndSeen, now: float) -> None:
        """Record a termination that a home observed under an earlier owner."""
        at_s = now - observed.age_s
        self._record(
            observed.upstream, observed.content, observed.ends, at_s, now
        )

    def _record(
        self,
        upstream: str,
        content: str,
        ends: int,
        at_s: float,
        now: float,
    ) -> None:
        run = InterruptedRun(content, ends)
        self._suspects.record_termination(
            UpstreamTermination(upstream, at_s, (run,)), now
        )


class ObservedTerminations:
    """Terminations that a home observed, to be reported to a new owner."""

    def __init__(self) -> None:
        """Initialize without records."""
        self._observed: collections.deque[tuple[float, EndSeen]] = (
            collections.deque(maxlen=_MAX_OBSERVED)
        )

    def record(self, returned: Done, now: float) -> None:
        """Store the termination of an upstream, if the run ended by one."""
        if returned.ended:
            seen = EndSeen(
                returned.content, returned.upstream, returned.ends, 0
            )
            self._observed.append((now, seen))

    def report(self, now: float) -> tuple[EndSeen, ...]:
        """Return the terminations that have not expired, with their ages."""
        while self._observed and self._observed[0][0] <= now - KEPT_S:
            self._observed.popleft()
        return tuple(
            dataclasses.replace(seen, age_s=now - at)
            for at, seen in self._observed
        )
