"""Applies what the answers of upstreams say about the upstreams themselves."""

from __future__ import annotations

import asyncio

from tallyhall_dispatch.backoffs import Backoffs
from tallyhall_dispatch.desired import Upstream

from .connections import ConnectionPool
from .dialect import ResponseInfo
from .request_log import RequestLog
from .scheduling import Scheduler


class UpstreamStatusReader:
    """Passes the status of upstreams on to whoever decides by it."""

    def __init__(
        self, scheduler: Scheduler, conns: ConnectionPool, log: RequestLog
    ) -> None:
        """Start without any status."""
        self._scheduler = scheduler
        self._conns = conns
        self._log = log
        # Backoffs that upstreams requested from this instance.
        self.backoffs = Backoffs()
        self._loop = asyncio.get_running_loop()

    def apply(
        self, upstream: Upstream, asked_at: float, info: ResponseInfo
    ) -> None:
        """Apply the head of an answer to a request sent at `asked_at`."""
        self._report_limit(upstream, asked_at, info)
        if info.leaving:
            self._scheduler.upstream_listener.on_leaving(upstream.incarnation)
            self._conns.close_idle(upstream.incarnation)
        if info.backoff_s:
            now = self._loop.time()
            self.backoffs.add(upstream.incarnation, info.backoff_s, now)
        if info.load is not None:
            self._scheduler.upstream_listener.on_load_reported(
                upstream.incarnation, info.load
            )
        for name in info.unknown_headers:
            self._log.header_unread(upstream, name)

    def _report_limit(
        self,
        upstream: Upstream,
        asked_at: float,
        info: ResponseInfo,
    ) -> None:
        # An upstream may reject a request before it has loaded its state; a
        # rejection without a limit does not mean that there is none.
        has_run = info.is_signed and not info.not_executed
        if has_run or info.limit_per_s is not None:
            self._scheduler.upstream_listener.on_limit_announced(
                upstream.incarnation,
                info.limit_per_s,
                asked_at,
            )
