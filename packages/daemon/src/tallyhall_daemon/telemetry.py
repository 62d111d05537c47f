"""Numbered JSON logs and statsd counters."""

from __future__ import annotations

import collections
import logging
import sys
import threading
import time

import statsd
from pythonjsonlogger.json import JsonFormatter
from tallyhall_core.events import Event

from .settings import MetricsSection

_LOGGER = 'tallyhall'
# Steps on the way that `dispatched` and the end of a request imply.
_DEBUG_EVENTS = frozenset((Event.admitted, Event.permitted))
_FIELDS = '%(asctime)s %(levelname)s %(message)s'


def setup_logging(level: str, instance: str) -> None:
    """Write one JSON object a line to standard output."""
    stream = logging.StreamHandler(sys.stdout)
    stream.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'message': 'event',
            },
            static_fields={'instance': instance},
        ),
    )
    root = logging.getLogger()
    root.handlers = [stream]
    root.setLevel(logging.WARNING)
    logging.getLogger(_LOGGER).setLevel(level.upper())
    # The server reports every connection that we cut on purpose.
    logging.getLogger('waitress').setLevel(logging.CRITICAL)


class Telemetry:
    """Counters and events of one instance; usable from any thread."""

    def __init__(self, cfg: MetricsSection) -> None:
        """Send counters to statsd where an address is given."""
        self._lock = threading.Lock()
        self._totals: collections.Counter[str] = collections.Counter()
        self._log = logging.getLogger(_LOGGER)
        self._statsd: statsd.StatsClient | None = None
        if cfg.statsd is not None:
            host, _, port = cfg.statsd.rpartition(':')
            self._statsd = statsd.StatsClient(
                host,
                int(port),
                prefix=cfg.prefix,
            )

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._totals[name] += amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def event(self, event: Event, **fields: object) -> None:
        """Write a numbered event."""
        level = logging.DEBUG if event in _DEBUG_EVENTS else logging.INFO
        if event == Event.internal_error:
            level = logging.ERROR
        self._log.log(
            level,
            event.name,
            extra={
                'number': int(event),
                'at': round(time.monotonic(), 4),
                **fields,
            },
        )

    def failure(self, where: str) -> None:
        """Log the exception being handled, and count it."""
        self.count('internal_error')
        self._log.exception(
            Event.internal_error.name,
            extra={'number': int(Event.internal_error), 'where': where},
        )

    def totals(self) -> dict[str, int]:
        """Return all counters since the start."""
        with self._lock:
            return dict(self._totals)
