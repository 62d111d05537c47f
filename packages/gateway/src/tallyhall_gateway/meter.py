"""Measures the decoding rate of each upstream, for reports to owners."""

from __future__ import annotations

import dataclasses
import threading

from tallyhall_core.messages import Progress


@dataclasses.dataclass(slots=True)
class _Stream:
    service: str
    upstream: str
    since: float
    tokens: int = 0


class StreamMeter:
    """Counts the tokens of decoding streams between reports."""

    def __init__(self) -> None:
        """Create a meter without streams."""
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = {}

    def start_stream(
        self,
        request_id: str,
        service: str,
        upstream: str,
        now: float,
    ) -> None:
        """Record that a stream has started to decode."""
        with self._lock:
            self._streams[request_id] = _Stream(service, upstream, now)

    def add(self, request_id: str, tokens: int) -> None:
        """Add received tokens to a decoding stream."""
        with self._lock:
            stream = self._streams.get(request_id)
            if stream is not None:
                stream.tokens += tokens

    def ended(self, request_id: str) -> None:
        """Record that a stream has ended."""
        with self._lock:
            self._streams.pop(request_id, None)

    def report(self, now: float, min_age_s: float) -> tuple[Progress, ...]:
        """Return the progress of each upstream and reset its counts.

        Streams measured for less than `min_age_s` are left for the next report,
        since a few milliseconds are too short to estimate a rate.
        """
        totals: dict[tuple[str, str], tuple[int, int, float]] = {}
        with self._lock:
            for stream in self._streams.values():
                open_s = now - stream.since
                if open_s < min_age_s:
                    continue
                key = (stream.service, stream.upstream)
                count, tokens, seconds = totals.get(key, (0, 0, 0))
                totals[key] = (
                    count + 1,
                    tokens + stream.tokens,
                    seconds + open_s,
                )
                stream.tokens = 0
                stream.since = now
        return tuple(
            Progress(service, upstream, count, tokens, seconds / count)
            for (service, upstream), (count, tokens, seconds) in totals.items()
        )
