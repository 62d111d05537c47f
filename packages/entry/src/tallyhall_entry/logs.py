"""JSON lines on standard output that never hold the process up.

The pipe is not blocking: a line that does not fit is dropped and counted.
The volume is bounded by two allowances of bytes a second, one for lines
about requests that were served and one for all others, so that under load
the lines that explain failures outlive the rest.
"""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from pythonjsonlogger.json import JsonFormatter
from tallyhall_core.events import Event

_LOGGER = 'tallyhall.entry'
# Bytes a second and at once, for each of the two allowances. A line has
# about 250 bytes; a request leaves three lines, so 40 requests a second on
# one instance are logged whole.
_BYTES_PER_S = 60_000
_BYTES_AT_ONCE = 240_000
# How often dropped lines are counted out in the log, seconds.
_REPORT_S = 5.0


class _Allowance:
    def __init__(self, now: float) -> None:
        self.dropped = 0
        self._left: float = _BYTES_AT_ONCE
        self._filled_at = now

    def take(self, size: int, now: float) -> bool:
        gained = (now - self._filled_at) * _BYTES_PER_S
        self._left = min(_BYTES_AT_ONCE, self._left + gained)
        self._filled_at = now
        if self._left < size:
            self.dropped += 1
            return False
        self._left -= size
        return True


class BoundedStream(logging.Handler):
    """Writes records to a descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int, clock: Callable[[], float]) -> None:
        """Write to this descriptor, which becomes non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        now = clock()
        self._served = _Allowance(now)
        self._others = _Allowance(now)
        self._rest = b''
        self.unwritten = 0

    @property
    def dropped(self) -> dict[str, int]:
        """Return how many lines were dropped, by kind."""
        return {
            'served': self._served.dropped,
            'others': self._others.dropped,
            'unread': self.unwritten,
        }

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop and count it."""
        line = f'{self.format(record)}\n'.encode()
        served = getattr(record, 'served', False)
        allowance = self._served if served else self._others
        if not allowance.take(len(line), self._clock()):
            return
        if not self._write_rest():
            self.unwritten += 1
            return
        self._rest = line
        self._write_rest()

    def _write_rest(self) -> bool:
        # A line may leave in two parts; the next one waits for its end.
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody can read any more; there is nowhere to say so.
                self._rest = b''
                self.unwritten += 1
                return True
            self._rest = self._rest[written:]
        return True


def setup_logging(
    instance: str,
    clock: Callable[[], float],
    descriptor: int,
) -> BoundedStream:
    """Send all records of the process to this descriptor as JSON."""
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
        """Write through the handler of the process."""
        self._log = logging.getLogger(_LOGGER)
        self._stream = stream
        self._dropped = stream.dropped

    def event(self, event: Event, **fields: object) -> None:
        """Write an event; its fields tell what decided it."""
        self._log.info(event.name, extra={'number': int(event), **fields})

    def failure(self, where: str, exc: BaseException) -> None:
        """Write an exception that nobody expected."""
        self._log.error(
            Event.internal_error.name,
            exc_info=exc,
            extra={'number': int(Event.internal_error), 'where': where},
        )

    def report_dropped(self) -> None:
        """Write how many lines were dropped since the last report."""
        dropped = self._stream.dropped
        if dropped == self._dropped:
            return
        self._dropped = dropped
        self.event(Event.logs_dropped, **dropped)
