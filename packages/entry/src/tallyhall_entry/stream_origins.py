"""Proves at which version a stream began that a caller takes up.

Where a service has had a single version for long enough, nothing else is
needed. Otherwise the instance that begins a stream sends copies of its record
to a few others, in several availability zones, before its caller gets the first
event. Whoever is asked to resume the stream asks these. Without a record the
answer is a refusal: silence is never taken for a proof.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
from tallyhall_core.events import Event
from tallyhall_dispatch.desired import Upstream
from tallyhall_dispatch.options import Listening
from tallyhall_dispatch.record_keepers import KeeperRing
from tallyhall_dispatch.stream_records import (
    Origin,
    StreamId,
    StreamRecord,
    StreamRecords,
    drop_expired,
)
from tallyhall_dispatch.version_history import VersionHistory
from tallyhall_edge.stream_versions import unknown_stream_error
from tallyhall_platform.addresses import parse_address
from tallyhall_platform.entries import InstanceEntry
from tallyhall_transport.datagrams import DatagramPort

from .stream_messages import (
    StreamAnswer,
    StreamBegan,
    StreamQuestion,
    decode_message,
    encode_message,
)

# Instances that keep a copy of a record, beside the one that began the stream.
_COPIES = 3
# Instances that are asked for a record: the copies may be at these if the one
# that began the stream was among the first, and two instances have come since.
_ASKED = 6
# Time for the answers, in seconds, and after which a question is repeated. An
# answer takes 3 ms, or 20 ms from a busy instance.
_ANSWER_TIMEOUT_S = 0.15
_REPEAT_S = 0.05
# When a caller may try again while an instance did not answer, in seconds.
_RETRY_S = 0.5
# Age of its own view, in seconds, from which on an instance sends records
# although it knows a single version. Views are younger while the store answers;
# it is less than `MAX_VIEW_AGE_S`, so that records are sent before they are
# needed.
_RECORD_VIEW_AGE_S = 2.9
# Interval at which it is checked whether more copies are needed, in seconds.
_POLL_S = 0.25
_NUMBER_BITS = 63
# Names no stream: such a question is only about the versions of a service.
_NO_KEY = b''
_MILLI = 1000


class _Copied(msgspec.Struct):
    """The record of a stream that began here, or goes on here.

    within_s: the longest time for which a caller of its route comes back.
    holders: incarnations of the instances that a copy was sent to. ring: the
    ring by which they were chosen, None before the first copy.
    """

    origin: Origin
    within_s: float
    expires_at: float
    holders: set[str] = msgspec.field(default_factory=set)
    ring: KeeperRing | None = None


class _Question(msgspec.Struct):
    """A question that waits for answers of these addresses."""

    fut: asyncio.Future[StreamAnswer | None]
    asked: set[Listening]
    sole_version: str | None = None


class StreamOriginStore:
    """Keeps and finds records of streams; implements `StreamOrigins`."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        log: Callable[..., None],
    ) -> None:
        """Keep records for the instance of this name."""
        self.history = VersionHistory()
        self._name = name
        self._port = DatagramPort()
        self._rng = rng
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._records = StreamRecords()
        self._own: dict[bytes, _Copied] = {}
        self._peers: dict[str, InstanceEntry] = {}
        self._addresses: dict[str, Listening] = {}
        self._hosts: frozenset[str] = frozenset()
        # Built when it is needed, as a starting fleet changes often.
        self._known_ring: KeeperRing | None = None
        self._questions: dict[int, _Question] = {}
        self._polled_at: float = 0
        self._port.on_datagram = self._on_datagram

    async def listen(self, place: Listening) -> None:
        """Exchange records; raise OSError if the address is in use."""
        await self._port.listen(place)

    def close(self) -> None:
        """Exchange no more records."""
        self._port.close()

    # -- from the store

    def on_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Apply the complete list of upstreams."""
        self.history.update(upstreams, self._loop.time())

    def on_confirmed(self, asked_at: float) -> None:
        """Record that the store held nothing else at this time."""
        self.history.confirm(asked_at)

    def on_instances(self, entries: Iterable[InstanceEntry]) -> None:
        """Apply the complete list of registered instances."""
        peers = {
            entry.instance: entry
            for entry in entries
            if entry.instance != self._name and not entry.leaving
        }
        if peers == self._peers:
            return
        self._peers = peers
        self._addresses = {
            name: parse_address(entry.peer) for name, entry in peers.items()
        }
        self._hosts = frozenset(
            place.host for place in self._addresses.values()
        )
        self._known_ring = None

    # -- `StreamOrigins`

    def record(
        self, stream: StreamId, origin: Origin, within_s: float, for_s: float
    ) -> None:
        """Record where a stream began; its caller may come back for `for_s`.

        within_s: the longest time for which any caller of its route comes back.
        """
        now = self._loop.time()
        drop_expired(self._own, now)
        key = stream.key
        expires_at = now + for_s
        self._records.add(key, StreamRecord(origin, expires_at), now)
        copied = _Copied(origin, within_s, expires_at)
        self._own[key] = copied
        if self._needs_copies(copied, now):
            self._copy(key, copied, now)

    async def find(
        self, stream: StreamId | None, service: str, within_s: float
    ) -> Origin:
        """Return where a stream began.

        stream: None if its caller does not name it. service: where its requests
        go. within_s: time within which it began. Raises RefusedError if that
        cannot be proven.
        """
        now = self._loop.time()
        key = _NO_KEY if stream is None else stream.key
        record = self._records.find(key, now)
        if record is not None:
            if record.origin is None:
                raise unknown_stream_error()
            return record.origin
        version = self.history.sole_version(service, within_s, now)
        if version is not None:
            return Origin(service, version)
        return await self._ask_peers(key, service, within_s)

    def poll(self) -> None:
        """Send copies that have become necessary."""
        now = self._loop.time()
        if now - self._polled_at >= _POLL_S:
            self._polled_at = now
            self._copy_all()

    @property
    def _ring(self) -> KeeperRing:
        """Return the ring of the other instances."""
        if self._known_ring is None:
            self._known_ring = KeeperRing(
                {name: entry.zone for name, entry in self._peers.items()}
            )
        return self._known_ring

    # -- copies

    def _needs_copies(self, copied: _Copied, now: float) -> bool:
        """Return whether other instances may need the record of a stream."""
        sole = self.history.sole_version(
            copied.origin.service, copied.within_s, now, _RECORD_VIEW_AGE_S
        )
        return sole != copied.origin.version

    def _copy_all(self) -> None:
        now = self._loop.time()
        drop_expired(self._own, now)
        for key, copied in self._own.items():
            if copied.ring is not None and copied.ring is self._known_ring:
                continue
            if self._needs_copies(copied, now):
                self._copy(key, copied, now)

    def _copy(self, key: bytes, copied: _Copied, now: float) -> None:
        """Send a record to those of its holders that do not have it."""
        copied.ring = self._ring
        left_ms = int((copied.expires_at - now) * _MILLI)
        raw = b''
        for name in self._ring.first(key, _COPIES):
            holder = self._peers[name].incarnation
            if holder in copied.holders:
                continue
            copied.holders.add(holder)
            raw = raw or encode_message(
                StreamBegan(
                    key, copied.origin.service, copied.origin.version, left_ms
                ),
            )
            self._port.send(raw, self._addresses[name])

    # -- questions

    async def _ask_peers(
        self, key: bytes, service: str, within_s: float
    ) -> Origin:
        """Ask the instances that may have a record; raise RefusedError."""
        names = self._ring.first(key, _ASKED)
        asked = {self._addresses[name] for name in names}
        question = _Question(self._loop.create_future(), asked)
        number = self._rng.getrandbits(_NUMBER_BITS)
        self._questions[number] = question
        raw = encode_message(
            StreamQuestion(number, key, service, int(within_s * _MILLI)),
        )
        try:
            answer = await self._await_answer(question, raw)
        finally:
            self._questions.pop(number)
        origin = self._origin(answer, question, service, within_s)
        self._log(
            Event.stream_origin_asked,
            served=origin is not None,
            service=service,
            stream=key.hex(),
            asked=len(names),
            silent=len(question.asked),
            version=None if origin is None else origin.version,
            has_record=answer is not None,
        )
        if origin is None:
            is_ambiguous = answer is not None and answer.is_ambiguous
            may_answer = bool(question.asked) and not is_ambiguous
            raise unknown_stream_error(_RETRY_S if may_answer else None)
        return origin

    async def _await_answer(
        self, question: _Question, raw: bytes
    ) -> StreamAnswer | None:
        """Return the first answer with a record, None without one in time."""
        ends_at = self._loop.time() + _ANSWER_TIMEOUT_S
        while question.asked and self._loop.time() < ends_at:
            for place in question.asked:
                self._port.send(raw, place)
            await asyncio.wait((question.fut,), timeout=_REPEAT_S)
            if question.fut.done():
                return question.fut.result()
        return None

    def _origin(
        self,
        answer: StreamAnswer | None,
        question: _Question,
        service: str,
        within_s: float,
    ) -> Origin | None:
        """Return what the answers prove.

        Another instance may know for longer than this one that the service had
        a single version.
        """
        if answer is not None:
            if answer.service is None or answer.version is None:
                return None
            return Origin(answer.service, answer.version)
        version = question.sole_version
        if version is None:
            return None
        now = self._loop.time()
        if self.history.versions(service, within_s, now) - {version}:
            return None
        return Origin(service, version)

    # -- datagrams

    def _on_datagram(self, payload: bytes, sender: Listening) -> None:
        if sender.host not in self._hosts:
            return
        message = decode_message(payload)
        if isinstance(message, StreamBegan):
            self._on_began(message)
        elif isinstance(message, StreamQuestion):
            self._on_question(message, sender)
        elif isinstance(message, StreamAnswer):
            self._on_answer(message, sender)

    def _on_began(self, message: StreamBegan) -> None:
        now = self._loop.time()
        origin = Origin(message.service, message.version)
        expires_at = now + message.left_ms / _MILLI
        self._records.add(message.key, StreamRecord(origin, expires_at), now)

    def _on_question(self, question: StreamQuestion, sender: Listening) -> None:
        now = self._loop.time()
        record = self._records.find(question.key, now)
        within_s = question.within_ms / _MILLI
        answer = StreamAnswer(question.number)
        if record is None:
            sole = self.history.sole_version(question.service, within_s, now)
            answer = StreamAnswer(question.number, sole_version=sole)
        elif record.origin is None:
            answer = StreamAnswer(question.number, is_ambiguous=True)
        else:
            answer = StreamAnswer(
                question.number, record.origin.service, record.origin.version
            )
        self._port.send(encode_message(answer), sender)

    def _on_answer(self, answer: StreamAnswer, sender: Listening) -> None:
        question = self._questions.get(answer.number)
        if question is None or question.fut.done():
            return
        question.asked.discard(sender)
        question.sole_version = question.sole_version or answer.sole_version
        if answer.version is not None or answer.is_ambiguous:
            question.fut.set_result(answer)
        elif answer.sole_version is not None or not question.asked:
            question.fut.set_result(None)
