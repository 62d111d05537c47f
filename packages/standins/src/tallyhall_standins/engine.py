"""A stand-in for a model engine: OpenAI-style HTTP with SSE.

Streams can be resumed (GET /v1/streams/ID?from=N) and cancelled (DELETE).
Load (/metrics) lags; cache events come late and with gaps. Orders carry a
fencing number that the engine checks or ignores. /standin/counts tells every
dispatch by request id and the prompt tokens computed and thrown away.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import json
import random
import threading
import time
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from .batch import (
    CHARS_A_TOKEN,
    Batch,
    BlockCache,
    EngineSpeed,
    Stream,
    answer_tag,
    answer_tokens,
    block_hashes,
)
from .web import CutError, Request, Response, json_response, not_found

_STRIDE = 4
_GAP_EVERY = 20
_KEEP_S = 60.0
_DETACHED_S = 3.0
_WAIT_S = 1.0
_CONFLICT = 409
_COMPLETIONS = frozenset(('/v1/completions', '/v1/chat/completions'))


@dataclasses.dataclass(frozen=True, slots=True)
class EngineConfig:
    """What kind of engine this is."""

    name: str
    speed: EngineSpeed = EngineSpeed()
    cache_tokens: int = 32_768
    lag_s: float = 1.0
    checks_fencing: bool = True
    model: str = 'none'


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What goes wrong now.

    slow: factor on every step. cut_after: end each answer after this many
    events. swap: give the next two streams each other's events.
    """

    slow: float = 1.0
    cut_after: int = -1
    cut_once: bool = True
    swap: bool = False
    frozen: bool = False


@dataclasses.dataclass(slots=True)
class _Session:
    stream: Stream
    events: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    pending: int = 0
    text: str = ''
    done: bool = False
    readers: int = 0
    touched: float = 0


