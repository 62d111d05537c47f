"""What an owner knows of calls under which upstreams end.

The owner permits all calls of its services, so it alone decides that attempts
of a suspect run one at a time and when one is given up. Homes keep what they
saw and tell it to a new owner.
"""

from __future__ import annotations

import collections
import dataclasses

from tallyhall_core.messages import Ask, Done, EndSeen
from tallyhall_core.suspects import (
    KEPT_S,
    EndedRun,
    Suspects,
    UpstreamEnd,
    Verdict,
)

# Told to a caller while another attempt of the same call runs, in seconds.
_TRIED_S = 1.0
# What a home keeps for a new owner; an upstream that ends brings a few.
_MOST_SEEN = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    request_id: str
    until: float


class Quarantine:
    """Calls that were at the end of upstreams, at their owner."""

    def __init__(self) -> None:
        """Start with none."""
        self._suspects = Suspects()
        # The attempt of each suspect that may run now.
        self._running: dict[str, _Attempt] = {}

    def ends(self, ask: Ask, now: float) -> int:
        """Return at how many ends a call was."""
        return self._suspects.standing(ask.content, now).ends

    def wait_s(self, ask: Ask, now: float) -> float:
        """Return how long a call is given up, 0 if it may run.

        One that was at an end holds up its like until it is done.
        """
        standing = self._suspects.standing(ask.content, now)
        if standing.verdict is Verdict.given_up:
            return standing.wait_s
        if not standing.ends:
            return 0
        running = self._running.get(ask.content)
        if running is not None and running.request_id != ask.id:
            if now < running.until:
                return _TRIED_S
        self._running[ask.content] = _Attempt(ask.id, now + ask.left_s)
        return 0

    def done(self, done: Done, now: float) -> None:
        """Take how an attempt ended."""
        self.drop(done.id)
        if not done.content:
            # A home of an earlier version does not tell what was asked.
            return
        if done.ended:
            self._take(done.upstream, done.content, done.ends, now, now)
        elif done.ok:
            self._suspects.served(done.content, now)

    def drop(self, request_id: str) -> None:
        """Take that an attempt does not run."""
        self._running = {
            content: attempt
            for content, attempt in self._running.items()
            if attempt.request_id != request_id
        }

    def seen(self, told: EndSeen, now: float) -> None:
        """Take what a home saw under an earlier owner."""
        at_s = now - told.age_s
        self._take(told.upstream, told.content, told.ends, at_s, now)

    def _take(
        self,
        upstream: str,
        content: str,
        ends: int,
        at_s: float,
        now: float,
    ) -> None:
        run = EndedRun(content, ends)
        self._suspects.take_end(UpstreamEnd(upstream, at_s, (run,)), now)


class SeenEnds:
    """The ends that a home saw, for an owner that knows nothing yet."""

    def __init__(self) -> None:
        """Start with none."""
        self._seen: collections.deque[tuple[float, EndSeen]] = (
            collections.deque(maxlen=_MOST_SEEN)
        )

    def note(self, done: Done, now: float) -> None:
        """Keep what the end of a run showed."""
        if done.ended:
            seen = EndSeen(done.content, done.upstream, done.ends, 0)
            self._seen.append((now, seen))

    def told(self, now: float) -> tuple[EndSeen, ...]:
        """Return what is not forgotten, by its age."""
        while self._seen and self._seen[0][0] <= now - KEPT_S:
            self._seen.popleft()
        return tuple(
            dataclasses.replace(seen, age_s=now - at) for at, seen in self._seen
        )
