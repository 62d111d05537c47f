"""A stand-in for a plain service: answers after a while, counts calls.

POST /standin/faults: slow_s adds to the time of each call; cut is '',
'before' or 'after' (the connection ends before or after the call ran).
"""

from __future__ import annotations

import collections
import dataclasses
import json
import random
import threading
import time
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from .web import CutError, Request, Response, json_response


@dataclasses.dataclass(slots=True)
class PlainFaults:
    """What goes wrong now."""

    slow_s: float = 0
    cut: str = ''


class PlainStandIn:
    """The service's state and its handler."""

    def __init__(self, name: str, call_s: float, workers: int) -> None:
        """Answer in about `call_s`, `workers` calls at a time."""
        self._name = name
        self._call_s = call_s
        self._slots = threading.Semaphore(workers)
        self._lock = threading.Lock()
        self._faults = PlainFaults()
        self._runs: collections.Counter[str] = collections.Counter()
        self._received: collections.Counter[str] = collections.Counter()
        self._registry = CollectorRegistry()
        self._running = Gauge(
            'requests_running',
            'Calls being answered',
            registry=self._registry,
        )

    def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path == '/metrics':
            return Response(200, [generate_latest(self._registry)])
        if req.path == '/standin/faults':
            for name, setting in req.json().items():
                setattr(self._faults, name, setting)
            return json_response(dataclasses.asdict(self._faults))
        if req.path == '/standin/counts':
            with self._lock:
                return json_response(
                    {
                        'runs': dict(self._runs),
                        'received': dict(self._received),
                    },
                )
        return self._call(req)

    def _call(self, req: Request) -> Response:
        request_id = req.headers.get('x-request-id', '')
        with self._lock:
            self._received[request_id] += 1
        cut = self._faults.cut
        if cut == 'before':
            return Response(200, _cut())
        with self._slots, self._running.track_inprogress():
            spread = random.uniform(0.8, 1.2)
            time.sleep(self._call_s * spread + self._faults.slow_s)
            with self._lock:
                self._runs[request_id] += 1
        if cut == 'after':
            return Response(200, _cut())
        return json_response(
            {
                'service': self._name,
                'id': request_id,
                'path': req.path,
                'echo': json.loads(req.body or b'null'),
            },
        )


def _cut() -> Iterator[bytes]:
    yield b'{'
    raise CutError