class EngineStandIn:
    """The engine's state, its batch thread and its handlers."""

    def __init__(self, cfg: EngineConfig) -> None:
        """Start the batch thread."""
        self._cfg = cfg
        self._cond = threading.Condition()
        self._batch = Batch(cfg.speed, BlockCache(cfg.cache_tokens))
        self._sessions: dict[str, _Session] = {}
        self._dispatches: collections.Counter[str] = collections.Counter()
        self._log: list[tuple[float, str, str]] = []
        self._finished: set[str] = set()
        self._faults = EngineFaults()
        self._loads: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )
        self._fencing = 0
        self._model = cfg.model
        self._orders: list[dict[str, Any]] = []
        threading.Thread(target=self._loop, daemon=True).start()

    def handle(self, req: Request) -> Response:
        """Answer one request."""
        if req.path in _COMPLETIONS:
            return self._complete(req)
        if req.path.startswith('/v1/streams/'):
            return self._stream(req)
        if req.path == '/metrics':
            return self._metrics()
        if req.path == '/v1/orders':
            return self._order(req.json())
        if req.path == '/v1/cache-events':
            return self._cache_events(req)
        if req.path == '/standin/faults':
            for name, setting in req.json().items():
                setattr(self._faults, name, setting)
            return json_response(dataclasses.asdict(self._faults))
        if req.path == '/standin/counts':
            return self._counts()
        return not_found()

    # -- requests

    def _complete(self, req: Request) -> Response:
        body = req.json()
        request_id = req.headers.get('x-request-id', '')
        text = _prompt(body)
        stream = Stream(
            request_id,
            max(1, len(text) // CHARS_A_TOKEN),
            answer_tokens(text, int(body.get('max_tokens', 16))),
            block_hashes(text),
            answer_tag(text),
        )
        session = _Session(stream, touched=time.monotonic())
        with self._cond:
            self._dispatches[request_id] += 1
            self._sessions[request_id] = session
            self._batch.add(stream)
            self._cond.notify_all()
        return _sse(self._read(session, 0))

    def _stream(self, req: Request) -> Response:
        request_id = req.path.rsplit('/', 1)[-1]
        session = self._sessions.get(request_id)
        if session is None:
            return not_found()
        if req.method == 'DELETE':
            with self._cond:
                self._drop(session)
            return json_response({'cancelled': True})
        if session.stream.cancelled:
            return not_found()
        query = parse_qs(req.query)
        return _sse(self._read(session, int(query.get('from', ['0'])[0])))

    def _read(self, session: _Session, number: int) -> Iterator[bytes]:
        cut_after = self._faults.cut_after
        if cut_after >= 0 and self._faults.cut_once:
            self._faults.cut_after = -1
        with self._reading(session):
            event = self._event(session, number)
            while event is not None and cut_after:
                cut_after -= 1
                number += 1
                yield b'data: %b\n\n' % json.dumps(event).encode()
                event = self._event(session, number)
            if event is not None or session.stream.cancelled:
                raise CutError
            yield b'data: [DONE]\n\n'

    @contextlib.contextmanager
    def _reading(self, session: _Session) -> Iterator[None]:
        session.readers += 1
        try:
            yield
        finally:
            session.readers -= 1
            session.touched = time.monotonic()

    def _event(self, session: _Session, number: int) -> dict[str, Any] | None:
        with self._cond:
            while len(session.events) <= number:
                if session.done or session.stream.cancelled:
                    return None
                self._cond.wait(_WAIT_S)
            event = session.events[number]
            if self._faults.swap and number == 1:
                return {**event, 'id': f'{event["id"]}x'}
            return event

    # -- the batch

    def _loop(self) -> None:
        while self._cfg.name:
            with self._cond:
                seconds, decoded = self._batch.step()
                for stream in decoded:
                    self._produced(stream)
                self._note_load()
                if decoded:
                    self._cond.notify_all()
                if not seconds:
                    self._drop_detached()
                    self._cond.wait(_WAIT_S / 10)
                    continue
                self._drop_detached()
            time.sleep(seconds * self._faults.slow)

    def _produced(self, stream: Stream) -> None:
        session = self._sessions[stream.id]
        session.text += stream.text(stream.produced - 1)
        session.pending += 1
        first = not session.events
        if not (first or stream.is_finished or session.pending >= _STRIDE):
            return
        choice = {
            'text': session.text,
            'finish_reason': 'stop' if stream.is_finished else None,
        }
        event: dict[str, Any] = {
            'id': stream.id,
            'seq': len(session.events),
            'tokens': session.pending,
            'choices': [choice],
        }
        if stream.is_finished:
            session.done = True
            self._finished.add(stream.id)
            event['usage'] = {
                'prompt_tokens': stream.prompt_tokens,
                'completion_tokens': stream.output_tokens,
                'prompt_tokens_details': {'cached_tokens': stream.cached},
            }
        session.events.append(event)
        session.text = ''
        session.pending = 0

    def _drop_detached(self) -> None:
        now = time.monotonic()
        for request_id, session in list(self._sessions.items()):
            idle = now - session.touched
            if session.readers:
                continue
            if not session.done and idle > _DETACHED_S:
                self._drop(session)
            if idle > _KEEP_S:
                self._sessions.pop(request_id)

    def _drop(self, session: _Session) -> None:
        self._batch.cancel(session.stream)
        self._cond.notify_all()

    # -- what the platform sees

    def _note_load(self) -> None:
        now = time.monotonic()
        running, waiting = self._batch.counts
        self._loads.append((now, running, waiting))
        while (
            len(self._loads) > 1 and self._loads[1][0] <= now - self._cfg.lag_s
        ):
            self._loads.popleft()

    def _metrics(self) -> Response:
        registry = CollectorRegistry()
        with self._cond:
            _, running, waiting = self._loads[0] if self._loads else (0, 0, 0)
        Gauge('requests_running', 'Decoding', registry=registry).set(running)
        Gauge('requests_waiting', 'Queued', registry=registry).set(waiting)
        Gauge(
            'cache_capacity_tokens',
            'Prompt tokens kept',
            registry=registry,
        ).set(self._cfg.cache_tokens)
        info = Gauge('model_info', 'Model', ['model'], registry=registry)
        info.labels(self._model).set(1)
        return Response(200, [generate_latest(registry)])

    def _cache_events(self, req: Request) -> Response:
        start = int(parse_qs(req.query).get('from', ['0'])[0])
        with self._cond:
            # Late: the newest are held back; with gaps: some are left out.
            events = self._batch.cache.events[start:-64]
        shown = [
            {'seq': start + place, 'kind': event.kind, 'block': event.block}
            for place, event in enumerate(events)
            if random.randrange(_GAP_EVERY)
        ]
        return json_response({'events': shown})

    def _order(self, body: dict[str, Any]) -> Response:
        with self._cond:
            fencing = int(body.get('fencing', 0))
            if self._cfg.checks_fencing and fencing < self._fencing:
                return json_response({'error': 'old number'}, _CONFLICT)
            self._fencing = max(self._fencing, fencing)
            self._model = body.get('model', self._model)
            self._orders.append(body)
        return json_response({'model': self._model})

    def _counts(self) -> Response:
        with self._cond:
            return json_response(
                {
                    'name': self._cfg.name,
                    'dispatches': dict(self._dispatches),
                    'finished': sorted(self._finished),
                    'prefill_computed': self._batch.prefill_computed,
                    'prefill_wasted': self._batch.prefill_wasted,
                    'wasted_blocks': self._batch.wasted_blocks,
                    'cache_events': self._batch.cache.events,
                    'running': self._batch.counts[0],
                    'waiting': self._batch.counts[1],
                    'model': self._model,
                    'orders': self._orders,
                },
            )


def _prompt(body: dict[str, Any]) -> str:
    if body.get('prompt') is not None:
        return str(body['prompt'])
    return '\n'.join(
        f'{msg["role"]}: {msg["content"]}' for msg in body.get('messages', [])
    )


def _sse(events: Iterator[bytes]) -> Response:
    return Response(200, events, (('content-type', 'text/event-stream'),))
