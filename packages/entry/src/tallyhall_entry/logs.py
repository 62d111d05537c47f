"""JSON log lines on standard output that never block the process.

The pipe is non-blocking: a line that does not fit is dropped and counted. Rate
limits in bytes per second bound the volume: one for lines about requests that
were served, one for those that are refused for what their caller sent, and one
for all others, so that under load the lines that explain failures are kept.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter
from tallyhall_core.events import Event

_LOGGER = 'tallyhall.entry'
# Rate and burst of the limits. A line has about 250 bytes and a
# request logs three lines, so up to 40 requests per second on one instance are
# logged completely.
_BYTES_PER_S = 60_000
_BURST_BYTES = 240_000
# The same for requests that are refused for what their caller sent.
_CALLER_BYTES_PER_S = 6_000
_CALLER_BURST_BYTES = 60_000
# No line is shorter: without so much left, it is dropped unformatted.
_MIN_LINE_BYTES = 100


class _RateLimit:
    def __init__(self, now: float, per_s: float, burst: float) -> None:
        self.dropped = 0
        self._per_s = per_s
        self._burst = burst
        self._available = burst
        self._refilled_at = now

    def refill(self, now: float) -> bool:
        """Return whether a line may be written now."""
        refill = (now - self._refilled_at) * self._per_s
        self._available = min(self._burst, self._available + refill)
        self._refilled_at = now
        if self._available < _MIN_LINE_BYTES:
            self.dropped += 1
            return False
        return True

    def take(self, size: int) -> bool:
        if self._available < size:
            self.dropped += 1
            return False
        self._available -= size
        return True


class BoundedStream(logging.Handler):
    """Writes records to a file descriptor without blocking."""

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        """Write to this descriptor, which is set to non-blocking mode."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        now = clock()
        self._served = _RateLimit(now, _BYTES_PER_S, _BURST_BYTES)
        self._others = _RateLimit(now, _BYTES_PER_S, _BURST_BYTES)
        self._by_callers = _RateLimit(
            now, _CALLER_BYTES_PER_S, _CALLER_BURST_BYTES
        )
        self._pending = b''
        self.unwritten = 0

    @property
    def dropped(self) -> dict[str, int]:
        """Return the number of dropped lines by kind."""
        return {
            'served': self._served.dropped,
            'others': self._others.dropped,
            'by_callers': self._by_callers.dropped,
            'unread': self.unwritten,
        }

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop and count it."""
        rate_limit = self._rate_limit(record)
        if not rate_limit.refill(self._clock()):
            return
        line = f'{self.format(record)}\n'.encode()
        if not rate_limit.take(len(line)):
            return
        if not self._flush_pending():
            self.unwritten += 1
            return
        self._pending = line
        self._flush_pending()

    def _rate_limit(self, record: logging.LogRecord) -> _RateLimit:
        if getattr(record, 'served', False):
            return self._served
        if getattr(record, 'by_caller', False):
            return self._by_callers
        return self._others

    def _flush_pending(self) -> bool:
        # A line may be written partially; its rest precedes the next line.
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return False
            except OSError:
                # The reader is gone, so the error cannot be reported.
                self._pending = b''
                self.unwritten += 1
                return True
            self._pending = self._pending[written:]
        return True


def setup_logging(
    instance: str,
    clock: Callable[[], float],
    descriptor: int,
) -> BoundedStream:
    """Write all log records of the process to this descriptor as JSON."""
    stream = BoundedStream(descriptor, clock)
    stream.setFormatter(
        JsonFormatter(
            '%(levelname)s %(message)s',
            rename_fields={'levelname': 'level', 'message': 'event'},
            static_fields={'instance': instance},
            timestamp='time',
        ),
    )
    root = logging.getLogger()
    root.handlers = [stream]
    root.setLevel(logging.WARNING)
    logging.getLogger(_LOGGER).setLevel(logging.INFO)
    return stream


class EventLog:
    """Writes numbered events."""

    def __init__(self, stream: BoundedStream) -> None:
        """Write through this handler."""
        self._log = logging.getLogger(_LOGGER)
        self._stream = stream
        self._dropped = stream.dropped

    def event(self, event: Event, **fields: object) -> None:
        """Log an event with fields that describe its cause."""
        self._log.info(event.name, extra={'number': int(event), **fields})

    def failure(self, where: str, exc: BaseException) -> None:
        """Log an unexpected exception."""
        self._log.error(
            Event.internal_error.name,
            exc_info=exc,
            extra={'number': int(Event.internal_error), 'where': where},
        )

    def report_dropped(self) -> None:
        """Log the counts of dropped lines if they changed since last time."""
        dropped = self._stream.dropped
        if dropped == self._dropped:
            return
        self._dropped = dropped
        self.event(Event.logs_dropped, **dropped)
