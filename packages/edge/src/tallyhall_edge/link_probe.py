"""Finds out whether an instance reaches its upstreams.

Requests of an isolated instance go through others, so that none of them shows
that a link works again. Upstreams are asked for their health only while the
instance is isolated or its links are in doubt; any answer will do.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.link_monitor import LinkMonitor

from .client import ClientConnection
from .errors import ConnectionFailedError, NotSentError
from .messages import ResponseHead, encode_head

# Time from the connection to the answer, in seconds.
_TIMEOUT_S = 0.3
# Pause between two rounds in seconds. It doubles up to the maximum.
_PAUSE_S = 0.2
_MAX_PAUSE_S = 1.0
_MAX_JITTER = 1.2
# Time in seconds for which a connection must last if nothing can be asked.
_LAST_S = 0.1
# Upstreams that are asked in one round.
_PER_ROUND = 2


class ProbeTarget(msgspec.Struct, frozen=True):
    """An upstream and the path at which it tells its health.

    path: empty if none is known; then it counts as an answer that a connection
    is not reset.
    """

    upstream: Upstream
    path: str


class LinkProbe:
    """Asks upstreams whether the links of this instance work."""

    def __init__(
        self,
        links: LinkMonitor,
        read_targets: Callable[[], Sequence[ProbeTarget]],
        on_answer: Callable[[Upstream], None],
        on_no_answer: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Call `on_answer` with each upstream that answered.

        on_no_answer: called after a round without any.
        """
        self._links = links
        self._read_targets = read_targets
        self._on_answer = on_answer
        self._on_no_answer = on_no_answer
        self._rng = rng
        self._wanted = asyncio.Event()

    def start(self) -> None:
        """Ask from now on, until an upstream answers, whoever asked it."""
        self._wanted.set()

    async def run(self) -> None:
        """Ask whenever it is wanted, until cancelled."""
        while True:
            await self._wanted.wait()
            await self._ask_until_answered()
            self._wanted.clear()

    async def _ask_until_answered(self) -> None:
        pause_s = _PAUSE_S
        while not await self._ask_some():
            self._on_no_answer()
            if not self._links.is_isolated:
                return
            jitter = self._rng.uniform(1, _MAX_JITTER)
            await asyncio.sleep(pause_s * jitter)
            pause_s = min(_MAX_PAUSE_S, 2 * pause_s)

    async def _ask_some(self) -> bool:
        """Ask a few upstreams; return whether any answered."""
        targets = list(self._read_targets())
        self._rng.shuffle(targets)
        failed = self._links.failed
        # Those that did not fail come first: two may have ended by chance.
        targets.sort(key=lambda one: one.upstream.incarnation in failed)
        chosen = targets[:_PER_ROUND]
        answers = await asyncio.gather(*map(_answers, chosen))
        for target, answers_now in zip(chosen, answers, strict=True):
            if answers_now:
                self._on_answer(target.upstream)
        return any(answers)


async def _answers(target: ProbeTarget) -> bool:
    """Return whether an upstream answers on a new connection."""
    upstream = target.upstream
    try:
        conn = await ClientConnection.open(
            upstream.host, upstream.port, _TIMEOUT_S
        )
    except NotSentError:
        return False
    try:
        return await _is_answered(conn, target)
    finally:
        conn.close()


async def _is_answered(conn: ClientConnection, target: ProbeTarget) -> bool:
    if not target.path:
        await asyncio.sleep(_LAST_S)
        return conn.is_open
    head = (
        (b'Host', target.upstream.host.encode()),
        (b'Connection', b'close'),
    )
    sink = _HeadSink()
    try:
        conn.send(
            encode_head(f'GET {target.path} HTTP/1.1'.encode(), head), sink, b''
        )
        async with asyncio.timeout(_TIMEOUT_S):
            return await sink.answered
    except (NotSentError, TimeoutError):
        return False


class _HeadSink:
    """Waits for the head of an answer; implements `ResponseSink`."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.answered: asyncio.Future[bool] = loop.create_future()

    def on_head(self, head: ResponseHead) -> None:
        self._resolve(answered=True)

    def on_data(self, payload: bytes) -> None:
        """Ignore the body."""

    def on_end(self, exc: ConnectionFailedError | None) -> None:
        self._resolve(answered=False)

    def _resolve(self, *, answered: bool) -> None:
        if not self.answered.done():
            self.answered.set_result(answered)
