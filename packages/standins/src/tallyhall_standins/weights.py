"""A stand-in for the weight store: plain HTTP with a rate limit."""

from __future__ import annotations

import threading
import time

from .web import Request, Response, json_response, not_found

_TOO_MANY = 429


class WeightStoreStandIn:
    """The store's state and its handler."""

    def __init__(self, models: dict[str, int], per_s: float) -> None:
        """Hold models with their sizes in bytes."""
        self._models = models
        self._per_s = per_s
        self._lock = threading.Lock()
        self._level = per_s
        self._at = time.monotonic()

    def handle(self, req: Request) -> Response:
        """Answer one request."""
        size = self._models.get(req.path.strip('/'))
        if size is None:
            return not_found()
        if not self._within_rate():
            resp = json_response({'error': 'rate'}, _TOO_MANY)
            headers = (*resp.headers, ('retry-after', '1'))
            return Response(_TOO_MANY, resp.body, headers)
        body = b'' if req.method == 'HEAD' else b'\0' * size
        return Response(200, [body], (('content-length', str(size)),))

    def _within_rate(self) -> bool:
        with self._lock:
            now = time.monotonic()
            grown = self._level + self._per_s * (now - self._at)
            self._level = min(max(self._per_s, 1), grown)
            self._at = now
            if self._level < 1:
                return False
            self._level -= 1
            return True
